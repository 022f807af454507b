import { RequestRate } from "../requestRate/index.js";

/**
 * Share of the stated number that the owner of the queue risks: the previous owner and the next may decide within the same second, and
 * other hosts on their own.
 */
const OWNER_SHARE = 0.4;
/** Time after which a request that was not turned away has been accepted, in milliseconds. */
const SETTLE_MS = 30;

/** A request that may still be turned away. */
interface UnsettledRequest {
    /** Monotonic time, in milliseconds. */
    readonly sentAt: number;
    /** Number of requests at the upstream with it. */
    readonly outstanding: number;
}

/**
 * Keeps an upstream from having to turn away more requests within a second than it states that it can: what was turned away and what may
 * still be is never more than this process's share of that number.
 *
 * It also learns how many requests the upstream takes at a time, so that few are turned away: beyond that one request at a time is sent,
 * and none for a second after a rejection.
 *
 * @example
 * guard.update(10, answeredAt, now, load.outstanding);
 * if (guard.available(now, load.outstanding) > 0) send();
 */
export class RejectionGuard {
    private limit: number | undefined;
    private lastAnswerAt = Number.NEGATIVE_INFINITY;
    /** Number of requests that the upstream is known to take at a time. */
    private accepted = 1;
    /** The oldest first. */
    private unsettled: UnsettledRequest[] = [];
    private readonly rejections = new RequestRate();

    /** @param share - Share of the stated number that this process may use, from 0 to 1. */
    constructor(private readonly share: () => number) {}

    /** Number of requests that the upstream can turn away within a second; undefined where it states none. */
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
     * @param outstanding - Number of requests running or queued at the upstream, which it has accepted.
     */
    update(perSecond: number | undefined, answeredAt: number, outstanding: number): void {
        if (answeredAt < this.lastAnswerAt) return;
        if (this.limit === undefined) {
            this.accepted = Math.max(1, outstanding);
            this.unsettled = [];
        }
        this.limit = perSecond;
        this.lastAnswerAt = answeredAt;
    }

    /** Forgets the limit: the upstream has ended or restarted. */
    reset(): void {
        this.limit = undefined;
        this.lastAnswerAt = Number.NEGATIVE_INFINITY;
    }

    /**
     * Records that a request was sent.
     *
     * @param outstanding - Number of requests there, this one included.
     */
    recordSent(now: number, outstanding: number): void {
        if (this.limit !== undefined) this.unsettled.push({ sentAt: now, outstanding });
    }

    /**
     * Records that a request was turned away.
     *
     * @param outstanding - Number of requests there, without this one.
     */
    recordRejection(now: number, outstanding: number): void {
        this.rejections.record(now);
        this.unsettled.pop();
        this.accepted = Math.max(1, Math.min(this.accepted, outstanding));
    }

    /**
     * Returns how many requests may be sent now.
     *
     * @param outstanding - Number of requests there.
     */
    available(now: number, outstanding: number): number {
        if (this.limit === undefined) return Number.POSITIVE_INFINITY;
        this.settle(now);
        const max = this.maxRejections();
        const rejected = this.rejections.count(now);
        const isAtRisk = this.unsettled.some(request => request.outstanding > this.accepted);
        const mayRisk = !isAtRisk && this.limit >= 1 && rejected === 0;
        const wanted = Math.max(0, this.accepted - outstanding) + (mayRisk ? 1 : 0);
        return Math.max(0, Math.min(wanted, max - rejected - this.unsettled.length));
    }

    /** One at least: an upstream that gets nothing can't say that it is no longer brittle. */
    private maxRejections(): number {
        return Math.max(1, Math.floor(OWNER_SHARE * this.share() * this.limit!));
    }

    private settle(now: number): void {
        while (this.unsettled.length > 0 && now - this.unsettled[0].sentAt >= SETTLE_MS) {
            const { outstanding } = this.unsettled.shift()!;
            this.accepted = Math.max(this.accepted, outstanding);
        }
    }
}
