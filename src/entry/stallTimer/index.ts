import { Clock, Timer } from "../../ports/index.js";

/**
 * Detects that expected data has not arrived. A whole stream uses one timer, which is rearmed only when it expires, so that no timer
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

    /** @param onStall - Called once, when nothing has arrived within the limit. */
    constructor(private readonly clock: Clock, private readonly onStall: () => void) {}

    /** Restarts the timer with a maximum time between calls of `touch`, in milliseconds. */
    expectWithin(limitMs: number): void {
        this.stop();
        this.limitMs = limitMs;
        this.touch();
        this.arm(limitMs);
    }

    /** Records that data has arrived. */
    touch(): void {
        this.lastTouch = this.clock.monotonic();
    }

    stop(): void {
        this.timer?.cancel();
        this.timer = undefined;
    }

    private arm(ms: number): void {
        this.timer = this.clock.after(ms, () => this.check());
    }

    private check(): void {
        const remainingMs = this.lastTouch + this.limitMs - this.clock.monotonic();
        if (remainingMs > 0) {
            this.arm(remainingMs);
            return;
        }
        this.timer = undefined;
        this.onStall();
    }
}
