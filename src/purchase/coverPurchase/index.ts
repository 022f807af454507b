import { PoolId, ZoneId } from "../../ids/index.js";
import { Offer } from "../../protocol/index.js";
import { chooseMix, UpstreamMix, ZoneSupply } from "../mix/index.js";
import {
    OwnedUpstream,
    PurchaseInput,
    PurchaseOrder,
    PurchasePolicy,
    StartOrder,
    StopOrder,
} from "../purchasePolicy/index.js";

/** Capacity that `CoverPurchase` keeps ready beyond the forecast. */
export interface CoverSettings {
    /** Demand of the tiers up to this one, the top tiers, must be met after the loss of any one zone's reclaimable upstreams. */
    readonly topTier: number;
    /** Capacity as a multiple of the forecast demand. */
    readonly headroom: number;
    /** Replaces `headroom` while credits would otherwise expire unspent. */
    readonly headroomWithSurplusCredits: number;
    /** Capacity left after the loss of a zone, as a multiple of the top tiers' forecast demand. */
    readonly topHeadroom: number;
    /** Share of the top tiers' upstreams that are steady (not reclaimable) whatever they cost. */
    readonly steadyShare: number;
    /** Time for which a surplus must last before upstreams are stopped, in milliseconds. */
    readonly holdMs: number;
    /** Slots per upstream, assumed for a pool of which no upstream has been seen. */
    readonly defaultSlots: number;
}

/** Keeps a quarter more than the forecast, and protects the two top tiers from the reclaim of one zone. */
export const DEFAULT_COVER: CoverSettings = {
    topTier: 1,
    headroom: 1.25,
    headroomWithSurplusCredits: 1.5,
    topHeadroom: 1.25,
    steadyShare: 0.25,
    holdMs: 120_000,
    defaultSlots: 16,
};

const HOUR_MS = 3_600_000;
/** Credits are in surplus when they would pay for more than this multiple of the planned mix until they expire. */
const SURPLUS_CREDITS_FACTOR = 1.5;

/** Upstreams that can replace each other: the same pool, zone and reclaimability. */
interface UpstreamKind {
    readonly pool: PoolId;
    readonly zone: ZoneId;
    readonly reclaimable: boolean;
}

/**
 * Buys the cheapest mix for the forecast that still meets the top tiers' demand after the loss of any one zone's reclaimable
 * upstreams. Starts upstreams at once and stops them late: stopping and starting again pays the billed minimum twice.
 */
export class CoverPurchase extends PurchasePolicy {
    private readonly surplusSince = new Map<string, number>();

    constructor(private readonly settings: CoverSettings = DEFAULT_COVER) {
        super();
    }

    plan(input: PurchaseInput): readonly PurchaseOrder[] {
        const pools = new Set([...input.demand, ...input.owned].map(item => item.pool));
        return [...pools].flatMap(pool => this.planPool(pool, input));
    }

    private planPool(pool: PoolId, input: PurchaseInput): PurchaseOrder[] {
        const supply = listZoneSupply(pool, input);
        const mix = this.chooseAffordableMix(pool, input, supply);
        return mix.zones.flatMap(zone => [
            ...this.planKind({ pool, zone: zone.zone, reclaimable: true }, zone.reclaimable, input),
            ...this.planKind({ pool, zone: zone.zone, reclaimable: false }, zone.steady, input),
        ]);
    }

    /**
     * Covers the top tiers in any case. Covers the lower tiers only as far as the remaining credits allow, spread evenly over the
     * time until they expire.
     */
    private chooseAffordableMix(pool: PoolId, input: PurchaseInput, supply: readonly ZoneSupply[]): UpstreamMix {
        const mix = this.chooseMixFor(pool, input, supply, this.settings.headroom, 1);
        const affordable = affordablePricePerHour(input) * poolShareOfDemand(pool, input);
        if (affordable > SURPLUS_CREDITS_FACTOR * mix.pricePerHour && affordable !== Infinity) {
            return this.chooseMixFor(pool, input, supply, this.settings.headroomWithSurplusCredits, 1);
        }
        if (mix.pricePerHour <= affordable) return mix;
        for (const share of [0.75, 0.5, 0.25]) {
            const smaller = this.chooseMixFor(pool, input, supply, this.settings.headroom, share);
            if (smaller.pricePerHour <= affordable) return smaller;
        }
        return this.chooseMixFor(pool, input, supply, this.settings.headroom, 0);
    }

    private chooseMixFor(
        pool: PoolId,
        input: PurchaseInput,
        supply: readonly ZoneSupply[],
        headroom: number,
        lowerShare: number,
    ): UpstreamMix {
        const { topTier, topHeadroom, steadyShare, defaultSlots } = this.settings;
        const slotsPerUpstream = meanSlotsPerUpstream(pool, input) ?? defaultSlots;
        const demand = input.demand.filter(item => item.pool === pool);
        const topSlots = sumSlots(demand.filter(item => item.tier <= topTier));
        const lowerSlots = sumSlots(demand.filter(item => item.tier > topTier)) * lowerShare;
        const afterLoss = Math.ceil(topSlots * topHeadroom / slotsPerUpstream);
        const total = Math.max(1, Math.ceil((topSlots + lowerSlots) * headroom / slotsPerUpstream));
        return chooseMix({ total, afterLoss, minSteady: Math.ceil(afterLoss * steadyShare) }, supply);
    }

    private planKind(kind: UpstreamKind, targetCount: number, input: PurchaseInput): PurchaseOrder[] {
        const owned = listOwned(kind, input);
        const missing = targetCount - owned.length - countPending(kind, input);
        if (missing > 0) {
            this.surplusSince.delete(kindKey(kind));
            return [{ action: "start", ...kind, count: missing } satisfies StartOrder];
        }
        if (missing === 0) {
            this.surplusSince.delete(kindKey(kind));
            return [];
        }
        return this.stopSurplus(kind, owned, -missing, input.now);
    }

    private stopSurplus(
        kind: UpstreamKind,
        owned: readonly OwnedUpstream[],
        surplus: number,
        now: number,
    ): StopOrder[] {
        const since = this.surplusSince.get(kindKey(kind)) ?? now;
        this.surplusSince.set(kindKey(kind), since);
        if (now - since < this.settings.holdMs) return [];
        return owned.filter(upstream => now - upstream.startedAt >= upstream.billedMinimumMs)
            .sort((a, b) => a.startedAt - b.startedAt)
            .slice(0, surplus)
            .map(upstream => ({ action: "stop", ...kind, upstream: upstream.id }));
    }
}

function listZoneSupply(pool: PoolId, input: PurchaseInput): ZoneSupply[] {
    const offers = input.offers.filter(offer => offer.pool === pool);
    const zones = new Set([...offers.map(offer => offer.zone), ...input.owned.map(owned => owned.zone)]) as Set<
        ZoneId
    >;
    return [...zones].sort().map(zone => {
        const find = (reclaimable: boolean): Offer | undefined =>
            offers.find(offer => offer.zone === zone && offer.reclaimable === reclaimable);
        const count = (reclaimable: boolean): number => {
            const kind = { pool, zone, reclaimable };
            return (find(reclaimable)?.available ?? 0) + listOwned(kind, input).length + countPending(kind, input);
        };
        return {
            zone,
            reclaimable: count(true),
            steady: count(false),
            reclaimablePrice: find(true)?.price_per_hour ?? 0,
            steadyPrice: find(false)?.price_per_hour ?? 0,
        };
    });
}

function listOwned(kind: UpstreamKind, input: PurchaseInput): readonly OwnedUpstream[] {
    return input.owned.filter(other => isSameKind(kind, other) && !other.isLeaving);
}

function countPending(kind: UpstreamKind, input: PurchaseInput): number {
    return input.pending.filter(other => isSameKind(kind, other)).reduce((sum, other) => sum + other.count, 0);
}

function meanSlotsPerUpstream(pool: PoolId, input: PurchaseInput): number | undefined {
    const owned = input.owned.filter(other => other.pool === pool);
    return owned.length === 0 ? undefined : sumSlots(owned) / owned.length;
}

function isSameKind(a: UpstreamKind, b: UpstreamKind): boolean {
    return a.pool === b.pool && a.zone === b.zone && a.reclaimable === b.reclaimable;
}

function kindKey(kind: UpstreamKind): string {
    return `${kind.pool}\n${kind.zone}\n${kind.reclaimable}`;
}

function affordablePricePerHour(input: PurchaseInput): number {
    if (!input.credits) return Infinity;
    const { left, expiresAt } = input.credits;
    return Math.max(0, left) / Math.max(HOUR_MS / 60, expiresAt - input.now) * HOUR_MS;
}

function poolShareOfDemand(pool: PoolId, input: PurchaseInput): number {
    const all = sumSlots(input.demand);
    return all === 0 ? 1 : sumSlots(input.demand.filter(item => item.pool === pool)) / all;
}

function sumSlots(demand: readonly { readonly slots: number; }[]): number {
    return demand.reduce((sum, item) => sum + item.slots, 0);
}
