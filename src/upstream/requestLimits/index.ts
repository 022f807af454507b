import { PoolId, UpstreamId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";

/** Beyond this count the limits with the oldest answers are forgotten. */
const MAX_REMEMBERED_LIMITS = 1_024;

/** Number of requests per second that an upstream accepts from all hosts together, as stated in its answers. */
export interface RequestLimit {
    readonly upstream: UpstreamId;
    readonly perSecond: number;
    /** Age of the answer that stated it, in milliseconds. */
    readonly ageMs: number;
}

/** How an answer changed the known limit: a first limit, another one, or none any more. */
export type LimitChange = "named" | "changed" | "ended";

interface KnownLimit {
    readonly pool: PoolId;
    readonly perSecond: number;
    /** Monotonic time of the answer that stated it, in milliseconds. */
    readonly answeredAt: number;
}

/**
 * The limits that upstreams state in their answers, as one host knows them. A limit applies until an answer states
 * none.
 *
 * @example
 * const change = limits.record(pool, upstream, 2.5);
 */
export class RequestLimits {
    /** Ordered by the time of the answer, the oldest first. */
    private readonly known = new Map<UpstreamId, KnownLimit>();

    constructor(private readonly clock: Pick<Clock, "monotonic">) {}

    /** Number of limited upstreams. */
    get size(): number {
        return this.known.size;
    }

    /**
     * Updates an upstream's limit from an answer; one that is older than the newest known answer changes nothing.
     *
     * @param perSecond - Limit stated by the answer; undefined if it states none.
     * @param ageMs - Age of the answer, in milliseconds.
     */
    record(pool: PoolId, upstream: UpstreamId, perSecond: number | undefined, ageMs = 0): LimitChange | undefined {
        const answeredAt = this.clock.monotonic() - ageMs;
        const before = this.known.get(upstream);
        if (before && before.answeredAt > answeredAt) return undefined;
        this.known.delete(upstream);
        if (perSecond === undefined) return before && "ended";
        this.known.set(upstream, { pool, perSecond, answeredAt });
        if (this.known.size > MAX_REMEMBERED_LIMITS) this.known.delete(this.known.keys().next().value!);
        if (!before) return "named";
        return before.perSecond === perSecond ? undefined : "changed";
    }

    /** Returns the limits of a pool's upstreams. */
    list(pool: PoolId): readonly RequestLimit[] {
        if (this.known.size === 0) return [];
        const now = this.clock.monotonic();
        return [...this.known]
            .filter(([, known]) => known.pool === pool)
            .map(([upstream, { perSecond, answeredAt }]) => ({ upstream, perSecond, ageMs: now - answeredAt }));
    }

    /** Forgets an upstream that has ended or restarted. */
    forget(upstream: UpstreamId): void {
        this.known.delete(upstream);
    }
}
