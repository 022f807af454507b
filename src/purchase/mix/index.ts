import { ZoneId } from "../../ids/index.js";

/** What one zone offers of a pool, what is running there included. */
export interface ZoneSupply {
    readonly zone: ZoneId;
    /** How many reclaimable upstreams could run there. */
    readonly reclaimable: number;
    readonly steady: number;
    /** In micro-credits an hour. */
    readonly reclaimablePrice: number;
    readonly steadyPrice: number;
}

/** What a pool must hold, in upstreams. */
export interface MixNeed {
    /** In all. */
    readonly total: number;
    /** After any one zone has lost all its reclaimable upstreams. */
    readonly afterLoss: number;
    /** Steady ones at the least, whatever they cost: cheap capacity can vanish everywhere. */
    readonly leastSteady: number;
}

/** How many upstreams to run in a zone. */
export interface ZoneMix {
    readonly zone: ZoneId;
    readonly reclaimable: number;
    readonly steady: number;
}

/** A mix and whether it holds what was needed. */
export interface Mix {
    readonly zones: readonly ZoneMix[];
    /** In micro-credits an hour. */
    readonly pricePerHour: number;
    /** Supply was too short for the need; this is the nearest that can be had. */
    readonly isShort: boolean;
}

/**
 * Finds the cheapest mix that holds the need.
 *
 * Reclaimable upstreams are taken back a whole zone at a time, so one zone's share of them must never be what the top
 * tiers stand on. Spread evenly, more of them can be cheaper cover than a few steady ones; the search weighs both.
 *
 * @example
 * chooseMix({ total: 8, afterLoss: 4, leastSteady: 1 }, supply);
 */
export function chooseMix(need: MixNeed, supply: readonly ZoneSupply[]): Mix {
    const mostReclaimable = sum(supply, zone => zone.reclaimable);
    const mostSteady = sum(supply, zone => zone.steady);
    let best: Mix | undefined;
    let widest: Mix = mixOf(
        spread(supply, mostReclaimable, "reclaimable"),
        spread(supply, mostSteady, "steady"),
        supply,
    );
    const reclaimableBound = Math.min(mostReclaimable, need.total + need.afterLoss);
    for (let reclaimable = 0; reclaimable <= reclaimableBound; reclaimable++) {
        const cheap = spread(supply, reclaimable, "reclaimable");
        const worstLoss = Math.max(0, ...cheap);
        const steady = Math.max(need.leastSteady, need.total - reclaimable, need.afterLoss - reclaimable + worstLoss);
        if (steady > mostSteady) continue;
        const mix = mixOf(cheap, spread(supply, steady, "steady"), supply);
        if (!best || mix.pricePerHour < best.pricePerHour) best = mix;
    }
    if (best) return best;
    widest = { ...widest, isShort: true };
    return widest;
}

/** Fills the zones evenly, the cheaper first, up to what each offers. */
function spread(supply: readonly ZoneSupply[], count: number, kind: "reclaimable" | "steady"): number[] {
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

function mixOf(reclaimable: readonly number[], steady: readonly number[], supply: readonly ZoneSupply[]): Mix {
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

function sum<Item>(items: readonly Item[], read: (item: Item) => number): number {
    return items.reduce((total, item) => total + read(item), 0);
}
