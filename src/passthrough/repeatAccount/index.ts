import { Clock } from "../../ports/index.js";

/** The part of `RepeatLimits` that accounts go by. */
export interface AccountLimits {
    /** Repeats allowed per request. */
    readonly ratio: number;
    /** Length of the sliding window, in milliseconds. */
    readonly windowMs: number;
}

/** A repeat that was made, and what it was paid from; both parts add up to one repeat. */
export interface RepeatCharge {
    /** Monotonic time, in milliseconds. */
    readonly at: number;
    readonly earned: number;
    readonly slack: number;
}

/**
 * Share of the ratio that each request earns at once, and share that requests of the last window let an entry save. Their sum stays below
 * one: upstreams see repeats and requests at slightly other times than entries do.
 */
const EARNED_SHARE = 0.6;
const SAVED_SHARE = 0.3;
/** Share of the slack that is used, for the same reason. */
const SLACK_USE_RATIO = 0.9;

/**
 * What an entry has counted for a pool: requests, and repeats by what they were paid from.
 *
 * Repeats are earned by requests and savings are bounded by recent requests, rather than compared with the requests of a window. The sum
 * over all entries then keeps to the limit also when callers move to other entries, or entries restart, within a window: savings are never
 * counted twice, since each request earns once, at one entry.
 *
 * @example
 * account.recordRequest();
 * const charge = account.tryCharge(slackShare);
 */
export class RepeatAccount {
    /** Number of repeats that are reserved and not yet made. */
    reserved = 0;
    /** Times of the requests of the current window, in milliseconds. */
    private requests: number[] = [];
    /** Repeats of the current window. */
    private charges: RepeatCharge[] = [];
    private earned = 0;

    constructor(private readonly clock: Clock, private readonly limits: AccountLimits) {}

    /** Number of requests in the current window. */
    get requestCount(): number {
        this.settle();
        return this.requests.length;
    }

    /** Number of repeats in the current window. */
    get repeatCount(): number {
        this.settle();
        return this.charges.length;
    }

    /** Records a request, which earns a part of a repeat. */
    recordRequest(): void {
        this.settle();
        this.requests.push(this.clock.monotonic());
        this.earned += EARNED_SHARE * this.limits.ratio;
        this.boundSavings();
    }

    /**
     * Returns how many repeats may be made now, with a fraction.
     *
     * @param slackShare - Repeats that this entry may make in a window beyond what its requests earn.
     */
    available(slackShare: number): number {
        this.settle();
        return this.earned + this.slackLeft(slackShare);
    }

    /**
     * Counts a repeat as made now.
     *
     * @param slackShare - Repeats that this entry may make in a window beyond what its requests earn.
     * @returns undefined when it must not be made.
     */
    tryCharge(slackShare: number): RepeatCharge | undefined {
        if (this.available(slackShare) < 1) return undefined;
        const earned = Math.min(1, this.earned);
        const charge = { at: this.clock.monotonic(), earned, slack: 1 - earned };
        this.earned -= earned;
        this.charges.push(charge);
        return charge;
    }

    /** Takes back a repeat that turned out not to have been sent. */
    refund(charge: RepeatCharge): void {
        this.charges = this.charges.filter(each => each !== charge);
        this.earned += charge.earned;
        this.settle();
    }

    private slackLeft(slackShare: number): number {
        const used = this.charges.reduce((sum, { slack }) => sum + slack, 0);
        return Math.max(0, SLACK_USE_RATIO * slackShare - used);
    }

    /** Forgets what is no longer in the window. */
    private settle(): void {
        const oldest = this.clock.monotonic() - this.limits.windowMs;
        this.requests = dropWhile(this.requests, at => at < oldest);
        this.charges = dropWhile(this.charges, ({ at }) => at < oldest);
        this.boundSavings();
    }

    private boundSavings(): void {
        this.earned = Math.min(this.earned, SAVED_SHARE * this.limits.ratio * this.requests.length);
    }
}

function dropWhile<Item>(items: Item[], isDropped: (item: Item) => boolean): Item[] {
    if (items.length === 0 || !isDropped(items[0])) return items;
    const first = items.findIndex(item => !isDropped(item));
    return first < 0 ? [] : items.slice(first);
}
