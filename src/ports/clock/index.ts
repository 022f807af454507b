/** Handle of a callback scheduled by `Clock.after`. */
export interface Timer {
    /** Cancels the callback; has no effect once it has run. */
    cancel(): void;
}

/**
 * The only source of time in the system.
 *
 * @example
 * await clock.sleep(50);
 */
export abstract class Clock {
    /** Wall time, in milliseconds since the epoch. It may jump, so use it only for records that people read. */
    abstract now(): number;

    /** Monotonic time, in milliseconds. Used for leases and deadlines. */
    abstract monotonic(): number;

    /**
     * Monotonic time that includes the time for which the machine was suspended, in milliseconds. `monotonic` stands still
     * meanwhile. The holder of a right that expires (a lease, an entry's view) measures it by this clock; the process that
     * granted the right uses `monotonic`, by which it expires later. So both err on the safe side.
     */
    monotonicWithSuspend(): number {
        return this.monotonic();
    }

    /**
     * Schedules a callback to run once.
     *
     * @param ms - The delay, in milliseconds.
     * @param callback - The function to call.
     * @returns A handle that cancels the callback.
     */
    abstract after(ms: number, callback: () => void): Timer;

    /**
     * Waits for a duration.
     *
     * @param ms - The duration, in milliseconds.
     * @param signal - Ends the wait early when aborted, without an error.
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
     * Returns the time until the next multiple of a period on the monotonic clock, in milliseconds. Periodic tasks of a
     * process so run at the same moments: each wake-up costs as much as handling some messages, and most hosts of a large
     * fleet are idle most of the time.
     *
     * @param periodMs - The period, in milliseconds.
     */
    msUntilTick(periodMs: number): number {
        const remainingMs = periodMs - this.monotonic() % periodMs;
        // Timers may fire slightly early; the same tick must not be returned twice.
        return Math.ceil(remainingMs < MAX_EARLY_SHARE * periodMs ? remainingMs + periodMs : remainingMs);
    }

    /**
     * Waits until the next multiple of a period, as computed by `msUntilTick`.
     *
     * @param periodMs - The period, in milliseconds.
     * @param signal - Ends the wait early when aborted, without an error.
     */
    sleepToTick(periodMs: number, signal?: AbortSignal): Promise<void> {
        return this.sleep(this.msUntilTick(periodMs), signal);
    }
}

/** Largest share of a period by which a timer may fire early. */
const MAX_EARLY_SHARE = 0.1;
