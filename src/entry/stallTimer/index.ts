import { Clock, Timer } from "../../ports/index.js";

/**
 * Detects that expected data has not arrived, and reports it again while it does not arrive. A whole stream uses one timer, which is rearmed only when it expires, so that no timer
 * is set per token.
 *
 * @example
 * const stallTimer = new StallTimer(clock, () => connection.reset());
 * stallTimer.expectWithin(2_000);
 * stallTimer.touch();
 */
export class StallTimer {
    private timer: Timer | undefined;
    private limitMs = 0;
    private lastTouch = 0;
    /** Monotonic time of the last report since the last data, in milliseconds. */
    private reportedAt = 0;
    private isPaused = false;

    /** @param onStall - Called with the time without data, in milliseconds, each time that it has grown by the limit. */
    constructor(private readonly clock: Clock, private readonly onStall: (silentMs: number) => void) {}

    /** Restarts the timer with a maximum time between calls of `touch`, in milliseconds. */
    expectWithin(limitMs: number): void {
        this.stop();
        this.limitMs = limitMs;
        this.touch();
        this.arm(limitMs);
    }

    /** Records that data has arrived, or that more of it can be read again. */
    touch(): void {
        this.isPaused = false;
        this.lastTouch = this.clock.monotonic();
    }

    /** Expects no data until the next call of `touch`, since none can be read. */
    pause(): void {
        this.isPaused = true;
    }

    stop(): void {
        this.timer?.cancel();
        this.timer = undefined;
    }

    private arm(ms: number): void {
        this.timer = this.clock.after(ms, () => this.check());
    }

    private check(): void {
        const now = this.clock.monotonic();
        const since = this.isPaused ? now : Math.max(this.lastTouch, this.reportedAt);
        const remainingMs = since + this.limitMs - now;
        if (remainingMs > 0) {
            this.arm(remainingMs);
            return;
        }
        this.reportedAt = now;
        this.arm(this.limitMs);
        this.onStall(now - this.lastTouch);
    }
}
