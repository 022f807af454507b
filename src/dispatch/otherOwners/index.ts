import { HostId, UpstreamId } from "../../ids/index.js";
import { UpstreamUse } from "../../upstream/index.js";

/** What one owner of a pool's queue has granted, and what waits there. */
export interface QueueState {
    /** The upstreams on which its granted requests run. */
    readonly uses: readonly UpstreamUse[];
    /** Number of tickets that wait for a free slot, by tier: `[tier, count]`, the highest tier first. */
    readonly waiting: readonly (readonly [tier: number, count: number])[];
}

/** The uses of one upstream, and the tickets, of other owners. */
interface OwnerRecord {
    readonly uses: Map<UpstreamId, UpstreamUse>;
    readonly waiting: QueueState["waiting"];
    /** Monotonic time from which it no longer counts, in milliseconds. */
    readonly expiresAt: number;
}

/** An owner that has not reported for this long is no longer counted, in milliseconds. */
const RETENTION_MS = 1_000;

/**
 * Other hosts that own the queue of the same pool at the moment, with what they have granted and what waits there.
 *
 * Entries may disagree for seconds on which host owns a queue, while one is lost, slow, or cut off from some of them. If each owner
 * took all slots for its own, upstreams would get twice what they can run, and an owner would grant less urgent requests the slots
 * that urgent ones wait for at the other.
 *
 * @example
 * others.record("control-2" as HostId, state, now);
 * others.waitingAbove(3, now);
 */
export class OtherOwners {
    private readonly records = new Map<HostId, OwnerRecord>();

    /**
     * Replaces what is known of an owner.
     *
     * @param now - Monotonic time, in milliseconds.
     * @returns The upstreams whose use may have changed.
     */
    record(host: HostId, { uses, waiting }: QueueState, now: number): Set<UpstreamId> {
        const before = this.records.get(host)?.uses.keys() ?? [];
        const byUpstream = new Map(uses.map(use => [use.upstream, use]));
        const changed = new Set([...before, ...byUpstream.keys()]);
        if (uses.length === 0 && waiting.length === 0) this.records.delete(host);
        else this.records.set(host, { uses: byUpstream, waiting, expiresAt: now + RETENTION_MS });
        return changed;
    }

    /** Records that a request of an owner was reported by its entry, and is counted as this process's own from now on. */
    takeOver(host: HostId, upstream: UpstreamId): void {
        const uses = this.records.get(host)?.uses;
        const use = uses?.get(upstream);
        if (use) uses!.set(upstream, { ...use, requests: Math.max(0, use.requests - 1) });
    }

    /**
     * Removes owners that have not reported for a while.
     *
     * @returns The upstreams whose use has changed.
     */
    expire(now: number): Set<UpstreamId> {
        const changed = new Set<UpstreamId>();
        for (const [host, { uses, expiresAt }] of this.records) {
            if (expiresAt > now) continue;
            this.records.delete(host);
            for (const upstream of uses.keys()) changed.add(upstream);
        }
        return changed;
    }

    /** Returns what the requests of all other owners use of an upstream. */
    useOf(upstream: UpstreamId): UpstreamUse {
        let [requests, memoryTokens, backlogMs] = [0, 0, 0];
        for (const { uses } of this.records.values()) {
            const use = uses.get(upstream);
            if (!use) continue;
            requests += use.requests;
            memoryTokens += use.memoryTokens;
            backlogMs += use.backlogMs;
        }
        return { upstream, requests, memoryTokens, backlogMs };
    }

    /** Whether tickets wait at other owners. */
    get hasWaiting(): boolean {
        return [...this.records.values()].some(({ waiting }) => waiting.length > 0);
    }

    /** Returns the number of tickets of tiers above the given one that wait at other owners. */
    waitingAbove(tier: number): number {
        let count = 0;
        for (const { waiting } of this.records.values()) {
            for (const [otherTier, tickets] of waiting) {
                if (otherTier < tier) count += tickets;
            }
        }
        return count;
    }
}
