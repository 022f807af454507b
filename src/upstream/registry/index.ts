import { PoolId, UpstreamId, ZoneId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";
import { Announcement } from "../../protocol/index.js";
import { isSameMembership, Upstream } from "../upstream/index.js";

/** An announcement on its way from one entry to another. */
export interface SpreadRecord {
    readonly announcement: Announcement;
    /** How long ago the upstream sent it, in milliseconds, when this record was made. */
    readonly ageMs: number;
    /** Whoever made this record has it from another process, and does not hear the upstream itself. */
    readonly relayed?: boolean;
}

/** What an entry has learned since a version. */
export interface RegistryChanges {
    /** Ask again from here. */
    readonly version: number;
    readonly records: readonly SpreadRecord[];
}

/**
 * `heard`: only what came from the upstreams themselves, and leavers whoever told of them, since missing one of these does harm;
 * `membership`: the same, where something else than load and caches has changed;
 * `all`: other relayed records too, for a process that starts.
 */
export type SpreadScope = "heard" | "membership" | "all";

/** How long the registry believes what it has heard. */
export interface RegistryTiming {
    /** An upstream not heard of for this long gets no new work, in milliseconds. */
    readonly silentAfterMs: number;
    /** How long a leaver is remembered, in milliseconds: longer than any announcement can be under way. */
    readonly tombstoneMs: number;
}

/** Four announcements lost in a row mean silence; a tombstone outlives every buffer between two hosts. */
export const DEFAULT_REGISTRY_TIMING: RegistryTiming = { silentAfterMs: 2_000, tombstoneMs: 3_600_000 };

/** Told of each upstream whose announcement or state changed. */
export type UpstreamListener = (upstream: Upstream) => void;

interface Change {
    readonly version: number;
    readonly id: UpstreamId;
}

const LOG_SLACK = 64;

/**
 * All upstreams that this process has heard of. There is no list of upstreams: they announce themselves to any entry,
 * and entries spread what they heard.
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
    /** The version at which more than load and caches last changed. */
    private readonly membershipVersions = new Map<UpstreamId, number>();
    private readonly byPool = new Map<PoolId, Map<UpstreamId, Upstream>>();
    private readonly listeners: UpstreamListener[] = [];
    private evacuatedZones: ReadonlySet<ZoneId> = new Set();
    private log: Change[] = [];
    private version = 0;

    /** @param options - Time and, for tests, other bounds. */
    constructor(options: { readonly clock: Clock; readonly timing?: RegistryTiming; }) {
        this.clock = options.clock;
        this.timing = options.timing ?? DEFAULT_REGISTRY_TIMING;
    }

    /**
     * Takes an announcement from the upstream itself.
     *
     * @param announcement - What it said.
     * @param now - Monotonic time of its arrival, in milliseconds.
     * @returns Whether it told something new.
     */
    announce(announcement: Announcement, now: number = this.clock.monotonic()): boolean {
        return this.take(announcement, now, true);
    }

    /**
     * Takes records that another entry spread.
     *
     * @param records - From the other's `changesSince`.
     * @param now - Monotonic time of their arrival, in milliseconds.
     * @returns How many told something new.
     */
    merge(records: readonly SpreadRecord[], now: number = this.clock.monotonic()): number {
        const isNews = (record: SpreadRecord): boolean => {
            if (record.announcement.state === "ready" && record.ageMs >= this.timing.silentAfterMs) return false;
            return this.take(record.announcement, now - record.ageMs, false);
        };
        return records.filter(isNews).length;
    }

    /** The version of what was last learned. */
    get latestVersion(): number {
        return this.version;
    }

    /**
     * What was learned after a version. Costs as much as there are changes, not upstreams.
     *
     * @param version - From an earlier call; 0 for the start.
     * @param scope - Whether relayed records are included.
     */
    changesSince(version: number, scope: SpreadScope = "heard"): RegistryChanges {
        const now = this.clock.monotonic();
        const records: SpreadRecord[] = [];
        for (let index = this.log.length - 1; index >= 0 && this.log[index].version > version; index--) {
            const change = this.log[index];
            const upstream = this.upstreams.get(change.id);
            if (!upstream || this.versions.get(change.id) !== change.version) continue;
            const relayed = !upstream.firstHand;
            const isRelayedNews = relayed && upstream.announcement.state === "ready";
            if (scope !== "all" && isRelayedNews) continue;
            if (scope === "membership" && this.membershipVersions.get(change.id)! <= version) continue;
            const ageMs = now - upstream.heardAt;
            records.push({ announcement: upstream.announcement, ageMs, ...(relayed && { relayed }) });
        }
        return { version: this.version, records };
    }

    /** The upstreams of a pool that were not forgotten, whatever their state. */
    list(pool: PoolId): readonly Upstream[] {
        return [...this.byPool.get(pool)?.values() ?? []];
    }

    /** The pools that any upstream serves. */
    pools(): readonly PoolId[] {
        return [...this.byPool.keys()];
    }

    /** All upstreams that were not forgotten, whatever their state. */
    listAll(): readonly Upstream[] {
        return [...this.upstreams.values()];
    }

    get(id: UpstreamId): Upstream | undefined {
        return this.upstreams.get(id);
    }

    /** Sets who is told of changes. */
    onChange(listener: UpstreamListener): void {
        this.listeners.push(listener);
    }

    /**
     * Takes the word of another process that it hears upstreams: what has not changed is not spread again and again.
     *
     * @param at - Monotonic time at which they were heard, in milliseconds.
     */
    confirmAlive(ids: Iterable<UpstreamId>, at: number): void {
        const isRecent = this.clock.monotonic() - at < this.timing.silentAfterMs;
        for (const id of ids) {
            const upstream = this.upstreams.get(id);
            if (upstream?.announcement.state !== "ready") continue;
            upstream.confirmAlive(at);
            if (!isRecent || upstream.state !== "silent") continue;
            upstream.markHeard();
            this.tell(upstream);
        }
    }

    /**
     * Sets which zones are evacuated: their upstreams get no work.
     *
     * Guards against upstreams that are overrun as their zone is restored: they may have become cold meanwhile, and say so with their next
     * announcement only. Until then they are taken to be cold.
     *
     * @param zones - All evacuated zones.
     * @param coldMsOf - How long an upstream of a pool is cold after its start, in milliseconds.
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
            this.tell(upstream);
        }
    }

    /** Marks silent upstreams and forgets old leavers. Call it a few times a second. */
    expire(now: number = this.clock.monotonic()): void {
        for (const upstream of [...this.upstreams.values()]) {
            const quietMs = now - upstream.aliveAt;
            if (quietMs >= this.timing.tombstoneMs) {
                this.forget(upstream);
            }
            else if (upstream.state === "ready" && quietMs >= this.timing.silentAfterMs) {
                upstream.markSilent();
                this.tell(upstream);
            }
        }
    }

    private take(announcement: Announcement, heardAt: number, firstHand: boolean): boolean {
        const id = announcement.id as UpstreamId;
        const known = this.upstreams.get(id);
        if (known && !known.isOutdatedBy(announcement)) return false;
        const upstream = known ?? new Upstream(announcement, heardAt, firstHand);
        // An upstream that now announces itself here is news too: whoever heard it before confirms it no longer.
        const isMembershipNews = !known
            || known.state === "silent"
            || (firstHand && !known.firstHand)
            || !isSameMembership(known.announcement, announcement);
        if (known) this.removeFromPools(known);
        known?.absorb(announcement, heardAt, firstHand);
        upstream.setZoneEvacuated(this.evacuatedZones.has(upstream.zone));
        this.upstreams.set(id, upstream);
        this.addToPools(upstream);
        this.record(id);
        if (isMembershipNews) this.membershipVersions.set(id, this.version);
        this.tell(upstream);
        return true;
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

    private record(id: UpstreamId): void {
        this.version++;
        this.versions.set(id, this.version);
        this.log.push({ version: this.version, id });
        if (this.log.length <= 2 * this.upstreams.size + LOG_SLACK) return;
        this.log = this.log.filter(change => this.versions.get(change.id) === change.version);
    }

    private forget(upstream: Upstream): void {
        this.upstreams.delete(upstream.id);
        this.versions.delete(upstream.id);
        this.membershipVersions.delete(upstream.id);
        this.removeFromPools(upstream);
    }

    private tell(upstream: Upstream): void {
        for (const listener of this.listeners) listener(upstream);
    }
}
