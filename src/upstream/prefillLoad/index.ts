/**
 * Time constant of the moving average, in milliseconds: two thirds of a burst are visible after this time, and new
 * upstreams need seconds to start.
 */
const AVERAGING_MS = 3_000;

/** Moving average of the prefill work sent to a pool, as the number of upstreams that it keeps fully busy. */
export class PrefillLoad {
    /** Milliseconds of prefill per millisecond, averaged. */
    private load = 0;
    private updatedAt = 0;

    /** Adds a prompt whose prefill takes `prefillMs` milliseconds at monotonic time `now`, in milliseconds. */
    add(prefillMs: number, now: number): void {
        this.load = this.valueAt(now) + prefillMs / AVERAGING_MS;
        this.updatedAt = now;
    }

    /** Returns the load at a monotonic time, as a number of upstreams that do nothing but prefill. */
    valueAt(now: number): number {
        return this.load * Math.exp((this.updatedAt - now) / AVERAGING_MS);
    }
}
