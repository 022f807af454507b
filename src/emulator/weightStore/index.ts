import { Clock } from "../../ports/index.js";

/** Rate limit of the weight store. */
export interface WeightStoreConfig {
    /** Fetches per second, on average. */
    readonly ratePerSecond: number;
    /** Maximum number of fetches at once after a pause. */
    readonly burst: number;
}

/** Rate limit of the weight store, as a token bucket. */
export class WeightStore {
    private fetchCount = 0;
    private refusalCount = 0;
    private tokens: number;
    private refilledAtMs: number;

    constructor(private readonly clock: Clock, private readonly cfg: WeightStoreConfig) {
        this.tokens = cfg.burst;
        this.refilledAtMs = clock.monotonic();
    }

    /**
     * Allows or refuses one fetch.
     *
     * @returns 0 if it is allowed, otherwise the time until a retry, in milliseconds.
     */
    tryFetch(): number {
        const now = this.clock.monotonic();
        const filled = this.tokens + (now - this.refilledAtMs) / 1_000 * this.cfg.ratePerSecond;
        this.tokens = Math.min(this.cfg.burst, filled);
        this.refilledAtMs = now;
        if (this.tokens >= 1) {
            this.tokens--;
            this.fetchCount++;
            return 0;
        }
        this.refusalCount++;
        return Math.ceil((1 - this.tokens) / this.cfg.ratePerSecond * 1_000);
    }

    /** Returns the numbers of allowed and refused fetches so far. */
    stats(): { readonly fetches: number; readonly refusals: number; } {
        return { fetches: this.fetchCount, refusals: this.refusalCount };
    }
}
