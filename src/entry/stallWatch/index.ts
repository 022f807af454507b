import { Clock, Timer } from "../../ports/index.js";

/**
 * Notices that something expected has not come. One timer for a whole stream, moved on only when it runs out, so that a token costs
 * no timer of its own.
 *
 * @example
 * const watch = new StallWatch(clock, () => connection.reset());
 * watch.expectWithin(2_000);
 * watch.touch();
 */
export class StallWatch {
    private timer: Timer | undefined;
    private limitMs = 0;
    private lastTouch = 0;

    /** @param onStall - Called once, when nothing has come for as long as was set. */
    constructor(private readonly clock: Clock, private readonly onStall: () => void) {}

    /** Starts to wait anew, for at most this long between touches, in milliseconds. */
    expectWithin(limitMs: number): void {
        this.stop();
        this.limitMs = limitMs;
        this.touch();
        this.arm(limitMs);
    }

    /** Tells that something has come. */
    touch(): void {
        this.lastTouch = this.clock.monotonic();
    }

    stop(): void {
        this.timer?.cancel();
        this.timer = undefined;
    }

    private arm(ms: number): void {
        this.timer = this.clock.after(ms, () => this.look());
    }

    private look(): void {
        const left = this.lastTouch + this.limitMs - this.clock.monotonic();
        if (left > 0) {
            this.arm(left);
            return;
        }
        this.timer = undefined;
        this.onStall();
    }
}
