import { PoolId, UpstreamId, ZoneId } from "../../ids/index.js";
import { Address, parseAddress } from "../../ports/index.js";
import { Announcement } from "../../protocol/index.js";

/** Whether an upstream may get work, as far as its own word goes. */
export type UpstreamState = "ready" | "leaving" | "gone" | "silent";

const UNKNOWN_ADDRESS: Address = { host: "0.0.0.0", port: 0 };

/** One back end as this process knows it: its newest announcement and when that was heard. */
export class Upstream {
    readonly id: UpstreamId;
    private newest: Announcement;
    private parsedAddress: Address;
    private silent = false;
    private confirmedAt = Number.NEGATIVE_INFINITY;
    private zoneEvacuated = false;
    /** Until when it is taken to be cold whatever it says; monotonic, in milliseconds. */
    private assumedColdUntil = Number.NEGATIVE_INFINITY;

    /**
     * @param announcement - The first one heard.
     * @param heardAt - Monotonic time at which it left the upstream, in milliseconds.
     * @param firstHand - Heard from the upstream itself, not from another entry.
     */
    constructor(announcement: Announcement, public heardAt: number, public firstHand: boolean) {
        this.id = announcement.id as UpstreamId;
        this.newest = announcement;
        this.parsedAddress = parseAddress(announcement.address) ?? UNKNOWN_ADDRESS;
    }

    get announcement(): Announcement {
        return this.newest;
    }

    get address(): Address {
        return this.parsedAddress;
    }

    get zone(): ZoneId {
        return this.newest.zone as ZoneId;
    }

    get pools(): readonly PoolId[] {
        return this.newest.pools as PoolId[];
    }

    get slots(): number {
        return this.newest.slots;
    }

    get state(): UpstreamState {
        if (this.newest.state !== "ready") return this.newest.state;
        return this.silent ? "silent" : "ready";
    }

    /** May get new work. An upstream about to be reclaimed may not, nor one whose zone is evacuated. */
    get isGrantable(): boolean {
        return this.state === "ready" && this.newest.reclaim_in_ms === undefined && !this.zoneEvacuated;
    }

    get isZoneEvacuated(): boolean {
        return this.zoneEvacuated;
    }

    /** Until when it bears few requests a second; monotonic, in milliseconds. */
    get coldUntil(): number {
        return Math.max(this.assumedColdUntil, this.heardAt + (this.newest.cold_ms ?? 0));
    }

    /** Monotonic time at which it was last known to announce itself, here or at a process that confirms it, in milliseconds. */
    get aliveAt(): number {
        return Math.max(this.heardAt, this.confirmedAt);
    }

    /** Monotonic time at which the reported load was measured, in milliseconds. */
    get loadMeasuredAt(): number {
        return this.heardAt - this.newest.load.age_ms;
    }

    /**
     * Says whether an announcement tells something newer. Once an incarnation has said that it leaves, nothing more of
     * that incarnation brings it back: a relayed "ready" that crossed the "leaving" would send work to a closing engine.
     */
    isOutdatedBy(announcement: Announcement): boolean {
        const known = this.newest;
        if (announcement.incarnation !== known.incarnation) return announcement.incarnation > known.incarnation;
        if (announcement.sequence <= known.sequence) return false;
        return STATE_RANK[announcement.state] >= STATE_RANK[known.state];
    }

    /** Takes over a newer announcement. */
    absorb(announcement: Announcement, heardAt: number, firstHand: boolean): void {
        if (announcement.address !== this.newest.address) {
            this.parsedAddress = parseAddress(announcement.address) ?? UNKNOWN_ADDRESS;
        }
        this.newest = announcement;
        this.heardAt = heardAt;
        this.firstHand = firstHand;
        this.silent = false;
    }

    /** Takes over from a process that hears it when it was last heard; monotonic, in milliseconds. */
    confirmAlive(at: number): void {
        this.confirmedAt = at;
    }

    /** Marks it as heard of again. */
    markHeard(): void {
        this.silent = false;
    }

    /** Sets whether its zone is evacuated. */
    setZoneEvacuated(isEvacuated: boolean): void {
        this.zoneEvacuated = isEvacuated;
    }

    /**
     * Takes it to be cold, even if it says that it is not: it may have become so since.
     *
     * @param until - Monotonic, in milliseconds.
     */
    assumeCold(until: number): void {
        this.assumedColdUntil = until;
    }

    /** Marks it as not heard of for too long. */
    markSilent(): void {
        this.silent = true;
    }
}

/**
 * Whether two announcements say the same of all but load and caches: where the upstream is, what it serves, and whether it may get work,
 * be it little.
 *
 * @param one - An announcement.
 * @param other - Another one of the same upstream.
 */
export function isSameMembership(one: Announcement, other: Announcement): boolean {
    return one.incarnation === other.incarnation
        && one.state === other.state
        && one.kind === other.kind
        && one.zone === other.zone
        && one.address === other.address
        && one.slots === other.slots
        && one.price_per_hour === other.price_per_hour
        && one.reclaimable === other.reclaimable
        && one.checks_fence === other.checks_fence
        && isCold(one) === isCold(other)
        && (one.reclaim_in_ms === undefined) === (other.reclaim_in_ms === undefined)
        && one.pools.length === other.pools.length
        && one.pools.every((pool, at) => pool === other.pools[at]);
}

function isCold({ cold_ms: coldMs = 0 }: Announcement): boolean {
    return coldMs > 0;
}

const STATE_RANK = { ready: 0, leaving: 1, gone: 2 } as const;
