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

/** What an entry has counted for a pool. */
class RepeatAccount {
    requests: number[] = [];
    repeats: number[] = [];
    /** Number of repeats that are reserved and not yet made. */
    reserved = 0;

    constructor(private readonly clock: Clock, private readonly windowMs: number) {}

    recordRequest(): void {
        this.requests.push(this.clock.monotonic());
    }

    recordRepeat(): void {
        this.repeats.push(this.clock.monotonic());
    }

    takeRepeatBack(): void {
        this.repeats.pop();
    }

    /** Forgets what is no longer in the window. */
    settle(): this {
        const oldest = this.clock.monotonic() - this.windowMs;
        this.requests = dropBefore(this.requests, oldest);
        this.repeats = dropBefore(this.repeats, oldest);
        return this;
    }
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

/**
 * A repeat that is reserved for a call. It counts as made at the moment it is sent, since limits are on arrivals; until then it is kept from
 * other calls.
 */
export class RepeatPermit {
    private state: "reserved" | "used" | "released" = "reserved";

    constructor(private readonly account: RepeatAccount) {
        account.reserved++;
    }

    /** Whether the repeat may still be sent. */
    get isReserved(): boolean {
        return this.state === "reserved";
    }

    /** Counts the repeat as made now, right before it is sent. */
    use(): void {
        if (this.state !== "reserved") return;
        this.state = "used";
        this.account.reserved--;
        this.account.recordRepeat();
    }

    /** Takes a use back, where it turned out that nothing was sent. */
    restore(): void {
        if (this.state !== "used") return;
        this.state = "reserved";
        this.account.reserved++;
        this.account.takeRepeatBack();
    }

    /** Returns a repeat that was not sent to the budget; without effect on one that was. */
    release(): void {
        if (this.state !== "reserved") return;
        this.state = "released";
        this.account.reserved--;
    }
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
 * const permit = budget.tryReserve(pool, entries);
 * permit?.use();
 * if (permit) await sendAgain();
 */
export class RepeatBudget {
    private readonly pools = new Map<PoolId, RepeatAccount>();
    private readonly startedAt: number;

    constructor(private readonly clock: Clock, private readonly limits: RepeatLimits) {
        this.startedAt = clock.monotonic();
    }

    /** Records a call that a caller sent. */
    recordRequest(pool: PoolId): void {
        this.accountOf(pool).recordRequest();
    }

    /**
     * Reserves a repeat, which must be used or released.
     *
     * @param entries - Number of entries that share the slack.
     * @returns undefined when the repeat must not be made.
     */
    tryReserve(pool: PoolId, entries: number): RepeatPermit | undefined {
        return this.countLeft(pool, entries) === 0 ? undefined : new RepeatPermit(this.accountOf(pool));
    }

    /**
     * Returns how many repeats may be made now.
     *
     * @param entries - Number of entries that share the slack.
     */
    countLeft(pool: PoolId, entries: number): number {
        const { ratio, slack, windowMs } = this.limits;
        const counts = this.accountOf(pool);
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
        const { requests, repeats, reserved } = this.accountOf(pool);
        const left = this.countLeft(pool, entries);
        return { requests: requests.length, repeats: repeats.length, reserved, entries, left };
    }

    private accountOf(pool: PoolId): RepeatAccount {
        let account = this.pools.get(pool);
        if (!account) {
            account = new RepeatAccount(this.clock, this.limits.windowMs);
            this.pools.set(pool, account);
        }
        return account.settle();
    }
}

function dropBefore(times: number[], oldest: number): number[] {
    if (times.length === 0 || times[0] >= oldest) return times;
    const first = times.findIndex(at => at >= oldest);
    return first < 0 ? [] : times.slice(first);
}
