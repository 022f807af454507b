import { performance } from "node:perf_hooks";
import { Clock, Timer } from "../clock/index.js";

/**
 * The machine's clock.
 *
 * @example
 * const clock = new SystemClock();
 */
export class SystemClock extends Clock {
    now(): number {
        return Date.now();
    }

    monotonic(): number {
        return performance.now();
    }

    after(ms: number, callback: () => void): Timer {
        const handle = setTimeout(callback, ms);
        return { cancel: () => clearTimeout(handle) };
    }
}
