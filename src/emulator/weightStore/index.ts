import { Clock } from "../../ports/index.js";

/** How fast the weight store gives weights. */
export interface WeightStoreConfig {
    /** Fetches a second, on average. */
    readonly ratePerSecond: number;
    /** Fetches at once after a pause. */
    readonly burst: number;
}

/** The rate limit of the weight store: a token bucket. */
export class WeightStore {
    private fetches = 0;
    private refusals = 0;
    private tokens: number;
    private filledAt: number;

    constructor(private readonly clock: Clock, private readonly cfg: WeightStoreConfig) {
        this.tokens = cfg.burst;
        this.filledAt = clock.monotonic();
    }

    /**
     * Asks for one fetch.
     *
     * @returns 0 when it may go on, else after how many milliseconds to come back.
     */
    ask(): number {
        const now = this.clock.monotonic();
        const filled = this.tokens + (now - this.filledAt) / 1_000 * this.cfg.ratePerSecond;
        this.tokens = Math.min(this.cfg.burst, filled);
        this.filledAt = now;
        if (this.tokens >= 1) {
            this.tokens--;
            this.fetches++;
            return 0;
        }
        this.refusals++;
        return Math.ceil((1 - this.tokens) / this.cfg.ratePerSecond * 1_000);
    }

    /** Fetches given and refused up to now. */
    stats(): { readonly fetches: number; readonly refusals: number; } {
        return { fetches: this.fetches, refusals: this.refusals };
    }
}
