import { PoolId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";
import { RepeatAccount } from "../repeatAccount/index.js";
import { RepeatPermit } from "../repeatPermit/index.js";

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

/** What an entry has counted for a pool, for logs. */
export interface RepeatBudgetState {
    /** Requests in the current window. */
    readonly requests: number;
    /** Repeats in the current window. */
    readonly repeats: number;
    /** Repeats that are reserved and not yet made. */
    readonly reserved: number;
    /** Number of entries that share the slack. */
    readonly entries: number;
    /** Repeats that may still be reserved. */
    readonly left: number;
}

/**
 * Decides whether a call may be repeated at another upstream. The limit applies to the fleet, and each entry keeps to a part of it without
 * knowing what the others do: what its own requests earn, and its share of the slack.
 *
 * Prevents retry storms: a pool that fails as a whole would receive each call several times, and the added load would
 * keep it down. An entry does not use its slack in the first window after a start, since it may have used it before the
 * restart.
 *
 * @example
 * budget.recordRequest(pool);
 * const permit = budget.tryReserve(pool);
 * if (permit?.tryUse()) await sendAgain();
 */
export class RepeatBudget {
    private readonly pools = new Map<PoolId, RepeatAccount>();
    private readonly startedAt: number;

    /** @param countEntries - Returns the number of entries that share the slack; infinite where it is not known. */
    constructor(
        private readonly clock: Clock,
        private readonly limits: RepeatLimits,
        private readonly countEntries: () => number,
    ) {
        this.startedAt = clock.monotonic();
    }

    /** Records a call that a caller sent. */
    recordRequest(pool: PoolId): void {
        this.accountOf(pool).recordRequest();
    }

    /**
     * Reserves a repeat, which must be used or released.
     *
     * @returns undefined when the repeat must not be made.
     */
    tryReserve(pool: PoolId): RepeatPermit | undefined {
        if (this.countLeft(pool) === 0) return undefined;
        return new RepeatPermit(this.accountOf(pool), () => this.slackShare());
    }

    /** Returns how many repeats may be reserved now. */
    countLeft(pool: PoolId): number {
        const account = this.accountOf(pool);
        return Math.max(0, Math.floor(account.available(this.slackShare()) - account.reserved));
    }

    /** Returns the counts of a pool, for logs. */
    describe(pool: PoolId): RepeatBudgetState {
        const { requestCount: requests, repeatCount: repeats, reserved } = this.accountOf(pool);
        return { requests, repeats, reserved, entries: this.countEntries(), left: this.countLeft(pool) };
    }

    private slackShare(): number {
        const { slack, windowMs } = this.limits;
        const isNew = this.clock.monotonic() - this.startedAt < windowMs;
        return isNew ? 0 : slack / Math.max(1, this.countEntries());
    }

    private accountOf(pool: PoolId): RepeatAccount {
        let account = this.pools.get(pool);
        if (!account) {
            account = new RepeatAccount(this.clock, this.limits);
            this.pools.set(pool, account);
        }
        return account;
    }
}
