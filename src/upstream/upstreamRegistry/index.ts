import { PoolId, UpstreamId, ZoneId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";
import { Announcement } from "../../protocol/index.js";
import { isSameMembership, Upstream } from "../upstream/index.js";

/** An announcement passed from one entry to another. */
export interface AnnouncementRecord {
    readonly announcement: Announcement;
    /** Time between the sending by the upstream and the creation of this record, in milliseconds. */
    readonly ageMs: number;
    /**
     * Whether the process that created this record received the announcement from another process, not from the
     * upstream itself.
     */
    readonly relayed?: boolean;
}

/** Changes of the registry since a version. */
export interface RegistryChanges {
    /** Version to pass to the next call of `changesSince`. */
    readonly version: number;
    readonly records: readonly AnnouncementRecord[];
}

/**
 * Selects which changes are returned.
 *
 * `heard`: only those received from the upstreams themselves, and departures from any source, since missing one of
 * these does harm;
 * `membership`: the same, if anything but load and caches has changed;
 * `all`: other relayed records too, for a process that starts.
 */
export type ChangeScope = "heard" | "membership" | "all";

/** Time limits of the registry. */
export interface RegistryTiming {
    /** An upstream that has not announced itself for this long gets no new work, in milliseconds. */
    readonly silentAfterMs: number;
    /**
     * Time for which a departed upstream is remembered, in milliseconds: longer than any announcement can be in
     * transit.
     */
    readonly tombstoneMs: number;
}

/** Four consecutive lost announcements make an upstream silent; a tombstone outlives every buffer between two hosts. */
export const DEFAULT_REGISTRY_TIMING: RegistryTiming = { silentAfterMs: 2_000, tombstoneMs: 3_600_000 };

/** Called with each upstream whose announcement or state changed. */
export type UpstreamListener = (upstream: Upstream) => void;

interface Change {
    readonly version: number;
    readonly id: UpstreamId;
}

const CHANGE_LOG_SLACK = 64;
const MAX_UNANNOUNCED_DEPARTURES = 256;

/**
 * All upstreams that this process has discovered. There is no configured list of upstreams: they announce themselves to
 * any entry, and entries pass their announcements on to each other.
 *
 * @example
 * const registry = new UpstreamRegistry({ clock });
 * registry.announce(announcement);
 * peer.merge(registry.changesSince(0, "all").records);
 */
export class UpstreamRegistry {
    private readonly clock: Clock;
    private readonly timing: RegistryTiming;
    private readonly upstreams = new Map<UpstreamId, Upstream>();
    private readonly versions = new Map<UpstreamId, number>();
    /** Version at which anything but load and caches last changed. */
    private readonly membershipVersions = new Map<UpstreamId, number>();
    private readonly byPool = new Map<PoolId, Map<UpstreamId, Upstream>>();
    /** Incarnations that are known to leave but have not been announced to this process. */
    private readonly unannouncedDepartures = new Map<UpstreamId, number>();
    private readonly listeners: UpstreamListener[] = [];
    private evacuatedZones: ReadonlySet<ZoneId> = new Set();
    private changeLog: Change[] = [];
    private version = 0;

    /** @param options - The clock and, for tests, other time limits. */
    constructor(options: { readonly clock: Clock; readonly timing?: RegistryTiming; }) {
        this.clock = options.clock;
        this.timing = options.timing ?? DEFAULT_REGISTRY_TIMING;
    }

    /**
     * Applies an announcement received from the upstream itself.
     *
     * @param announcement - The announcement.
     * @param now - Monotonic time of its arrival, in milliseconds.
     * @returns Whether it was newer than the known one.
     */
    announce(announcement: Announcement, now: number = this.clock.monotonic()): boolean {
        return this.accept(announcement, now, true);
    }

    /**
     * Applies records received from another entry.
     *
     * @param records - Result of the other entry's `changesSince`.
     * @param now - Monotonic time of their arrival, in milliseconds.
     * @returns How many were newer than the known announcements.
     */
    merge(records: readonly AnnouncementRecord[], now: number = this.clock.monotonic()): number {
        const isNew = (record: AnnouncementRecord): boolean => {
            if (record.announcement.state === "ready" && record.ageMs >= this.timing.silentAfterMs) return false;
            return this.accept(record.announcement, now - record.ageMs, false);
        };
        return records.filter(isNew).length;
    }

    /**
     * Records that an upstream has stated that it is about to end, other than by an announcement.
     *
     * @param incarnation - The incarnation that stated it; later ones are not affected.
     * @returns Whether that was unknown.
     */
    markLeaving(id: UpstreamId, incarnation: number): boolean {
        const known = this.upstreams.get(id);
        if (!known || known.announcement.incarnation < incarnation) return this.rememberDeparture(id, incarnation);
        const { announcement, announcedAt, firstHand } = known;
        if (announcement.incarnation !== incarnation || announcement.state !== "ready") return false;
        return this.accept({ ...announcement, state: "leaving" }, announcedAt, firstHand);
    }

    /**
     * Returns whether an upstream is known to leave or to have ended.
     *
     * @param incarnation - The incarnation in question; undefined for the newest known one.
     */
    isDeparting(id: UpstreamId, incarnation?: number): boolean {
        const known = this.upstreams.get(id);
        const departed = this.unannouncedDepartures.get(id);
        if (departed !== undefined && departed >= (incarnation ?? departed)) return true;
        if (!known || known.announcement.incarnation < (incarnation ?? 0)) return false;
        return known.state === "leaving" || known.state === "gone";
    }

    /** Maximum age of an announcement, in milliseconds, for its incarnation to be taken as running: one or two may be lost. */
    get maxCertainAgeMs(): number {
        return this.timing.silentAfterMs / 2;
    }

    /** Version of the latest change. */
    get latestVersion(): number {
        return this.version;
    }

    /**
     * Returns the changes after a version. The cost grows with the number of changes, not of upstreams.
     *
     * @param version - Version from an earlier call; 0 for the start.
     * @param scope - Selects which changes are included.
     */
    changesSince(version: number, scope: ChangeScope = "heard"): RegistryChanges {
        const now = this.clock.monotonic();
        const records: AnnouncementRecord[] = [];
        for (let index = this.changeLog.length - 1; index >= 0 && this.changeLog[index].version > version; index--) {
            const change = this.changeLog[index];
            const upstream = this.upstreams.get(change.id);
            if (!upstream || this.versions.get(change.id) !== change.version) continue;
            const relayed = !upstream.firstHand;
            const isRelayedReady = relayed && upstream.announcement.state === "ready";
            if (scope !== "all" && isRelayedReady) continue;
            if (scope === "membership" && this.membershipVersions.get(change.id)! <= version) continue;
            const ageMs = now - upstream.announcedAt;
            records.push({ announcement: upstream.announcement, ageMs, ...(relayed && { relayed }) });
        }
        return { version: this.version, records };
    }

    /** Returns the upstreams of a pool that have not been forgotten, whatever their state. */
    list(pool: PoolId): readonly Upstream[] {
        return [...this.byPool.get(pool)?.values() ?? []];
    }

    /** Returns the pools served by any upstream. */
    pools(): readonly PoolId[] {
        return [...this.byPool.keys()];
    }

    /** Returns all upstreams that have not been forgotten, whatever their state. */
    listAll(): readonly Upstream[] {
        return [...this.upstreams.values()];
    }

    get(id: UpstreamId): Upstream | undefined {
        return this.upstreams.get(id);
    }

    /** Registers a listener for changes. */
    onChange(listener: UpstreamListener): void {
        this.listeners.push(listener);
    }

    /**
     * Applies another process's confirmation that it receives the upstreams' announcements, so that unchanged
     * announcements need not be passed on again.
     *
     * @param at - Monotonic time at which they were received, in milliseconds.
     */
    confirmAlive(ids: Iterable<UpstreamId>, at: number): void {
        const isRecent = this.clock.monotonic() - at < this.timing.silentAfterMs;
        for (const id of ids) {
            const upstream = this.upstreams.get(id);
            if (upstream?.announcement.state !== "ready") continue;
            upstream.confirmAlive(at);
            if (!isRecent || upstream.state !== "silent") continue;
            upstream.clearSilent();
            this.notify(upstream);
        }
    }

    /**
     * Sets which zones are evacuated: their upstreams get no work.
     *
     * The upstreams of a restored zone are assumed to be cold for as long as after a start: they may have become cold
     * meanwhile, and would be overloaded before their next announcement says so.
     *
     * @param zones - All evacuated zones.
     * @param coldMsOf - Returns how long an upstream of a pool is cold after its start, in milliseconds.
     */
    setEvacuatedZones(zones: readonly ZoneId[], coldMsOf: (pool: PoolId) => number): void {
        const before = this.evacuatedZones;
        const now = this.clock.monotonic();
        this.evacuatedZones = new Set(zones);
        for (const upstream of this.upstreams.values()) {
            const isEvacuated = this.evacuatedZones.has(upstream.zone);
            if (isEvacuated === before.has(upstream.zone)) continue;
            upstream.setZoneEvacuated(isEvacuated);
            if (!isEvacuated) upstream.assumeCold(now + Math.max(...upstream.pools.map(coldMsOf)));
            this.notify(upstream);
        }
    }

    /** Marks silent upstreams and forgets expired tombstones. To be called a few times per second. */
    expire(now: number = this.clock.monotonic()): void {
        for (const upstream of [...this.upstreams.values()]) {
            const quietMs = now - upstream.aliveAt;
            if (quietMs >= this.timing.tombstoneMs) {
                this.forget(upstream);
            }
            else if (upstream.state === "ready" && quietMs >= this.timing.silentAfterMs) {
                upstream.markSilent();
                this.notify(upstream);
            }
        }
    }

    private accept(received: Announcement, announcedAt: number, firstHand: boolean): boolean {
        const id = received.id as UpstreamId;
        const announcement = this.applyDeparture(id, received);
        const known = this.upstreams.get(id);
        if (known && !known.isOutdatedBy(announcement)) return false;
        const upstream = known ?? new Upstream(announcement, announcedAt, firstHand);
        // An upstream that starts to announce itself here counts as a change too: the process that received it before
        // no longer confirms it.
        const isMembershipChange = !known
            || known.state === "silent"
            || (firstHand && !known.firstHand)
            || !isSameMembership(known.announcement, announcement);
        if (known) this.removeFromPools(known);
        known?.update(announcement, announcedAt, firstHand);
        upstream.setZoneEvacuated(this.evacuatedZones.has(upstream.zone));
        this.upstreams.set(id, upstream);
        this.addToPools(upstream);
        this.recordChange(id);
        if (isMembershipChange) this.membershipVersions.set(id, this.version);
        this.notify(upstream);
        return true;
    }

    /** Remembers the departure of an incarnation that has not been announced to this process yet. */
    private rememberDeparture(id: UpstreamId, incarnation: number): boolean {
        const departed = this.unannouncedDepartures.get(id);
        if (departed !== undefined && departed >= incarnation) return false;
        this.unannouncedDepartures.delete(id);
        this.unannouncedDepartures.set(id, incarnation);
        if (this.unannouncedDepartures.size <= MAX_UNANNOUNCED_DEPARTURES) return true;
        this.unannouncedDepartures.delete(this.unannouncedDepartures.keys().next().value!);
        return true;
    }

    private applyDeparture(id: UpstreamId, announcement: Announcement): Announcement {
        const departed = this.unannouncedDepartures.get(id);
        if (departed === undefined || departed > announcement.incarnation) return announcement;
        this.unannouncedDepartures.delete(id);
        const isLeaving = departed === announcement.incarnation && announcement.state === "ready";
        return isLeaving ? { ...announcement, state: "leaving" } : announcement;
    }

    private addToPools(upstream: Upstream): void {
        for (const pool of upstream.pools) {
            const members = this.byPool.get(pool) ?? new Map<UpstreamId, Upstream>();
            members.set(upstream.id, upstream);
            this.byPool.set(pool, members);
        }
    }

    private removeFromPools(upstream: Upstream): void {
        for (const pool of upstream.pools) {
            const members = this.byPool.get(pool);
            members?.delete(upstream.id);
            if (members?.size === 0) this.byPool.delete(pool);
        }
    }

    private recordChange(id: UpstreamId): void {
        this.version++;
        this.versions.set(id, this.version);
        this.changeLog.push({ version: this.version, id });
        if (this.changeLog.length <= 2 * this.upstreams.size + CHANGE_LOG_SLACK) return;
        this.changeLog = this.changeLog.filter(change => this.versions.get(change.id) === change.version);
    }

    private forget(upstream: Upstream): void {
        this.upstreams.delete(upstream.id);
        this.versions.delete(upstream.id);
        this.membershipVersions.delete(upstream.id);
        this.removeFromPools(upstream);
    }

    private notify(upstream: Upstream): void {
        for (const listener of this.listeners) listener(upstream);
    }
}
