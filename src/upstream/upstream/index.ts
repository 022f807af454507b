import { PoolId, SoftwareVersion, UpstreamId, ZoneId } from "../../ids/index.js";
import { Address, parseAddress } from "../../ports/index.js";
import { Announcement } from "../../protocol/index.js";

/** Whether an upstream may get work, according to its own announcements and their absence. */
export type UpstreamState = "ready" | "leaving" | "gone" | "silent";

const UNKNOWN_ADDRESS: Address = { host: "0.0.0.0", port: 0 };

/** A back end as this process knows it: its newest announcement and the time at which that was received. */
export class Upstream {
    readonly id: UpstreamId;
    private newest: Announcement;
    private parsedAddress: Address;
    private isSilent = false;
    private confirmedAt = Number.NEGATIVE_INFINITY;
    private inEvacuatedZone = false;
    private knownSoftware: SoftwareVersion | undefined;
    /** Whether one incarnation has announced several software versions, so that none of them can be relied on. */
    private isSoftwareAmbiguous = false;
    /** Monotonic time until which it is assumed to be cold whatever it announces, in milliseconds. */
    private assumedColdUntil = Number.NEGATIVE_INFINITY;

    /**
     * @param announcement - First announcement received.
     * @param announcedAt - Monotonic time at which it left the upstream, in milliseconds.
     * @param firstHand - Whether it was received from the upstream itself, not from another entry.
     */
    constructor(announcement: Announcement, public announcedAt: number, public firstHand: boolean) {
        this.id = announcement.id as UpstreamId;
        this.newest = announcement;
        this.parsedAddress = parseAddress(announcement.address) ?? UNKNOWN_ADDRESS;
        this.updateSoftware(announcement);
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

    /** Version of the software that this incarnation runs; undefined while it is unknown. */
    get software(): SoftwareVersion | undefined {
        return this.isSoftwareAmbiguous ? undefined : this.knownSoftware;
    }

    get slots(): number {
        return this.newest.slots;
    }

    get state(): UpstreamState {
        if (this.newest.state !== "ready") return this.newest.state;
        return this.isSilent ? "silent" : "ready";
    }

    /** Whether it may get new work: not if it is about to be reclaimed, nor if its zone is evacuated. */
    get isGrantable(): boolean {
        return this.state === "ready" && this.newest.reclaim_in_ms === undefined && !this.inEvacuatedZone;
    }

    get isZoneEvacuated(): boolean {
        return this.inEvacuatedZone;
    }

    /** Monotonic time until which it can serve only few requests per second, in milliseconds. */
    get coldUntil(): number {
        return Math.max(this.assumedColdUntil, this.announcedAt + (this.newest.cold_ms ?? 0));
    }

    /**
     * Monotonic time at which it was last known to announce itself, to this process or to one that confirms it, in
     * milliseconds.
     */
    get aliveAt(): number {
        return Math.max(this.announcedAt, this.confirmedAt);
    }

    /** Monotonic time at which the reported load was measured, in milliseconds. */
    get loadMeasuredAt(): number {
        return this.announcedAt - this.newest.load.age_ms;
    }

    /**
     * Returns whether an announcement is newer than the known one. Once an incarnation has announced that it leaves,
     * no later announcement of it makes it available again: a relayed "ready" that crossed the "leaving" would send work to
     * a closing engine. A departure therefore counts also if it arrives after a later "ready".
     */
    isOutdatedBy(announcement: Announcement): boolean {
        const known = this.newest;
        if (announcement.incarnation !== known.incarnation) return announcement.incarnation > known.incarnation;
        const rankChange = STATE_RANK[announcement.state] - STATE_RANK[known.state];
        return rankChange === 0 ? announcement.sequence > known.sequence : rankChange > 0;
    }

    /** Replaces the announcement by a newer one. */
    update(announcement: Announcement, announcedAt: number, firstHand: boolean): void {
        if (announcement.address !== this.newest.address) {
            this.parsedAddress = parseAddress(announcement.address) ?? UNKNOWN_ADDRESS;
        }
        if (announcement.incarnation !== this.newest.incarnation) this.forgetSoftware();
        this.updateSoftware(announcement);
        this.newest = announcement;
        this.announcedAt = announcedAt;
        this.firstHand = firstHand;
        this.isSilent = false;
    }

    /** Records the monotonic time at which another process last received an announcement from it, in milliseconds. */
    confirmAlive(at: number): void {
        this.confirmedAt = at;
    }

    /** Marks it as announcing itself again. */
    clearSilent(): void {
        this.isSilent = false;
    }

    /** Sets whether its zone is evacuated. */
    setZoneEvacuated(isEvacuated: boolean): void {
        this.inEvacuatedZone = isEvacuated;
    }

    /**
     * Assumes that it is cold even if it announces otherwise: it may have become cold since.
     *
     * @param until - Monotonic time, in milliseconds.
     */
    assumeCold(until: number): void {
        this.assumedColdUntil = until;
    }

    /** Marks it as not having announced itself for too long. */
    markSilent(): void {
        this.isSilent = true;
    }

    private forgetSoftware(): void {
        this.knownSoftware = undefined;
        this.isSoftwareAmbiguous = false;
    }

    /** Keeps a version that an announcement leaves out: hosts of an earlier build pass announcements on without it. */
    private updateSoftware({ software_version: announced }: Announcement): void {
        if (announced === undefined) return;
        if (this.knownSoftware !== undefined && this.knownSoftware !== announced) this.isSoftwareAmbiguous = true;
        this.knownSoftware = announced as SoftwareVersion;
    }
}

/**
 * Returns whether two announcements agree in everything but load and caches: the upstream's location, what it serves,
 * and whether it may get work, or only little work because it is cold.
 *
 * @param one - An announcement.
 * @param other - Another announcement of the same upstream.
 */
export function isSameMembership(one: Announcement, other: Announcement): boolean {
    return one.incarnation === other.incarnation
        && one.state === other.state
        && one.kind === other.kind
        && one.zone === other.zone
        && one.address === other.address
        && one.slots === other.slots
        && one.software_version === other.software_version
        && one.price_per_hour === other.price_per_hour
        && one.reclaimable === other.reclaimable
        && one.checks_fence === other.checks_fence
        && announcesCold(one) === announcesCold(other)
        && (one.reclaim_in_ms === undefined) === (other.reclaim_in_ms === undefined)
        && one.pools.length === other.pools.length
        && one.pools.every((pool, at) => pool === other.pools[at]);
}

function announcesCold({ cold_ms: coldMs = 0 }: Announcement): boolean {
    return coldMs > 0;
}

const STATE_RANK = { ready: 0, leaving: 1, gone: 2 } as const;
