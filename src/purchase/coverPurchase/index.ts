import { PoolId, ZoneId } from "../../ids/index.js";
import { Offer } from "../../protocol/index.js";
import { chooseMix, Mix, ZoneSupply } from "../mix/index.js";
import {
    OwnedUpstream,
    PurchaseOrder,
    PurchasePolicy,
    PurchaseSnapshot,
    StartOrder,
    StopOrder,
} from "../purchasePolicy/index.js";

/** How much is kept ready beyond the forecast. */
export interface CoverSettings {
    /** Tiers up to this one must be covered after the loss of any one zone's reclaimable upstreams. */
    readonly topTier: number;
    /** Capacity for each unit of forecast demand. */
    readonly headroom: number;
    /** The same while credits would else expire unspent. */
    readonly headroomWhenRich: number;
    /** The same for the top tiers after a loss. */
    readonly topHeadroom: number;
    /** The share of the top tiers' upstreams that is steady whatever it costs. */
    readonly steadyShare: number;
    /** A surplus must last this long before anything is stopped, in milliseconds. */
    readonly holdMs: number;
    /** Assumed of a pool while none of its upstreams has been seen. */
    readonly defaultSlots: number;
}

/** A quarter above the forecast, and the two top tiers safe from one zone's reclaim. */
export const DEFAULT_COVER: CoverSettings = {
    topTier: 1,
    headroom: 1.25,
    headroomWhenRich: 1.5,
    topHeadroom: 1.25,
    steadyShare: 0.25,
    holdMs: 120_000,
    defaultSlots: 16,
};

const HOUR_MS = 3_600_000;
/** Credits count as plenty when they would pay for this many times the plan until they expire. */
const RICH_FACTOR = 1.5;

interface Kind {
    readonly pool: PoolId;
    readonly zone: ZoneId;
    readonly reclaimable: boolean;
}

/**
 * The cheapest mix for the forecast such that the loss of any one zone's reclaimable upstreams leaves the top tiers
 * covered. Starts at once, stops late: a stop right after a start pays the billed minimum twice.
 */
export class CoverPurchase extends PurchasePolicy {
    private readonly surplusSince = new Map<string, number>();

    constructor(private readonly settings: CoverSettings = DEFAULT_COVER) {
        super();
    }

    plan(snapshot: PurchaseSnapshot): readonly PurchaseOrder[] {
        const pools = new Set([...snapshot.demand, ...snapshot.owned].map(item => item.pool));
        return [...pools].flatMap(pool => this.planPool(pool, snapshot));
    }

    private planPool(pool: PoolId, snapshot: PurchaseSnapshot): PurchaseOrder[] {
        const supply = readSupply(pool, snapshot);
        const mix = this.chooseAffordable(pool, snapshot, supply);
        return mix.zones.flatMap(zone => [
            ...this.adjust({ pool, zone: zone.zone, reclaimable: true }, zone.reclaimable, snapshot),
            ...this.adjust({ pool, zone: zone.zone, reclaimable: false }, zone.steady, snapshot),
        ]);
    }

    /** Pays for the top tiers in any case, and for the rest as far as the pace to the credits' last day allows. */
    private chooseAffordable(pool: PoolId, snapshot: PurchaseSnapshot, supply: readonly ZoneSupply[]): Mix {
        const mix = this.chooseFor(pool, snapshot, supply, this.settings.headroom, 1);
        const affordable = affordablePerHour(snapshot) * shareOfPool(pool, snapshot);
        if (affordable > RICH_FACTOR * mix.pricePerHour && affordable !== Infinity) {
            return this.chooseFor(pool, snapshot, supply, this.settings.headroomWhenRich, 1);
        }
        if (mix.pricePerHour <= affordable) return mix;
        for (const share of [0.75, 0.5, 0.25]) {
            const smaller = this.chooseFor(pool, snapshot, supply, this.settings.headroom, share);
            if (smaller.pricePerHour <= affordable) return smaller;
        }
        return this.chooseFor(pool, snapshot, supply, this.settings.headroom, 0);
    }

    private chooseFor(
        pool: PoolId,
        snapshot: PurchaseSnapshot,
        supply: readonly ZoneSupply[],
        headroom: number,
        lowerShare: number,
    ): Mix {
        const { topTier, topHeadroom, steadyShare, defaultSlots } = this.settings;
        const slotsPerUpstream = meanSlots(pool, snapshot) ?? defaultSlots;
        const demand = snapshot.demand.filter(item => item.pool === pool);
        const top = sumSlots(demand.filter(item => item.tier <= topTier));
        const lower = sumSlots(demand.filter(item => item.tier > topTier)) * lowerShare;
        const afterLoss = Math.ceil(top * topHeadroom / slotsPerUpstream);
        const total = Math.max(1, Math.ceil((top + lower) * headroom / slotsPerUpstream));
        return chooseMix({ total, afterLoss, leastSteady: Math.ceil(afterLoss * steadyShare) }, supply);
    }

    private adjust(kind: Kind, wanted: number, snapshot: PurchaseSnapshot): PurchaseOrder[] {
        const owned = ownedOf(kind, snapshot);
        const missing = wanted - owned.length - countPending(kind, snapshot);
        if (missing > 0) {
            this.surplusSince.delete(nameOf(kind));
            return [{ action: "start", ...kind, count: missing } satisfies StartOrder];
        }
        if (missing === 0) {
            this.surplusSince.delete(nameOf(kind));
            return [];
        }
        return this.stopSurplus(kind, owned, -missing, snapshot.now);
    }

    private stopSurplus(kind: Kind, owned: readonly OwnedUpstream[], surplus: number, now: number): StopOrder[] {
        const since = this.surplusSince.get(nameOf(kind)) ?? now;
        this.surplusSince.set(nameOf(kind), since);
        if (now - since < this.settings.holdMs) return [];
        return owned.filter(upstream => now - upstream.startedAt >= upstream.billedMinimumMs)
            .sort((a, b) => a.startedAt - b.startedAt)
            .slice(0, surplus)
            .map(upstream => ({ action: "stop", ...kind, upstream: upstream.id }));
    }
}

function readSupply(pool: PoolId, snapshot: PurchaseSnapshot): ZoneSupply[] {
    const offers = snapshot.offers.filter(offer => offer.pool === pool);
    const zones = new Set([...offers.map(offer => offer.zone), ...snapshot.owned.map(owned => owned.zone)]) as Set<
        ZoneId
    >;
    return [...zones].sort().map(zone => {
        const find = (reclaimable: boolean): Offer | undefined =>
            offers.find(offer => offer.zone === zone && offer.reclaimable === reclaimable);
        const count = (reclaimable: boolean): number => {
            const kind = { pool, zone, reclaimable };
            return (find(reclaimable)?.available ?? 0) + ownedOf(kind, snapshot).length + countPending(kind, snapshot);
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

function ownedOf(kind: Kind, snapshot: PurchaseSnapshot): readonly OwnedUpstream[] {
    return snapshot.owned.filter(other => isSameKind(kind, other) && !other.isLeaving);
}

function countPending(kind: Kind, snapshot: PurchaseSnapshot): number {
    return snapshot.pending.filter(other => isSameKind(kind, other)).reduce((sum, other) => sum + other.count, 0);
}

function meanSlots(pool: PoolId, snapshot: PurchaseSnapshot): number | undefined {
    const owned = snapshot.owned.filter(other => other.pool === pool);
    return owned.length === 0 ? undefined : sumSlots(owned) / owned.length;
}

function isSameKind(a: Kind, b: Kind): boolean {
    return a.pool === b.pool && a.zone === b.zone && a.reclaimable === b.reclaimable;
}

function nameOf(kind: Kind): string {
    return `${kind.pool}\n${kind.zone}\n${kind.reclaimable}`;
}

function affordablePerHour(snapshot: PurchaseSnapshot): number {
    if (!snapshot.credits) return Infinity;
    const { left, expiresAt } = snapshot.credits;
    return Math.max(0, left) / Math.max(HOUR_MS / 60, expiresAt - snapshot.now) * HOUR_MS;
}

function shareOfPool(pool: PoolId, snapshot: PurchaseSnapshot): number {
    const all = sumSlots(snapshot.demand);
    return all === 0 ? 1 : sumSlots(snapshot.demand.filter(item => item.pool === pool)) / all;
}

function sumSlots(demand: readonly { readonly slots: number; }[]): number {
    return demand.reduce((sum, item) => sum + item.slots, 0);
}
