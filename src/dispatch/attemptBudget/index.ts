import { Clock } from "../../ports/index.js";

/** A token bucket: tokens refill over time up to a capacity. */
export class TokenBucket {
    private tokens: number;
    private refilledAt: number;

    /** @param options - Maximum number of tokens, and tokens refilled per second. */
    constructor(
        private readonly options: {
            readonly clock: Clock;
            readonly capacity: number;
            readonly perSecond: number;
        },
    ) {
        this.tokens = options.capacity;
        this.refilledAt = options.clock.monotonic();
    }

    /** Adds tokens, up to the capacity. */
    deposit(tokens: number): void {
        this.refill();
        this.tokens = Math.min(this.options.capacity, this.tokens + tokens);
    }

    /** Takes one token; false when none is left. */
    tryTake(): boolean {
        this.refill();
        if (this.tokens < 1) return false;
        this.tokens--;
        return true;
    }

    private refill(): void {
        const now = this.options.clock.monotonic();
        const gained = (now - this.refilledAt) / 1_000 * this.options.perSecond;
        this.refilledAt = now;
        this.tokens = Math.min(this.options.capacity, this.tokens + gained);
    }
}

/** Limits on additional attempts, relative to first ones. */
export interface AttemptBudgetLimits {
    /** Additional attempts allowed for each first one. */
    readonly ratio: number;
    /** Additional attempts allowed per second at any load, so that an entry with few requests can retry at all. */
    readonly perSecond: number;
    /** Maximum number of attempts that can accumulate. */
    readonly capacity: number;
}

/**
 * Limits for retries: requests of a failed upstream are retried, while a pool that fails as a whole gets at most 10%
 * more work.
 */
export const DEFAULT_RETRY_LIMITS: AttemptBudgetLimits = { ratio: 0.1, perSecond: 0.5, capacity: 20 };

/** Limits for hedged attempts, which help the slowest few percent of the requests. */
export const DEFAULT_HEDGE_LIMITS: AttemptBudgetLimits = { ratio: 0.03, perSecond: 0.2, capacity: 10 };

/**
 * A budget for retries or hedged attempts, as a share of first attempts. Without it, an overloaded pool whose requests
 * time out receives each of them again, and the added load keeps it overloaded after the burst has passed (a retry
 * storm).
 *
 * @example
 * const retries = new AttemptBudget(clock, DEFAULT_RETRY_LIMITS);
 * retries.recordFirstAttempt();
 * if (retries.tryTake(ticket.repeatable)) await sendAgain();
 */
export class AttemptBudget {
    private readonly bucket: TokenBucket;

    constructor(clock: Clock, private readonly limits: AttemptBudgetLimits) {
        this.bucket = new TokenBucket({ clock, capacity: limits.capacity, perSecond: limits.perSecond });
    }

    /** Records the first attempt of a request. */
    recordFirstAttempt(): void {
        this.bucket.deposit(this.limits.ratio);
    }

    /**
     * Takes one additional attempt from the budget; false when it must not be made.
     *
     * @param repeatable - Whether the request may run more than once; if not, the result is always false.
     */
    tryTake(repeatable: boolean): boolean {
        return repeatable && this.bucket.tryTake();
    }

    /** Returns an attempt that was taken and not made. */
    giveBack(): void {
        this.bucket.deposit(1);
    }
}
