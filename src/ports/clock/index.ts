/** A pending call of `Clock.after`. */
export interface Timer {
    /** Stops the call; harmless when it has run. */
    cancel(): void;
}

/**
 * The only source of time.
 *
 * @example
 * await clock.sleep(50);
 */
export abstract class Clock {
    /** Wall time in milliseconds since the epoch. May jump; only for records people read. */
    abstract now(): number;

    /** Milliseconds on a clock that never goes back. Leases and deadlines run on this one. */
    abstract monotonic(): number;

    /**
     * Milliseconds on a clock that never goes back and never counts less than has passed, for whoever holds a right that
     * ends by time: a lease's holder, an entry with a view. Differs from `monotonic` where the machine can be suspended, which
     * stops the steady clock. Whoever granted the right counts on `monotonic`, which then ends later: both err on the safe side.
     */
    elapsed(): number {
        return this.monotonic();
    }

    /**
     * Calls back once, later.
     *
     * @param ms - How long from now, in milliseconds.
     * @param callback - What to call.
     * @returns The handle that cancels it.
     */
    abstract after(ms: number, callback: () => void): Timer;

    /**
     * Waits.
     *
     * @param ms - How long, in milliseconds.
     * @param signal - Ends the wait early, without an error.
     */
    sleep(ms: number, signal?: AbortSignal): Promise<void> {
        if (signal?.aborted) return Promise.resolve();
        return new Promise(resolve => {
            const finish = (): void => {
                timer.cancel();
                signal?.removeEventListener("abort", finish);
                resolve();
            };
            const timer = this.after(ms, finish);
            signal?.addEventListener("abort", finish);
        });
    }

    /**
     * How long it is to the next multiple of a period on the steady clock, in milliseconds. What a process does now and then falls on few moments
     * in this way: each time it wakes up costs it as much as some messages, and most hosts of a large fleet are idle most of the time.
     *
     * @param periodMs - The period, in milliseconds.
     */
    untilTick(periodMs: number): number {
        const leftMs = periodMs - this.monotonic() % periodMs;
        // Timers may fire a little early, and a tick must not come twice.
        return Math.ceil(leftMs < EARLY_SHARE * periodMs ? leftMs + periodMs : leftMs);
    }

    /**
     * Waits for the next multiple of a period, as `untilTick` counts.
     *
     * @param periodMs - The period, in milliseconds.
     * @param signal - As for `sleep`.
     */
    sleepToTick(periodMs: number, signal?: AbortSignal): Promise<void> {
        return this.sleep(this.untilTick(periodMs), signal);
    }
}

const EARLY_SHARE = 0.1;
