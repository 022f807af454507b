import { ZoneId } from "../../ids/index.js";

/** Upstreams of a pool that could run in one zone, including those that run there already. */
export interface ZoneSupply {
    readonly zone: ZoneId;
    /** Number of upstreams that the platform may reclaim. */
    readonly reclaimable: number;
    /** Number of upstreams that are not reclaimable. */
    readonly steady: number;
    /** Price of a reclaimable upstream, in micro-credits per hour. */
    readonly reclaimablePrice: number;
    /** Price of a steady upstream, in micro-credits per hour. */
    readonly steadyPrice: number;
}

/** Number of upstreams that a pool needs. */
export interface MixRequirement {
    /** In total. */
    readonly total: number;
    /** Left after any one zone has lost all its reclaimable upstreams. */
    readonly afterLoss: number;
    /** Minimum of steady ones, whatever they cost: reclaimable capacity can disappear in all zones. */
    readonly minSteady: number;
}

/** Number of upstreams to run in a zone. */
export interface ZoneMix {
    readonly zone: ZoneId;
    readonly reclaimable: number;
    readonly steady: number;
}

/** Number of upstreams to run in each zone, and their price. */
export interface UpstreamMix {
    readonly zones: readonly ZoneMix[];
    /** In micro-credits per hour. */
    readonly pricePerHour: number;
    /** Whether supply does not meet the requirement; the mix then takes all that is available. */
    readonly isShort: boolean;
}

/**
 * Finds the cheapest mix that meets the requirement.
 *
 * The platform reclaims a whole zone at once, so the top tiers must never depend on the reclaimable upstreams of one zone. A larger
 * number of reclaimable upstreams spread evenly over the zones can be cheaper than a few steady ones; the search compares both.
 *
 * @example
 * chooseMix({ total: 8, afterLoss: 4, minSteady: 1 }, supply);
 */
export function chooseMix(required: MixRequirement, supply: readonly ZoneSupply[]): UpstreamMix {
    const maxReclaimable = sum(supply, zone => zone.reclaimable);
    const maxSteady = sum(supply, zone => zone.steady);
    let best: UpstreamMix | undefined;
    let largest: UpstreamMix = buildMix(
        spreadOverZones(supply, maxReclaimable, "reclaimable"),
        spreadOverZones(supply, maxSteady, "steady"),
        supply,
    );
    const reclaimableBound = Math.min(maxReclaimable, required.total + required.afterLoss);
    for (let reclaimable = 0; reclaimable <= reclaimableBound; reclaimable++) {
        const reclaimableByZone = spreadOverZones(supply, reclaimable, "reclaimable");
        const largestZoneLoss = Math.max(0, ...reclaimableByZone);
        const steady = Math.max(
            required.minSteady,
            required.total - reclaimable,
            required.afterLoss - reclaimable + largestZoneLoss,
        );
        if (steady > maxSteady) continue;
        const mix = buildMix(reclaimableByZone, spreadOverZones(supply, steady, "steady"), supply);
        if (!best || mix.pricePerHour < best.pricePerHour) best = mix;
    }
    if (best) return best;
    largest = { ...largest, isShort: true };
    return largest;
}

/** Distributes a number of upstreams evenly over the zones, the cheaper zones first, up to the supply of each. */
function spreadOverZones(supply: readonly ZoneSupply[], count: number, kind: "reclaimable" | "steady"): number[] {
    const counts = supply.map(() => 0);
    const priceOf = (zone: ZoneSupply): number => kind === "steady" ? zone.steadyPrice : zone.reclaimablePrice;
    for (let placed = 0; placed < count; placed++) {
        let next = -1;
        for (let index = 0; index < supply.length; index++) {
            if (counts[index] >= supply[index][kind]) continue;
            const isEmptier = next < 0 || counts[index] < counts[next];
            const isCheaper = next >= 0 && counts[index] === counts[next]
                && priceOf(supply[index]) < priceOf(supply[next]);
            if (isEmptier || isCheaper) next = index;
        }
        if (next < 0) break;
        counts[next]++;
    }
    return counts;
}

function buildMix(
    reclaimable: readonly number[],
    steady: readonly number[],
    supply: readonly ZoneSupply[],
): UpstreamMix {
    const zones = supply.map((zone, index) => ({
        zone: zone.zone,
        reclaimable: reclaimable[index],
        steady: steady[index],
    }));
    const priceAt = (zone: ZoneSupply, index: number): number =>
        reclaimable[index] * zone.reclaimablePrice + steady[index] * zone.steadyPrice;
    return {
        zones,
        pricePerHour: supply.reduce((price, zone, index) => price + priceAt(zone, index), 0),
        isShort: false,
    };
}

function sum<Item>(items: readonly Item[], valueOf: (item: Item) => number): number {
    return items.reduce((total, item) => total + valueOf(item), 0);
}
