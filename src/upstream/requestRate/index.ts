/** Length of the sliding window, in milliseconds. */
const WINDOW_MS = 1_000;

/**
 * Counts the requests sent within the last second.
 *
 * @example
 * const rate = new RequestRate();
 * rate.record(clock.monotonic());
 * rate.count(clock.monotonic()); // 1
 */
export class RequestRate {
    private sentAt: number[] = [];

    /**
     * Records a request.
     *
     * @param at - Monotonic time at which it was sent, in milliseconds; may be earlier than those recorded before.
     */
    record(at: number): void {
        const lastEarlier = this.sentAt.findLastIndex(start => start <= at);
        this.sentAt.splice(lastEarlier + 1, 0, at);
        this.trim(this.sentAt.at(-1)!);
    }

    /**
     * Returns how many requests were sent within the last second.
     *
     * @param now - Monotonic time, in milliseconds.
     */
    count(now: number): number {
        this.trim(now);
        return this.sentAt.length;
    }

    private trim(now: number): void {
        const firstKept = this.sentAt.findIndex(start => start > now - WINDOW_MS);
        if (firstKept > 0) this.sentAt.splice(0, firstKept);
        else if (firstKept < 0) this.sentAt = [];
    }
}
