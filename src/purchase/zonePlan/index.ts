import { ZoneId } from "../../ids/index.js";

/** Upstreams of one pool in one zone, either the steady or the reclaimable ones. */
export interface ZoneCount {
    /** Number of upstreams that accept work. */
    readonly ready: number;
    /** Number in the last order; undefined when there was none. */
    readonly ordered: number | undefined;
    /** Whether the platform had none at the last order. */
    readonly soldOut: boolean;
}

/** Current upstreams of a pool in one zone. */
export interface PoolZoneState {
    readonly zone: ZoneId;
    /** Price of a steady upstream per second. */
    readonly price: number;
    /** Upstreams that the platform does not take back. */
    readonly steady: ZoneCount;
    /** Upstreams that the platform may take back at any time. */
    readonly reclaimable: ZoneCount;
    /** Whether the zone is evacuated: its upstreams get no work. */
    readonly isEvacuated?: boolean;
}

/** Input of `planZones`: a pool's upstreams, bounds and need. */
export interface PoolPlanInput {
    readonly zones: readonly PoolZoneState[];
    /** Minimum number of upstreams in a zone. */
    readonly minPerZone: number;
    /** Maximum number of upstreams in a zone, of both kinds together. */
    readonly maxPerZone: number;
    /** Price of a reclaimable upstream as a share of a steady one's; undefined where there are none. */
    readonly reclaimablePrice: number | undefined;
    /** Number of upstreams that serve the present load well. */
    readonly needed: number;
    /** Minimum number of upstreams that can serve the present load; steady ones are bought up to this number only. */
    readonly minNeeded: number;
}

/** Planned number of upstreams in a zone. */
export interface ZoneTarget {
    readonly zone: ZoneId;
    readonly steady: number;
    readonly reclaimable: number;
}

/**
 * Reclaimable upstreams are preferred when they cost at most this share of a steady one's price: the difference makes up for the risk
 * that they are taken back at any time.
 */
const MAX_RECLAIMABLE_PRICE_RATIO = 0.7;
/** Steady upstreams fill at most this share of a zone's bound in a shortage, which leaves room for reclaimable ones that return. */
const MAX_STEADY_SHARE = 0.5;

/**
 * Plans the number of upstreams in each zone: reclaimable ones where they are cheap, enough to serve the load after the platform has
 * taken back those of a whole zone, and steady ones for the load that reclaimable ones can't serve at present. An evacuated zone keeps
 * its upstreams: if they had to be ordered again, they would be cold when the zone is restored.
 *
 * @example
 * const targets = planZones(input);
 */
export function planZones(input: PoolPlanInput): readonly ZoneTarget[] {
    const zones = input.zones.filter(({ isEvacuated }) => !isEvacuated);
    const planned = planZonesInService({ ...input, zones });
    return input.zones.map(zone => planned.find(target => target.zone === zone.zone) ?? keepCurrent(zone));
}

function planZonesInService(input: PoolPlanInput): readonly ZoneTarget[] {
    const { zones, reclaimablePrice } = input;
    if (zones.length === 0) return [];
    const isCheap = reclaimablePrice !== undefined && reclaimablePrice <= MAX_RECLAIMABLE_PRICE_RATIO;
    return isCheap ? planReclaimable(input) : planSteady(input);
}

function keepCurrent({ zone, steady, reclaimable }: PoolZoneState): ZoneTarget {
    return { zone, steady: steady.ordered ?? steady.ready, reclaimable: reclaimable.ordered ?? reclaimable.ready };
}

function planReclaimable(input: PoolPlanInput): ZoneTarget[] {
    const { zones, minPerZone, maxPerZone, needed } = input;
    // The platform may take back all reclaimable upstreams of one zone at any time.
    const otherZoneCount = Math.max(1, zones.length - 1);
    const perZone = clamp(Math.ceil(needed / otherZoneCount), Math.max(1, minPerZone), maxPerZone);
    const targets = zones.map(zone => ({
        zone: zone.zone,
        reclaimable: perZone,
        steady: clamp(
            perZone - zone.reclaimable.ready,
            0,
            currentSteady(zone) - countSteadyToRelease(zone, perZone, maxPerZone),
        ),
    }));
    return addSteadyForShortfall(input, targets);
}

/**
 * Counts the steady upstreams to release so that reclaimable ones can start: half of them per plan.
 *
 * Prevents steady upstreams bought in a shortage from staying permanently: both kinds share a zone's bound, so where steady ones fill
 * it, no reclaimable one can start and replace them.
 */
function countSteadyToRelease({ steady, reclaimable }: PoolZoneState, targetCount: number, maxPerZone: number): number {
    const isFull = steady.ready + reclaimable.ready >= maxPerZone;
    if (!isFull || reclaimable.soldOut || reclaimable.ready >= targetCount) return 0;
    return Math.ceil(steady.ready / 2);
}

/**
 * Counts the steady upstreams that stay until reclaimable ones replace them: those that are ready, but no more than were ordered
 * last. Both kinds together can't exceed the zone's bound.
 */
function currentSteady({ steady }: PoolZoneState): number {
    return Math.min(steady.ready, steady.ordered ?? steady.ready);
}

/**
 * Adds steady upstreams, in the cheapest zones first, for the minimum need that neither the serving nor the starting reclaimable
 * upstreams will meet.
 */
function addSteadyForShortfall(
    { zones, maxPerZone, minNeeded }: PoolPlanInput,
    targets: readonly ZoneTarget[],
): ZoneTarget[] {
    const expected = zones.reduce((sum, zone, at) => sum + countExpected(zone, targets[at]), 0);
    let shortfall = minNeeded - expected;
    const byPrice = zones.map((zone, at) => ({ zone, at })).sort((a, b) => a.zone.price - b.zone.price);
    const planned = [...targets];
    for (const { zone, at } of byPrice) {
        const target = planned[at];
        const freeCount = Math.min(Math.floor(maxPerZone * MAX_STEADY_SHARE), maxPerZone - zone.reclaimable.ready)
            - target.steady;
        const added = clamp(shortfall, 0, Math.max(0, freeCount));
        planned[at] = { ...target, steady: target.steady + added };
        shortfall -= added;
    }
    return planned;
}

function countExpected({ reclaimable }: PoolZoneState, target: ZoneTarget): number {
    const expectedReclaimable = reclaimable.soldOut
        ? reclaimable.ready
        : Math.max(reclaimable.ready, target.reclaimable);
    return target.steady + expectedReclaimable;
}

function planSteady({ zones, minPerZone, maxPerZone, needed }: PoolPlanInput): ZoneTarget[] {
    const perZone = clamp(Math.ceil(needed / zones.length), minPerZone, maxPerZone);
    return zones.map(({ zone }) => ({ zone, steady: perZone, reclaimable: 0 }));
}

function clamp(value: number, low: number, high: number): number {
    return Math.max(low, Math.min(high, value));
}
