import { Timer } from "../clock/index.js";

/** Longest delay that the timers of Node.js support, in milliseconds; they run a callback with a longer one at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/**
 * Schedules a callback to run once, after a delay of any length.
 *
 * @param ms - The delay, in milliseconds.
 * @example
 * const timer = startTimer(timeoutMs, () => req.destroy());
 */
export function startTimer(ms: number, callback: () => void): Timer {
    let handle: NodeJS.Timeout;
    const schedule = (remainingMs: number): void => {
        handle = remainingMs > MAX_TIMER_MS
            ? setTimeout(() => schedule(remainingMs - MAX_TIMER_MS), MAX_TIMER_MS)
            : setTimeout(callback, remainingMs);
    };
    schedule(ms);
    return { cancel: () => clearTimeout(handle) };
}
