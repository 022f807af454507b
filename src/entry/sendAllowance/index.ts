import { PoolId } from "../../ids/index.js";
import { ColdSpec } from "../../routing/index.js";

/** Options of `SendAllowance`. */
export interface SendAllowanceOptions {
    /** Returns the request rate that a pool's upstreams sustain while cold; undefined where they are never cold, or the pool is unknown. */
    readonly findColdSpec: (pool: PoolId) => ColdSpec | undefined;
    /** Returns this host's rank as owner of a pool's queue, 0 for the owner; undefined where it decides only for its own requests. */
    readonly ownerRank: (pool: PoolId) => number | undefined;
    /** Returns the number of hosts known that may send requests. */
    readonly countEntries: () => number;
}

/** Number of hosts that may decide concurrently while a queue changes owner: the previous owner and the next. */
const MAX_CONCURRENT_OWNERS = 2;
/** Fraction of a limit reserved for hosts other than the owner, which decide occasionally, while some entries can't reach the owner. */
const FALLBACK_SHARE = 0.25;

/**
 * Computes this process's share of the request rate that an upstream accepts from all hosts together.
 *
 * Prevents many hosts, none of which exceeds the rate on its own, from overloading an upstream together: a host that is cut off may be one
 * of many that assume they own the queue.
 *
 * @example
 * allowance.coldRateOf("draft" as PoolId); // 9
 */
export class SendAllowance {
    constructor(private readonly options: SendAllowanceOptions) {}

    /** Returns the permitted requests per second to each cold upstream of a pool; infinity where upstreams are never cold. */
    coldRateOf(pool: PoolId): number {
        const spec = this.options.findColdSpec(pool);
        if (!spec) return Number.POSITIVE_INFINITY;
        const rank = this.options.ownerRank(pool);
        const isCandidate = rank !== undefined && rank < MAX_CONCURRENT_OWNERS;
        return isCandidate ? Math.max(1, Math.floor(spec.requestsPerSecond)) : 0;
    }

    /** Returns how long an upstream of a pool is cold after its start, in milliseconds. */
    coldMsOf(pool: PoolId): number {
        return this.options.findColdSpec(pool)?.durationMs ?? 0;
    }

    /** Returns the fraction of an upstream's request limit that this process may use, from 0 to 1. */
    limitShareOf(pool: PoolId): number {
        const { ownerRank, countEntries } = this.options;
        const rank = ownerRank(pool);
        if (rank === 0) return 1;
        if (rank !== undefined && rank < MAX_CONCURRENT_OWNERS) return FALLBACK_SHARE;
        return FALLBACK_SHARE / Math.max(1, countEntries());
    }
}
