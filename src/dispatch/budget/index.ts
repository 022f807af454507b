import { Clock } from "../../ports/index.js";

/** Tokens that refill with time up to a bound. */
export class TokenBucket {
    private level: number;
    private filledAt: number;

    /** @param options - Size, and tokens gained in a second. */
    constructor(
        private readonly options: {
            readonly clock: Clock;
            readonly capacity: number;
            readonly perSecond: number;
        },
    ) {
        this.level = options.capacity;
        this.filledAt = options.clock.monotonic();
    }

    /** Adds tokens, up to the capacity. */
    deposit(tokens: number): void {
        this.refill();
        this.level = Math.min(this.options.capacity, this.level + tokens);
    }

    /** Takes one token; false when there is none. */
    tryTake(): boolean {
        this.refill();
        if (this.level < 1) return false;
        this.level--;
        return true;
    }

    private refill(): void {
        const now = this.options.clock.monotonic();
        const gained = (now - this.filledAt) / 1_000 * this.options.perSecond;
        this.filledAt = now;
        this.level = Math.min(this.options.capacity, this.level + gained);
    }
}

/** How many attempts may be added to the first ones. */
export interface AttemptBudgetLimits {
    /** Added attempts for each first one. */
    readonly ratio: number;
    /** Added attempts in a second even when few requests come, so that a small entry can retry at all. */
    readonly perSecond: number;
    /** The most that can be saved up. */
    readonly capacity: number;
}

/** A failed upstream's requests are tried again, but a pool that fails as a whole gets a tenth more work at the most. */
export const DEFAULT_RETRY_LIMITS: AttemptBudgetLimits = { ratio: 0.1, perSecond: 0.5, capacity: 20 };

/** Hedges serve the slowest few in a hundred. */
export const DEFAULT_HEDGE_LIMITS: AttemptBudgetLimits = { ratio: 0.03, perSecond: 0.2, capacity: 10 };

/**
 * A budget for retries or hedges, as a share of first attempts. Without it, an overloaded pool whose requests time out
 * gets each of them again, and the added load keeps it overloaded after the burst has passed (a retry storm).
 *
 * @example
 * const retries = new AttemptBudget(clock, DEFAULT_RETRY_LIMITS);
 * retries.noteFirstAttempt();
 * if (retries.tryTake(ticket.repeatable)) await sendAgain();
 */
export class AttemptBudget {
    private readonly bucket: TokenBucket;

    constructor(clock: Clock, private readonly limits: AttemptBudgetLimits) {
        this.bucket = new TokenBucket({ clock, capacity: limits.capacity, perSecond: limits.perSecond });
    }

    /** A request was sent for the first time. */
    noteFirstAttempt(): void {
        this.bucket.deposit(this.limits.ratio);
    }

    /**
     * Asks for one more attempt.
     *
     * @param repeatable - Whether the request may run more than once; if not, the answer is always no.
     */
    tryTake(repeatable: boolean): boolean {
        return repeatable && this.bucket.tryTake();
    }
}
