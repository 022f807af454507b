import { PoolId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";

/** The bound on repeats that holds for the whole fleet, for each pool. */
export interface RepeatLimits {
    /** Repeats for each request. */
    readonly ratio: number;
    /** The span over which both are counted, in milliseconds. */
    readonly windowMs: number;
    /** Repeats in a window beside the ratio, over all entries together. */
    readonly slack: number;
}

/** A pool that fails as a whole gets a fifth more work at the most; the slack lets small pools repeat at all. */
export const DEFAULT_REPEAT_LIMITS: RepeatLimits = { ratio: 0.2, windowMs: 10_000, slack: 50 };

/** Requests that entries count and upstreams see differ at a window's edges; a tenth is left for that. */
const CAUTION = 0.9;

interface PoolCounts {
    requests: number[];
    repeats: number[];
}

/**
 * Says whether a request may be sent to a further upstream. The bound is the fleet's, and each entry keeps to its own share: the
 * ratio of its own requests, and the slack divided by the number of entries.
 *
 * Guards against a retry storm: a pool that fails as a whole would get each request several times, and the added load keeps it down.
 * An entry that has just started leaves its slack alone for one window, since its run before may have used it.
 *
 * @example
 * budget.noteRequest(pool);
 * if (budget.tryTake(pool, entries)) await sendAgain();
 */
export class RepeatBudget {
    private readonly pools = new Map<PoolId, PoolCounts>();
    private readonly startedAt: number;

    constructor(private readonly clock: Clock, private readonly limits: RepeatLimits) {
        this.startedAt = clock.monotonic();
    }

    /** Counts a request that a caller sent. */
    noteRequest(pool: PoolId): void {
        this.countsOf(pool).requests.push(this.clock.monotonic());
    }

    /**
     * Takes leave for one repeat.
     *
     * @param entries - How many entries share the slack.
     */
    tryTake(pool: PoolId, entries: number): boolean {
        const { ratio, slack, windowMs } = this.limits;
        const now = this.clock.monotonic();
        const counts = this.countsOf(pool);
        const isNew = now - this.startedAt < windowMs;
        const share = isNew ? 0 : slack / Math.max(1, entries);
        const allowed = CAUTION * (ratio * counts.requests.length + share);
        if (counts.repeats.length + 1 > allowed) return false;
        counts.repeats.push(now);
        return true;
    }

    private countsOf(pool: PoolId): PoolCounts {
        const oldest = this.clock.monotonic() - this.limits.windowMs;
        const counts = this.pools.get(pool) ?? { requests: [], repeats: [] };
        counts.requests = dropBefore(counts.requests, oldest);
        counts.repeats = dropBefore(counts.repeats, oldest);
        this.pools.set(pool, counts);
        return counts;
    }
}

function dropBefore(times: number[], oldest: number): number[] {
    if (times.length === 0 || times[0] >= oldest) return times;
    const first = times.findIndex(at => at >= oldest);
    return first < 0 ? [] : times.slice(first);
}
