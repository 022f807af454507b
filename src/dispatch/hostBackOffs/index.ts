import { HostId, UpstreamId } from "../../ids/index.js";

/** Beyond this count of upstreams the oldest back-offs of a host are forgotten. */
const MAX_BACK_OFFS_PER_HOST = 1_024;
/** After its end a back-off still limits the host's concurrent requests to the upstream for this long, in milliseconds. */
const RECOVERY_MS = 5_000;
/** With this many concurrent requests allowed the upstream counts as recovered. */
const RECOVERED_CONCURRENCY = 16;

interface HostBackOff {
    /** Monotonic time of its end, in milliseconds. */
    readonly until: number;
    /** Maximum number of the host's concurrent requests after its end. */
    maxRunning: number;
    /** Number of running requests granted to the host since its end. */
    running: number;
}

/**
 * The back-offs that upstreams asked single hosts for, as the owner of a pool's queue knows them.
 *
 * Prevents the requests that queued up during a back-off from reaching the upstream in one burst: after its end the host
 * gets one request there at a time, and one more with each that the upstream begins to answer.
 *
 * @example
 * backOffs.record(host, upstream, now + 3_000, now);
 * const candidates = free.filter(({ upstream }) => backOffs.mayGrant(host, upstream.id, now));
 */
export class HostBackOffs {
    private readonly byHost = new Map<HostId, Map<UpstreamId, HostBackOff>>();
    /** The latest end of the back-offs that an upstream asked any host for. */
    private readonly sheddingUntil = new Map<UpstreamId, number>();

    /** Whether any upstream may have asked any host for a back-off that has not ended. */
    get hasShedding(): boolean {
        return this.sheddingUntil.size > 0;
    }

    /** Whether a host has any back-off, or any that ended a short time ago. */
    hasAny(host: HostId): boolean {
        return this.byHost.has(host);
    }

    /**
     * Records or prolongs a back-off.
     *
     * @param until - Monotonic time of its end, in milliseconds.
     * @param now - Monotonic time, in milliseconds.
     */
    record(host: HostId, upstream: UpstreamId, until: number, now: number): void {
        if (until <= Math.max(now, this.find(host, upstream, now)?.until ?? 0)) return;
        const ofHost = this.byHost.get(host) ?? new Map<UpstreamId, HostBackOff>();
        this.byHost.set(host, ofHost);
        ofHost.delete(upstream);
        ofHost.set(upstream, { until, maxRunning: 1, running: 0 });
        this.sheddingUntil.set(upstream, Math.max(until, this.sheddingUntil.get(upstream) ?? 0));
        if (ofHost.size > MAX_BACK_OFFS_PER_HOST) ofHost.delete(ofHost.keys().next().value!);
    }

    /** Returns the time until the end of a back-off, in milliseconds; 0 if there is none. */
    leftMs(host: HostId, upstream: UpstreamId, now: number): number {
        return Math.max(0, (this.find(host, upstream, now)?.until ?? 0) - now);
    }

    /** Returns the number of upstreams that a host backs off from. */
    count(host: HostId, now: number): number {
        return [...this.byHost.get(host)?.values() ?? []].filter(({ until }) => until > now).length;
    }

    /** Whether an upstream has asked any host for a back-off that has not ended. */
    isShedding(upstream: UpstreamId, now: number): boolean {
        const until = this.sheddingUntil.get(upstream);
        if (until === undefined || until > now) return until !== undefined;
        this.sheddingUntil.delete(upstream);
        return false;
    }

    /** Whether a host may get one more request for an upstream. */
    mayGrant(host: HostId, upstream: UpstreamId, now: number): boolean {
        const backOff = this.find(host, upstream, now);
        return !backOff || (backOff.until <= now && backOff.running < backOff.maxRunning);
    }

    /** Records that a host was granted a request. */
    recordGrant(host: HostId, upstream: UpstreamId, now: number): void {
        const ended = this.findEnded(host, upstream, now);
        if (ended) ended.running++;
    }

    /** Records that the upstream has begun to answer a granted request. */
    recordAcceptance(host: HostId, upstream: UpstreamId, now: number): void {
        const ended = this.findEnded(host, upstream, now);
        if (!ended) return;
        ended.maxRunning++;
        if (ended.maxRunning >= RECOVERED_CONCURRENCY) this.remove(host, upstream);
    }

    /** Records that a granted request has ended. */
    recordEnd(host: HostId, upstream: UpstreamId, now: number): void {
        const ended = this.findEnded(host, upstream, now);
        if (ended) ended.running = Math.max(0, ended.running - 1);
    }

    /** Forgets an upstream that has ended or restarted. */
    forgetUpstream(upstream: UpstreamId): void {
        for (const host of [...this.byHost.keys()]) this.remove(host, upstream);
        this.sheddingUntil.delete(upstream);
    }

    /** Forgets a host that has ended. */
    forgetHost(host: HostId): void {
        this.byHost.delete(host);
    }

    private find(host: HostId, upstream: UpstreamId, now: number): HostBackOff | undefined {
        const backOff = this.byHost.get(host)?.get(upstream);
        if (!backOff || now < backOff.until + RECOVERY_MS) return backOff;
        this.remove(host, upstream);
        return undefined;
    }

    /** Returns a back-off that has ended, and whose upstream has not recovered yet. */
    private findEnded(host: HostId, upstream: UpstreamId, now: number): HostBackOff | undefined {
        const backOff = this.find(host, upstream, now);
        return backOff && backOff.until <= now ? backOff : undefined;
    }

    private remove(host: HostId, upstream: UpstreamId): void {
        const ofHost = this.byHost.get(host);
        ofHost?.delete(upstream);
        if (ofHost?.size === 0) this.byHost.delete(host);
    }
}
