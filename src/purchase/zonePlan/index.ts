import { ZoneId } from "../../ids/index.js";

/** Upstreams of one pool in one zone, of one kind. */
export interface ZoneCount {
    /** Those that take work. */
    readonly ready: number;
    /** How many were ordered last; undefined when nothing was. */
    readonly ordered: number | undefined;
    /** The platform had none the last time it was asked. */
    readonly soldOut: boolean;
}

/** One zone of a pool. */
export interface ZoneSituation {
    readonly zone: ZoneId;
    /** The price of a steady upstream's second. */
    readonly price: number;
    readonly steady: ZoneCount;
    readonly reclaimable: ZoneCount;
    /** Its upstreams get no work. */
    readonly isEvacuated?: boolean;
}

/** What a pool needs, and what it may have. */
export interface PoolSituation {
    readonly zones: readonly ZoneSituation[];
    /** The fewest and the most upstreams in one zone. */
    readonly least: number;
    readonly most: number;
    /** What a reclaimable upstream costs, as a share of a steady one; undefined where there are none. */
    readonly reclaimablePrice: number | undefined;
    /** How many upstreams carry the present load well. */
    readonly needed: number;
    /** How many carry it at all; steady ones are bought for these only. */
    readonly leastNeeded: number;
}

/** How many upstreams a zone should have. */
export interface ZoneWish {
    readonly zone: ZoneId;
    readonly steady: number;
    readonly reclaimable: number;
}

/** A reclaimable upstream is taken in place of a steady one when it costs at most this share of it: it may go at any moment. */
const WORTHWHILE_PRICE = 0.7;
/** In a shortage steady ones fill so much of a zone's bound at most, so that reclaimable ones find room when they come back. */
const STEADY_SHARE = 0.5;

/**
 * Plans how many upstreams each zone should have: reclaimable ones where they are cheap, as many that the load is still carried when
 * the platform takes back those of a whole zone, and steady ones for what reclaimable ones can't carry now. A zone that is evacuated keeps
 * what it has: its upstreams would be cold when it is restored if they had to be ordered anew.
 *
 * @example
 * const wishes = planZones({ zones, least: 1, most: 4, reclaimablePrice: 0.18, needed: 6, leastNeeded: 3 });
 */
export function planZones(situation: PoolSituation): readonly ZoneWish[] {
    const zones = situation.zones.filter(({ isEvacuated }) => !isEvacuated);
    const planned = planOpenZones({ ...situation, zones });
    return situation.zones.map(zone => planned.find(wish => wish.zone === zone.zone) ?? keepPresent(zone));
}

function planOpenZones(situation: PoolSituation): readonly ZoneWish[] {
    const { zones, reclaimablePrice } = situation;
    if (zones.length === 0) return [];
    const isCheap = reclaimablePrice !== undefined && reclaimablePrice <= WORTHWHILE_PRICE;
    return isCheap ? planReclaimable(situation) : planSteady(situation);
}

function keepPresent({ zone, steady, reclaimable }: ZoneSituation): ZoneWish {
    return { zone, steady: steady.ordered ?? steady.ready, reclaimable: reclaimable.ordered ?? reclaimable.ready };
}

function planReclaimable(situation: PoolSituation): ZoneWish[] {
    const { zones, least, most, needed } = situation;
    // One zone may be taken back as a whole at any moment.
    const others = Math.max(1, zones.length - 1);
    const perZone = clamp(Math.ceil(needed / others), Math.max(1, least), most);
    const wishes = zones.map(zone => ({
        zone: zone.zone,
        reclaimable: perZone,
        steady: clamp(perZone - zone.reclaimable.ready, 0, presentSteady(zone) - countInTheWay(zone, perZone, most)),
    }));
    return addMissing(situation, wishes);
}

/**
 * Steady upstreams that must go for reclaimable ones to come, half of them at a time.
 *
 * Guards against steady ones that were bought in a shortage and stay for good: both kinds share a zone's bound, so where they fill it no
 * reclaimable one can come to take over.
 */
function countInTheWay({ steady, reclaimable }: ZoneSituation, wanted: number, most: number): number {
    const isFull = steady.ready + reclaimable.ready >= most;
    if (!isFull || reclaimable.soldOut || reclaimable.ready >= wanted) return 0;
    return Math.ceil(steady.ready / 2);
}

/** What there is stays until a reclaimable one takes over: both kinds together may be no more than the zone's most. */
function presentSteady({ steady }: ZoneSituation): number {
    return Math.min(steady.ready, steady.ordered ?? steady.ready);
}

/** Steady upstreams, the cheapest zones first, for what neither the reclaimable ones that serve nor those that boot will carry. */
function addMissing({ zones, most, leastNeeded }: PoolSituation, wishes: readonly ZoneWish[]): ZoneWish[] {
    const carried = zones.reduce((sum, zone, at) => sum + carriedBy(zone, wishes[at]), 0);
    let missing = leastNeeded - carried;
    const byPrice = zones.map((zone, at) => ({ zone, at })).sort((a, b) => a.zone.price - b.zone.price);
    const planned = [...wishes];
    for (const { zone, at } of byPrice) {
        const wish = planned[at];
        const room = Math.min(Math.floor(most * STEADY_SHARE), most - zone.reclaimable.ready) - wish.steady;
        const added = clamp(missing, 0, Math.max(0, room));
        planned[at] = { ...wish, steady: wish.steady + added };
        missing -= added;
    }
    return planned;
}

function carriedBy({ reclaimable }: ZoneSituation, wish: ZoneWish): number {
    const coming = reclaimable.soldOut ? reclaimable.ready : Math.max(reclaimable.ready, wish.reclaimable);
    return wish.steady + coming;
}

function planSteady({ zones, least, most, needed }: PoolSituation): ZoneWish[] {
    const perZone = clamp(Math.ceil(needed / zones.length), least, most);
    return zones.map(({ zone }) => ({ zone, steady: perZone, reclaimable: 0 }));
}

function clamp(value: number, low: number, high: number): number {
    return Math.max(low, Math.min(high, value));
}
