import { Clock } from "../../ports/index.js";

/**
 * Measures for how long a peer has not answered, counting only the time in which it was asked.
 *
 * The time since the last answer is no such measure: it also grows while this process itself was frozen, and jumps with the wall clock
 * where the clock includes suspensions.
 *
 * @example
 * meter.recordRequest();
 * meter.recordAnswer();
 * meter.silentMs; // 0
 */
export class SilenceMeter {
    private requestedAt: number | undefined;
    private unansweredMs = 0;

    /**
     * @param maxGapMs - The most that the time between two requests counts, in milliseconds.
     * @param earlierMs - For how long the peer is known to have been silent before, in milliseconds.
     */
    constructor(private readonly clock: Clock, private readonly maxGapMs: number, private earlierMs = 0) {}

    /** For how long the peer has not answered, in milliseconds, including the time before this meter. */
    get silentMs(): number {
        return this.earlierMs + this.unansweredMs;
    }

    /** Time between the first and the last request since the last answer, in milliseconds. */
    get observedMs(): number {
        return this.unansweredMs;
    }

    recordRequest(): void {
        const now = this.clock.monotonic();
        if (this.requestedAt !== undefined) this.unansweredMs += Math.min(now - this.requestedAt, this.maxGapMs);
        this.requestedAt = now;
    }

    recordAnswer(): void {
        this.requestedAt = undefined;
        this.unansweredMs = 0;
        this.earlierMs = 0;
    }
}
