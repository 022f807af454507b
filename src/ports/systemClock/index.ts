import { performance } from "node:perf_hooks";
import { startTimer } from "../_lib/startTimer.js";
import { Clock, Timer } from "../clock/index.js";
import { SleepDetector } from "../sleepDetector/index.js";

/**
 * Clock of the operating system.
 *
 * @example
 * const clock = new SystemClock();
 */
export class SystemClock extends Clock {
    private readonly sleepDetector = new SleepDetector();

    now(): number {
        return Date.now();
    }

    override monotonicWithSuspend(): number {
        const monotonicMs = this.monotonic();
        return monotonicMs + this.sleepDetector.suspendedMs(Date.now(), monotonicMs);
    }

    monotonic(): number {
        return performance.now();
    }

    after(ms: number, callback: () => void): Timer {
        return startTimer(ms, callback);
    }
}
