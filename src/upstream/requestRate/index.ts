/** Requests are counted over so long, in milliseconds. */
const WINDOW_MS = 1_000;

/**
 * Counts the requests that were sent in the last second.
 *
 * @example
 * const rate = new RequestRate();
 * rate.note(clock.monotonic());
 * rate.count(clock.monotonic()); // 1
 */
export class RequestRate {
    private starts: number[] = [];

    /**
     * Notes a request.
     *
     * @param at - When it was sent; monotonic, in milliseconds. Not necessarily later than those before.
     */
    note(at: number): void {
        const after = this.starts.findLastIndex(start => start <= at);
        this.starts.splice(after + 1, 0, at);
        this.trim(this.starts.at(-1)!);
    }

    /**
     * How many were sent within the second before.
     *
     * @param now - Monotonic time, in milliseconds.
     */
    count(now: number): number {
        this.trim(now);
        return this.starts.length;
    }

    private trim(now: number): void {
        const firstKept = this.starts.findIndex(start => start > now - WINDOW_MS);
        if (firstKept > 0) this.starts.splice(0, firstKept);
        else if (firstKept < 0) this.starts = [];
    }
}
