import { PoolId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";

/** Limits on repeated calls of a pool, for the whole fleet. */
export interface RepeatLimits {
    /** Repeats allowed per request. */
    readonly ratio: number;
    /** Length of the sliding window in which requests and repeats are counted, in milliseconds. */
    readonly windowMs: number;
    /** Repeats allowed per window in addition to the ratio, over all entries together. */
    readonly slack: number;
}

/**
 * Default limits: a pool that fails as a whole gets at most 20% more work; the slack lets small pools repeat at all.
 */
export const DEFAULT_REPEAT_LIMITS: RepeatLimits = { ratio: 0.2, windowMs: 10_000, slack: 50 };

/**
 * Share of the limits that is used: the requests that entries count and those that upstreams see differ at the edges of
 * a window, and a tenth is reserved for that.
 */
const WINDOW_EDGE_RATIO = 0.9;

interface PoolCounts {
    requests: number[];
    repeats: number[];
    /** Number of repeats that are reserved and not yet made. */
    reserved: number;
}

/** What an entry has counted for a pool in the current window, for logs. */
export interface RepeatBudgetState {
    readonly requests: number;
    /** Repeats that were made. */
    readonly repeats: number;
    /** Repeats that are reserved and not yet made. */
    readonly reserved: number;
    /** Number of entries that share the slack. */
    readonly entries: number;
    /** Repeats that may still be made. */
    readonly left: number;
}

/** A repeat that may be made at any time until it is given back. */
export interface RepeatReservation {
    /** Counts the repeat as made now. */
    use(): void;
    /** Returns the repeat to the budget. */
    giveBack(): void;
}

/**
 * Decides whether a call may be repeated at another upstream. The limit applies to the fleet, and each entry uses its
 * own share: the ratio of its own requests, and the slack divided by the number of entries.
 *
 * Prevents retry storms: a pool that fails as a whole would receive each call several times, and the added load would
 * keep it down. An entry does not use its slack in the first window after a start, since it may have used it before the
 * restart.
 *
 * @example
 * budget.recordRequest(pool);
 * if (budget.tryTake(pool, entries)) await sendAgain();
 */
export class RepeatBudget {
    private readonly pools = new Map<PoolId, PoolCounts>();
    private readonly startedAt: number;

    constructor(private readonly clock: Clock, private readonly limits: RepeatLimits) {
        this.startedAt = clock.monotonic();
    }

    /** Records a call that a caller sent. */
    recordRequest(pool: PoolId): void {
        this.countsOf(pool).requests.push(this.clock.monotonic());
    }

    /**
     * Takes one repeat from the budget; false when it must not be made.
     *
     * @param entries - Number of entries that share the slack.
     */
    tryTake(pool: PoolId, entries: number): boolean {
        const reservation = this.tryReserve(pool, entries);
        reservation?.use();
        return reservation !== undefined;
    }

    /**
     * Takes one repeat that may be given back; either method of the reservation must be called once.
     *
     * @param entries - Number of entries that share the slack.
     * @returns undefined when the repeat must not be made.
     */
    tryReserve(pool: PoolId, entries: number): RepeatReservation | undefined {
        if (this.countLeft(pool, entries) === 0) return undefined;
        const counts = this.countsOf(pool);
        counts.reserved++;
        return {
            use: () => {
                counts.reserved--;
                counts.repeats.push(this.clock.monotonic());
            },
            giveBack: () => {
                counts.reserved--;
            },
        };
    }

    /**
     * Returns how many repeats may be made now.
     *
     * @param entries - Number of entries that share the slack.
     */
    countLeft(pool: PoolId, entries: number): number {
        const { ratio, slack, windowMs } = this.limits;
        const counts = this.countsOf(pool);
        const isNew = this.clock.monotonic() - this.startedAt < windowMs;
        const share = isNew ? 0 : slack / Math.max(1, entries);
        const maxRepeats = WINDOW_EDGE_RATIO * (ratio * counts.requests.length + share);
        return Math.max(0, Math.floor(maxRepeats - counts.repeats.length - counts.reserved));
    }

    /**
     * Returns the counts of a pool, for logs.
     *
     * @param entries - Number of entries that share the slack.
     */
    describe(pool: PoolId, entries: number): RepeatBudgetState {
        const { requests, repeats, reserved } = this.countsOf(pool);
        const left = this.countLeft(pool, entries);
        return { requests: requests.length, repeats: repeats.length, reserved, entries, left };
    }

    private countsOf(pool: PoolId): PoolCounts {
        const oldest = this.clock.monotonic() - this.limits.windowMs;
        const counts = this.pools.get(pool) ?? { requests: [], repeats: [], reserved: 0 };
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
