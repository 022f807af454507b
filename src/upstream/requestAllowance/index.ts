/**
 * Minimum rate, in requests per second: an upstream with a limit of 0 still gets a request occasionally, since only its
 * answers tell when the limit has ended.
 */
const MIN_REQUESTS_PER_S = 0.1;
const MS_PER_SECOND = 1_000;

/**
 * Token bucket for the requests that this process may send to an upstream that states a request limit in its answers.
 * It holds one second's worth, and at least one request. The newest answer counts; one without a limit ends it.
 *
 * @example
 * allowance.update(1.5, answeredAt, now, 0);
 * if (allowance.available(now) > 0) allowance.consume(now);
 */
export class RequestAllowance {
    private limit: number | undefined;
    private lastAnswerAt = Number.NEGATIVE_INFINITY;
    private permits = 0;
    private refilledAt = 0;

    /** @param share - Share of the limit that this process may use, from 0 to 1. */
    constructor(private readonly share: () => number) {}

    /** Limit that the upstream states for all hosts together, in requests per second; undefined if it states none. */
    get perSecond(): number | undefined {
        return this.limit;
    }

    /** Monotonic time of the newest answer, in milliseconds. */
    get answeredAt(): number {
        return this.lastAnswerAt;
    }

    /**
     * Updates the limit from an answer; one that is older than the newest known answer changes nothing.
     *
     * @param perSecond - Limit stated by the answer; undefined for none.
     * @param answeredAt - Monotonic time of the answer, in milliseconds.
     * @param now - Monotonic time, in milliseconds.
     * @param sentCount - Number of requests that this process has sent there within the last second.
     */
    update(perSecond: number | undefined, answeredAt: number, now: number, sentCount: number): void {
        if (answeredAt < this.lastAnswerAt) return;
        const isNew = this.limit === undefined && perSecond !== undefined;
        this.limit = perSecond;
        this.lastAnswerAt = answeredAt;
        if (!isNew) return;
        this.permits = this.capacity() - sentCount;
        this.refilledAt = now;
    }

    /** Forgets the limit: the upstream has ended or restarted. */
    reset(): void {
        this.limit = undefined;
        this.lastAnswerAt = Number.NEGATIVE_INFINITY;
    }

    /**
     * Returns how many requests may be sent now.
     *
     * @param now - Monotonic time, in milliseconds.
     */
    available(now: number): number {
        if (this.limit === undefined) return Number.POSITIVE_INFINITY;
        this.refill(now);
        return Math.max(0, Math.floor(this.permits));
    }

    /** Records that a request was sent. */
    consume(now: number): void {
        if (this.limit === undefined) return;
        this.refill(now);
        this.permits--;
    }

    private refill(now: number): void {
        const added = this.rate() * (now - this.refilledAt) / MS_PER_SECOND;
        this.permits = Math.min(this.capacity(), this.permits + added);
        this.refilledAt = now;
    }

    private rate(): number {
        return this.share() * Math.max(MIN_REQUESTS_PER_S, this.limit ?? 0);
    }

    private capacity(): number {
        return Math.max(1, this.rate());
    }
}
