import { PoolId, SoftwareVersion, UpstreamId } from "../../ids/index.js";
import { Clock, Random } from "../../ports/index.js";
import { Upstream } from "../upstream/index.js";
import { UpstreamLoad } from "../upstreamLoad/index.js";
import { UpstreamRegistry } from "../upstreamRegistry/index.js";

/**
 * The upstreams of one pool with their load. The number of free slots is maintained as a sum, so that the cost of a
 * decision does not grow with the pool.
 */
export class PoolMembers {
    private readonly clock: Clock;
    private readonly loads = new Map<UpstreamId, UpstreamLoad>();
    private readonly freeSlotsById = new Map<UpstreamId, number>();
    private readonly usableSlotsById = new Map<UpstreamId, number>();
    private members: UpstreamLoad[] = [];
    private readonly freeList: UpstreamLoad[] = [];
    private readonly freeListIndexes = new Map<UpstreamLoad, number>();
    /** Members backing off after failures, and whether they are most of the pool and so get work nevertheless. */
    private readonly backingOff = new Set<UpstreamLoad>();
    private mostBackOff = false;
    /** Members that take few requests per second: their free slots change with time alone. */
    private readonly throttled = new Set<UpstreamLoad>();
    private meanServiceMs = (): number => DEFAULT_MEAN_SERVICE_MS;
    private freeTotal = 0;
    private usableTotal = 0;

    /** @param options - The pool, and the registry of its upstreams. */
    constructor(
        private readonly options: {
            readonly clock: Clock;
            readonly registry: UpstreamRegistry;
            readonly pool: PoolId;
            /** Requests per second that this process may send to a cold upstream. */
            readonly coldRequestsPerS?: () => number;
            /** Share of a limit stated by an upstream that this process may use, from 0 to 1. */
            readonly limitShare?: () => number;
        },
    ) {
        this.clock = options.clock;
        for (const upstream of options.registry.list(options.pool)) this.update(upstream);
    }

    /** Number of slots over the whole pool that can take a request now. */
    get freeSlots(): number {
        return this.freeTotal;
    }

    /** Whether any member may get work at all, even if all are busy with requests of others. */
    hasReady(): boolean {
        const now = this.clock.monotonic();
        return this.usableTotal > 0 || this.members.some(load => load.isReady(now));
    }

    /** All members that were not forgotten. */
    get all(): readonly UpstreamLoad[] {
        return this.members;
    }

    /** Number of slots of the members that may get work, busy or not. */
    get usableSlots(): number {
        return this.usableTotal;
    }

    get(id: UpstreamId): UpstreamLoad | undefined {
        return this.loads.get(id);
    }

    /**
     * Sets the average duration of a request in milliseconds, by which a limit on requests per second is converted to
     * slots.
     */
    setServiceTime(meanServiceMs: () => number): void {
        this.meanServiceMs = meanServiceMs;
    }

    /**
     * Describes the effect of upstreams' stated limits on a decision made now, for `sequoiamux explain`; empty if there
     * is none.
     */
    describeLimits(): string {
        const now = this.clock.monotonic();
        const count = [...this.throttled].filter(load => load.isReady(now) && load.isAtLimit(now)).length;
        return count === 0 ? "" : `, upstreams at their limit: ${count}`;
    }

    /** Applies a change reported by the registry. */
    update(upstream: Upstream): void {
        if (!upstream.pools.includes(this.options.pool)) {
            this.remove(upstream.id);
            return;
        }
        const known = this.loads.get(upstream.id);
        if (known?.upstream === upstream) {
            this.refresh(known);
            return;
        }
        this.remove(upstream.id);
        const load = new UpstreamLoad(upstream, this.options.coldRequestsPerS, this.options.limitShare);
        this.loads.set(upstream.id, load);
        this.members.push(load);
        this.refresh(load);
    }

    /** Recounts a member's free slots. */
    refresh(load: UpstreamLoad): void {
        const now = this.clock.monotonic();
        if (load.isBackingOff(now)) this.backingOff.add(load);
        else this.backingOff.delete(load);
        const mostBackOff = this.doMostBackOff();
        if (mostBackOff === this.mostBackOff) {
            this.recount(load, now);
            return;
        }
        this.mostBackOff = mostBackOff;
        for (const each of this.members) this.recount(each, now);
    }

    /**
     * Prevents a pool from stalling after a single failure: with one upstream left, or with all of them failing a call
     * occasionally, backing off all of them would make every caller wait. A minority that backs off can be spared.
     */
    private doMostBackOff(): boolean {
        if (this.backingOff.size === 0) return false;
        const grantable = this.members.filter(({ upstream }) => upstream.isGrantable);
        return 2 * grantable.filter(load => this.backingOff.has(load)).length > grantable.length;
    }

    private recount(load: UpstreamLoad, now: number): void {
        const { id } = load.upstream;
        if (load.isThrottled(now)) this.throttled.add(load);
        else this.throttled.delete(load);
        load.setIgnoresBackoff(this.mostBackOff);
        const free = load.freeSlots(now);
        this.freeTotal += free - (this.freeSlotsById.get(id) ?? 0);
        this.freeSlotsById.set(id, free);
        this.setListedAsFree(load, free > 0);
        const usable = load.usableSlots(now, this.meanServiceMs());
        this.usableTotal += usable - (this.usableSlotsById.get(id) ?? 0);
        this.usableSlotsById.set(id, usable);
    }

    /** Recounts the free slots of throttled members, which grow with time. */
    refreshThrottled(): void {
        for (const load of [...this.throttled]) this.refresh(load);
    }

    /**
     * Recounts all free slots, since some change with time alone, and drops members that the registry has forgotten.
     */
    refreshAll(): void {
        for (const load of [...this.members]) {
            if (this.options.registry.get(load.upstream.id) === load.upstream) this.refresh(load);
            else this.remove(load.upstream.id);
        }
    }

    /**
     * Returns members that can take a request now.
     *
     * @param max - Maximum number of members; a larger pool is sampled, as a few good candidates are nearly as good as
     * all.
     * @param random - Draws the sample.
     * @param isEligible - Excludes members; undefined for none.
     */
    candidates(max: number, random: Random, isEligible?: (load: UpstreamLoad) => boolean): UpstreamLoad[] {
        const eligible = isEligible ? this.freeList.filter(isEligible) : this.freeList;
        if (eligible.length <= max) return [...eligible];
        const found = new Set<UpstreamLoad>();
        for (let tries = 0; tries < SAMPLE_TRIES_PER_CANDIDATE * max && found.size < max; tries++) {
            found.add(random.pick(eligible));
        }
        return [...found];
    }

    /** Returns the version of the software that a member certainly runs; undefined if that is unknown, or it may have been replaced. */
    findSoftware(load: UpstreamLoad): SoftwareVersion | undefined {
        const { clock, registry } = this.options;
        const isCertain = load.isIncarnationCertain(clock.monotonic(), registry.maxCertainAgeMs);
        return isCertain ? load.upstream.software : undefined;
    }

    /** Whether no other member that may get work runs the software of a member. */
    isLastOfSoftware(load: UpstreamLoad): boolean {
        const { software } = load.upstream;
        return !this.members.some(other =>
            other !== load && other.upstream.software === software && other.upstream.isGrantable
        );
    }

    /** Whether any member that can take a request now matches. */
    hasFree(matches: (load: UpstreamLoad) => boolean): boolean {
        return this.freeList.some(matches);
    }

    /** Whether a member can take a request now. */
    isFree(load: UpstreamLoad): boolean {
        return this.freeListIndexes.has(load);
    }

    private setListedAsFree(load: UpstreamLoad, isFree: boolean): void {
        const index = this.freeListIndexes.get(load);
        if (isFree === (index !== undefined)) return;
        if (index === undefined) {
            this.freeListIndexes.set(load, this.freeList.length);
            this.freeList.push(load);
            return;
        }
        const last = this.freeList.pop()!;
        this.freeListIndexes.delete(load);
        if (last === load) return;
        this.freeList[index] = last;
        this.freeListIndexes.set(last, index);
    }

    private remove(id: UpstreamId): void {
        const load = this.loads.get(id);
        if (!load) return;
        this.freeTotal -= this.freeSlotsById.get(id) ?? 0;
        this.usableTotal -= this.usableSlotsById.get(id) ?? 0;
        this.setListedAsFree(load, false);
        this.backingOff.delete(load);
        this.throttled.delete(load);
        this.freeSlotsById.delete(id);
        this.usableSlotsById.delete(id);
        this.loads.delete(id);
        this.members = this.members.filter(other => other !== load);
    }
}

const SAMPLE_TRIES_PER_CANDIDATE = 2;
/** Average duration of requests that is assumed until one is set, in milliseconds. */
const DEFAULT_MEAN_SERVICE_MS = 1_000;
