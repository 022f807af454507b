import { UpstreamId } from "../../ids/index.js";
import { CacheEvents } from "../../protocol/index.js";

const DEFAULT_MOST_PREFIXES = 20_000;
const MOST_HOLDERS = 8;
const TRUST_AFTER_GAP = 0.5;
const TRUST_GAIN = 0.05;

interface EventState {
    sequence: number;
    trust: number;
}

/**
 * Which upstream probably holds which prompt prefix in its cache: what this process sent there, corrected by the
 * upstream's cache events. Events are late and get lost; a gap in their numbers lowers the trust in all that is known of
 * that upstream, and events without a gap raise it again.
 *
 * @example
 * index.record(ticket.prefixes, upstream);
 * index.cachedShare(ticket.prefixes, upstream); // 0 … 1
 */
export class PrefixIndex {
    private readonly holders = new Map<string, Set<UpstreamId>>();
    private readonly states = new Map<UpstreamId, EventState>();

    /** @param mostPrefixes - How many are remembered; the longest unused are forgotten first. */
    constructor(private readonly mostPrefixes: number = DEFAULT_MOST_PREFIXES) {}

    /** A request with these prefixes went to the upstream, whose cache now holds them. */
    record(prefixes: readonly string[], upstream: UpstreamId): void {
        for (const prefix of prefixes) this.add(prefix, upstream);
    }

    /** Takes an upstream's cache events. */
    apply(upstream: UpstreamId, events: CacheEvents): void {
        const state = this.states.get(upstream) ?? { sequence: events.sequence, trust: 1 };
        if (events.sequence < state.sequence) return;
        const hasGap = events.sequence > state.sequence;
        state.trust = hasGap ? state.trust * TRUST_AFTER_GAP : Math.min(1, state.trust + TRUST_GAIN);
        state.sequence = events.sequence + events.events.length;
        this.states.set(upstream, state);
        for (const event of events.events) {
            if (event.kind === "stored") this.add(event.prefix, upstream);
            else this.holders.get(event.prefix)?.delete(upstream);
        }
    }

    /** Forgets an upstream that ended: its next incarnation starts with an empty cache. */
    forget(upstream: UpstreamId): void {
        this.states.delete(upstream);
        for (const [prefix, upstreams] of this.holders) {
            upstreams.delete(upstream);
            if (upstreams.size === 0) this.holders.delete(prefix);
        }
    }

    /** The share of the prefixes that the upstream probably holds, lowered by lack of trust: 0 to 1. */
    cachedShare(prefixes: readonly string[], upstream: UpstreamId): number {
        for (let length = prefixes.length; length > 0; length--) {
            if (!this.holders.get(prefixes[length - 1])?.has(upstream)) continue;
            return length / prefixes.length * (this.states.get(upstream)?.trust ?? 1);
        }
        return 0;
    }

    /** Upstreams that probably hold the longest known of the prefixes. */
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
        if (upstreams.size > MOST_HOLDERS) upstreams.delete(upstreams.values().next().value!);
        if (this.holders.size > this.mostPrefixes) this.holders.delete(this.holders.keys().next().value!);
    }
}
