import { Clock, Timer } from "../../ports/index.js";

/**
 * The clock of one host, whose timers wait while the host stands still. Its time goes on meanwhile, as that of a stopped process does.
 *
 * @example
 * const clock = new PausableClock(fleetClock);
 * clock.pause();
 * await fleetClock.advance(2_000);
 * clock.resume();
 */
export class PausableClock extends Clock {
    private isPaused = false;
    private waiting: (() => void)[] = [];

    /** @param base - The clock of the whole fleet. */
    constructor(private readonly base: Clock) {
        super();
    }

    now(): number {
        return this.base.now();
    }

    monotonic(): number {
        return this.base.monotonic();
    }

    after(ms: number, callback: () => void): Timer {
        let isCancelled = false;
        const run = (): void => {
            if (!isCancelled) callback();
        };
        const timer = this.base.after(ms, () => this.isPaused ? void this.waiting.push(run) : run());
        return {
            cancel: () => {
                isCancelled = true;
                timer.cancel();
            },
        };
    }

    /** Holds back all callbacks. */
    pause(): void {
        this.isPaused = true;
    }

    /** Runs the callbacks that were due meanwhile, in order. */
    resume(): void {
        this.isPaused = false;
        for (const run of this.waiting.splice(0)) run();
    }
}
