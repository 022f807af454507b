/** Time of the sender after which older messages no longer count, in milliseconds: two hosts' clocks drift apart. */
const PERIOD_MS = 30_000;

/**
 * Measures how long messages of one sender were on their way, without a common clock: by the one that was fastest of late.
 *
 * Prevents old news from being taken for new: what waits for a host that stands still, or behind a cut link, says nothing of its wait.
 *
 * @example
 * const meter = new TransitMeter();
 * meter.addLowerBound(reply.sentMs, askedAt);
 * const transitMs = meter.measure(update.sentMs, clock.monotonic());
 */
export class TransitMeter {
    /** Smallest differences between the times of arrival and of sending, in milliseconds, in this period and the one before. */
    private current = Number.POSITIVE_INFINITY;
    private previous = Number.POSITIVE_INFINITY;
    private periodStartedAt = Number.NEGATIVE_INFINITY;

    /**
     * Notes that a message was not sent before a moment, as the reply to a question is not.
     *
     * @param sentMs - Time of sending by the sender's monotonic clock, in milliseconds.
     * @param at - The moment by this host's monotonic clock, in milliseconds.
     */
    addLowerBound(sentMs: number, at: number): void {
        if (sentMs - this.periodStartedAt >= PERIOD_MS) {
            this.previous = this.current;
            this.current = Number.POSITIVE_INFINITY;
            this.periodStartedAt = sentMs;
        }
        this.current = Math.min(this.current, at - sentMs);
    }

    /**
     * Returns by how much a message took longer than the fastest one, in milliseconds.
     *
     * @param sentMs - Time of sending by the sender's monotonic clock, in milliseconds.
     * @param now - Time of arrival by this host's monotonic clock, in milliseconds.
     */
    measure(sentMs: number, now: number): number {
        this.addLowerBound(sentMs, now);
        return now - sentMs - Math.min(this.current, this.previous);
    }
}
