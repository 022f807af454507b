import { PoolId } from "../../ids/index.js";
import { ColdSpec } from "../../routing/index.js";

/** What the allowance is worked out from. */
export interface ColdAllowanceOptions {
    /** What a pool's upstreams bear while they are cold; undefined where they are never cold, or nothing is known of the pool. */
    readonly findSpec: (pool: PoolId) => ColdSpec | undefined;
    /** Whether this host decides for all, or may do so in a moment. */
    readonly mayDecide: (pool: PoolId) => boolean;
}

/**
 * How many requests this process may send to upstreams that are cold.
 *
 * Guards against upstreams that are overrun by many hosts, none of which sends too much: a host that is cut off may be one of many that
 * believe to own a queue, and has no allowance.
 *
 * @example
 * allowance.rateOf("draft" as PoolId); // 9
 */
export class ColdAllowance {
    constructor(private readonly options: ColdAllowanceOptions) {}

    /** Requests a second to each cold upstream of a pool; without bound where they are never cold. */
    rateOf(pool: PoolId): number {
        const spec = this.options.findSpec(pool);
        if (!spec) return Number.POSITIVE_INFINITY;
        return this.options.mayDecide(pool) ? Math.max(1, Math.floor(spec.requestsPerSecond)) : 0;
    }

    /** How long an upstream of a pool is cold after its start, in milliseconds. */
    durationOf(pool: PoolId): number {
        return this.options.findSpec(pool)?.durationMs ?? 0;
    }
}
