import { UpstreamId } from "../../ids/index.js";
import { CacheEvents } from "../../protocol/index.js";

const DEFAULT_MAX_PREFIXES = 20_000;
const MAX_HOLDERS_PER_PREFIX = 8;
const GAP_TRUST_FACTOR = 0.5;
const TRUST_GAIN = 0.05;

interface EventStreamState {
    nextSequence: number;
    trust: number;
}

/**
 * Index of the prompt prefixes that each upstream probably has cached: the prefixes this process sent there, corrected
 * by the upstream's cache events. Events arrive late and can be lost: a gap in their sequence numbers lowers the trust
 * in everything known of that upstream, and batches without a gap raise it again.
 *
 * @example
 * index.record(ticket.prefixes, upstream);
 * index.cachedShare(ticket.prefixes, upstream); // 0 … 1
 */
export class PrefixIndex {
    private readonly holders = new Map<string, Set<UpstreamId>>();
    private readonly states = new Map<UpstreamId, EventStreamState>();

    /** @param maxPrefixes - Maximum number of prefixes remembered; the least recently used are evicted first. */
    constructor(private readonly maxPrefixes: number = DEFAULT_MAX_PREFIXES) {}

    /** Records that a request with these prefixes was sent to the upstream, whose cache now holds them. */
    record(prefixes: readonly string[], upstream: UpstreamId): void {
        for (const prefix of prefixes) this.add(prefix, upstream);
    }

    /** Applies an upstream's cache events. */
    apply(upstream: UpstreamId, events: CacheEvents): void {
        const state = this.states.get(upstream) ?? { nextSequence: events.sequence, trust: 1 };
        if (events.sequence < state.nextSequence) return;
        const hasGap = events.sequence > state.nextSequence;
        state.trust = hasGap ? state.trust * GAP_TRUST_FACTOR : Math.min(1, state.trust + TRUST_GAIN);
        state.nextSequence = events.sequence + events.events.length;
        this.states.set(upstream, state);
        for (const event of events.events) {
            if (event.kind === "stored") this.add(event.prefix, upstream);
            else this.holders.get(event.prefix)?.delete(upstream);
        }
    }

    /** Forgets an upstream that has ended: its next incarnation starts with an empty cache. */
    forget(upstream: UpstreamId): void {
        this.states.delete(upstream);
        for (const [prefix, upstreams] of this.holders) {
            upstreams.delete(upstream);
            if (upstreams.size === 0) this.holders.delete(prefix);
        }
    }

    /** Returns the share of the prefixes that the upstream probably has cached, scaled by trust, from 0 to 1. */
    cachedShare(prefixes: readonly string[], upstream: UpstreamId): number {
        for (let length = prefixes.length; length > 0; length--) {
            if (!this.holders.get(prefixes[length - 1])?.has(upstream)) continue;
            return length / prefixes.length * (this.states.get(upstream)?.trust ?? 1);
        }
        return 0;
    }

    /** Returns the upstreams that probably hold the longest known one of the prefixes. */
    likelyHolders(prefixes: readonly string[]): readonly UpstreamId[] {
        for (let length = prefixes.length; length > 0; length--) {
            const upstreams = this.holders.get(prefixes[length - 1]);
            if (upstreams && upstreams.size > 0) return [...upstreams];
        }
        return [];
    }

    private add(prefix: string, upstream: UpstreamId): void {
        const upstreams = this.holders.get(prefix) ?? new Set<UpstreamId>();
        upstreams.delete(upstream);
        upstreams.add(upstream);
        this.holders.delete(prefix);
        this.holders.set(prefix, upstreams);
        if (upstreams.size > MAX_HOLDERS_PER_PREFIX) upstreams.delete(upstreams.values().next().value!);
        if (this.holders.size > this.maxPrefixes) this.holders.delete(this.holders.keys().next().value!);
    }
}
