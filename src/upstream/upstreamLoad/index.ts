import { Announcement } from "../../protocol/index.js";
import { RejectionGuard } from "../rejectionGuard/index.js";
import { RequestAllowance } from "../requestAllowance/index.js";
import { RequestRate } from "../requestRate/index.js";
import { Upstream } from "../upstream/index.js";

/** Request limit that an upstream states in its answers. */
export interface AdvertisedLimit {
    /** Requests per second from all hosts together. */
    readonly perSecond: number;
    /** Monotonic time of the answer that stated it, in milliseconds. */
    readonly answeredAt: number;
}

interface OutstandingSample {
    readonly at: number;
    readonly outstanding: number;
}

/** Longer than the delay of any load report. */
const HISTORY_MS = 10_000;
const TOKEN_MS_SMOOTHING = 0.2;
const INITIAL_FAILURE_BACKOFF_MS = 500;
const MAX_FAILURE_BACKOFF_MS = 30_000;

/**
 * Estimates one upstream's load for the owner of a pool's queue. The requests that the owner sent itself are known
 * exactly, those of others only from the upstream's own load reports, which are late.
 *
 * A report counts requests that have ended since, and misses those that were sent since. Taken as it is, it would send
 * each burst to the engine that was idle a second ago. So the report is compared with the number of requests that this
 * process had outstanding when it was measured, and only the difference, the load of others, is added to the number
 * outstanding now.
 */
export class UpstreamLoad {
    private readonly history: OutstandingSample[] = [];
    private readonly sendRate = new RequestRate();
    private readonly allowance: RequestAllowance;
    private readonly rejectionGuard: RejectionGuard;
    private ownCount = 0;
    /** Load report from which the load of others was last calculated. */
    private foreignReport: Announcement | undefined;
    private foreignCount = 0;
    /** Number of requests that other owners of the queue report to have there. */
    private othersCount = 0;
    private smoothedTokenMs: number | undefined;
    private tokenMsSampleCount = 0;
    private consecutiveFailures = 0;
    /** Monotonic time at which it was last found to have perhaps ended, in milliseconds. */
    private perhapsEndedAt = Number.NEGATIVE_INFINITY;
    /**
     * Monotonic times until which it backs off after a failure, and until which it is full by its own account, in
     * milliseconds.
     */
    private backoffUntil = 0;
    private busyUntil = 0;
    /** Whether it gets work despite its back-off, because most of its pool is backing off. */
    private ignoresBackoff = false;
    private isEjected = false;
    private probedAt = 0;
    private failedProbes = 0;

    /**
     * @param upstream - The upstream whose load this is.
     * @param coldRequestsPerS - Requests per second that this process may send to it while it is cold.
     * @param limitShare - Share of a limit stated by the upstream that this process may use, from 0 to 1.
     */
    constructor(
        readonly upstream: Upstream,
        private readonly coldRequestsPerS: () => number = () => Infinity,
        limitShare: () => number = () => 1,
    ) {
        this.allowance = new RequestAllowance(limitShare);
        this.rejectionGuard = new RejectionGuard(limitShare);
    }

    /** Whether it is excluded as a straggler and gets single probes only. */
    get ejected(): boolean {
        return this.isEjected;
    }

    /** Number of requests sent by this process that are running there. */
    get ownOutstanding(): number {
        return this.ownCount;
    }

    /** Smoothed time between tokens, in milliseconds; undefined until one was observed. */
    get tokenMs(): number | undefined {
        return this.smoothedTokenMs;
    }

    /** Number of observations of the time between tokens since the last reset. */
    get tokenMsSamples(): number {
        return this.tokenMsSampleCount;
    }

    /** Estimated number of requests that are running or queued there now. */
    get outstanding(): number {
        return this.ownCount + this.countForeign();
    }

    /**
     * Returns how many more requests it can start now.
     *
     * @param now - Monotonic time, in milliseconds.
     */
    freeSlots(now: number): number {
        if (!this.acceptsWork(now)) return 0;
        const slots = this.isEjected ? this.countDueProbes(now) : Math.max(0, this.upstream.slots - this.outstanding);
        const free = Math.min(
            slots,
            this.allowance.available(now),
            this.rejectionGuard.available(now, this.outstanding),
        );
        return this.isCold(now) ? Math.min(free, this.coldAllowance(now)) : free;
    }

    /** Limit that it states in its answers, with the time of the answer; undefined if it states none. */
    get limit(): AdvertisedLimit | undefined {
        const { perSecond, answeredAt } = this.allowance;
        return perSecond === undefined ? undefined : { perSecond, answeredAt };
    }

    /**
     * Updates the limit from an answer.
     *
     * @param perSecond - Requests per second from all hosts together; undefined if the answer states none.
     * @param answeredAt - Monotonic time of the answer, in milliseconds.
     */
    updateLimit(perSecond: number | undefined, answeredAt: number, now: number): void {
        this.allowance.update(perSecond, answeredAt, now, this.sendRate.count(now));
    }

    /** How many requests it can turn away within a second, with the time of the answer; undefined if it states no such limit. */
    get rejectionLimit(): AdvertisedLimit | undefined {
        const { perSecond, answeredAt } = this.rejectionGuard;
        return perSecond === undefined ? undefined : { perSecond, answeredAt };
    }

    /**
     * Updates the limit on rejections from an answer.
     *
     * @param perSecond - Requests that it can turn away within a second; undefined if the answer states none.
     * @param answeredAt - Monotonic time of the answer, in milliseconds.
     */
    updateRejectionLimit(perSecond: number | undefined, answeredAt: number): void {
        this.rejectionGuard.update(perSecond, answeredAt, this.outstanding);
    }

    /** Forgets the limits of an earlier incarnation. */
    forgetLimits(): void {
        this.allowance.reset();
        this.rejectionGuard.reset();
    }

    /** Whether its stated limits allow no request now. */
    isAtLimit(now: number): boolean {
        return this.allowance.available(now) === 0 || this.rejectionGuard.available(now, this.outstanding) === 0;
    }

    /**
     * Whether it takes few requests per second, because it is cold or states a limit: its free slots change with time
     * alone.
     */
    isThrottled(now: number): boolean {
        return this.isCold(now) || this.allowance.perSecond !== undefined
            || this.rejectionGuard.perSecond !== undefined;
    }

    /** Whether it has recently started and can serve only few requests per second. */
    isCold(now: number): boolean {
        return now < this.upstream.coldUntil;
    }

    /** Returns what keeps it from getting a request now; `free` where nothing does. */
    describeState(now: number): string {
        const { upstream } = this;
        if (upstream.state !== "ready") return upstream.state;
        if (!upstream.isGrantable) return upstream.isZoneEvacuated ? "evacuated" : "reclaimed";
        if (now < this.busyUntil) return "busy";
        if (!this.ignoresBackoff && this.isBackingOff(now)) return "backing-off";
        if (this.freeSlots(now) >= 1) return "free";
        if (this.isEjected) return "ejected";
        if (this.isAtLimit(now)) return "at-limit";
        return this.isCold(now) && this.outstanding < upstream.slots ? "cold" : "full";
    }

    /** Whether it may get work at all, busy or not. */
    isReady(now: number): boolean {
        return this.acceptsWork(now) && !this.isEjected;
    }

    /**
     * Returns how many requests of this process it can run concurrently, busy or not. The result is a fraction if its
     * rate limit makes it idle between requests.
     *
     * @param serviceMs - Average duration of a request, in milliseconds.
     */
    usableSlots(now: number, serviceMs: number): number {
        if (!this.isReady(now)) return 0;
        const { perSecond = Number.POSITIVE_INFINITY } = this.allowance;
        const slots = Math.min(
            Math.max(0, this.upstream.slots - this.countForeign()),
            perSecond * serviceMs / MS_PER_SECOND,
        );
        return this.isCold(now) ? Math.min(slots, this.coldRequestsPerS()) : slots;
    }

    /** Records that a request was sent. */
    markSent(now: number): void {
        this.ownCount++;
        this.sendRate.record(now);
        this.allowance.consume(now);
        this.rejectionGuard.recordSent(now, this.outstanding);
        if (this.isEjected) this.probedAt = now;
        this.recordSample(now);
    }

    /**
     * Records a running request that another process sent. It counts as this process's own from its start on: a report
     * measured since then includes it too, and would otherwise attribute it to others, so that its slot would count as
     * used twice.
     */
    adopt(startedAt: number): void {
        this.ownCount++;
        this.sendRate.record(startedAt);
        this.foreignReport = undefined;
        const later = this.history.filter(sample => sample.at >= startedAt);
        const earlier = this.history.slice(0, this.history.length - later.length);
        const before = earlier.at(-1)?.outstanding ?? 0;
        const laterIncremented = later.map(({ at, outstanding }) => ({ at, outstanding: outstanding + 1 }));
        this.history.splice(
            0,
            this.history.length,
            ...earlier,
            { at: startedAt, outstanding: before + 1 },
            ...laterIncremented,
        );
    }

    /** Sets the number of requests that other owners of the queue have there: they are known sooner than from its load report. */
    setOthersOutstanding(count: number): void {
        this.othersCount = count;
    }

    /** Records that a request ended, whatever the outcome. */
    markEnded(now: number): void {
        this.ownCount = Math.max(0, this.ownCount - 1);
        this.recordSample(now);
    }

    /** Records that the upstream answered: it is not failing. */
    markHealthy(): void {
        this.consecutiveFailures = 0;
        this.backoffUntil = 0;
        this.busyUntil = 0;
    }

    /**
     * Whether its newest announcement shows that the announced incarnation still runs: it came after any sign that it ended, and not too
     * long ago. An upstream that has crashed since may have come back with other software at the same address.
     *
     * @param maxAgeMs - Maximum age of the announcement, in milliseconds.
     */
    isIncarnationCertain(now: number, maxAgeMs: number): boolean {
        const { announcedAt } = this.upstream;
        return announcedAt > this.perhapsEndedAt && now - announcedAt <= maxAgeMs;
    }

    /** Whether it is backing off after a failure, disregarding `setIgnoresBackoff`. */
    isBackingOff(now: number): boolean {
        return now < this.backoffUntil;
    }

    /** Returns the time until the end of its back-off, in milliseconds; 0 if there is none. */
    backOffLeftMs(now: number): number {
        return Math.max(0, this.backoffUntil - now);
    }

    /**
     * Sets whether it gets work although it is backing off: if most of a pool backs off, its other members can't do the
     * work of all.
     */
    setIgnoresBackoff(ignoresBackoff: boolean): void {
        this.ignoresBackoff = ignoresBackoff;
    }

    /**
     * Records that the upstream failed a request: it backs off, twice as long each time. Requests that fail during a
     * back-off were sent before it began. They show the same failure, and counting them would turn one broken
     * connection into a back-off of many seconds.
     *
     * @returns The length of the back-off, in milliseconds; undefined where none begins.
     */
    markFailed(now: number): number | undefined {
        if (this.isBackingOff(now)) return undefined;
        const backoffMs = Math.min(MAX_FAILURE_BACKOFF_MS, INITIAL_FAILURE_BACKOFF_MS * 2 ** this.consecutiveFailures);
        this.consecutiveFailures = Math.min(this.consecutiveFailures + 1, 10);
        this.backoffUntil = now + backoffMs;
        return backoffMs;
    }

    /** Records that it may have ended: a connection to it did, or could not be made, and nobody was found listening at its address. */
    markPerhapsEnded(now: number): void {
        this.perhapsEndedAt = now;
    }

    /** Records that the upstream refused a request as full by its own count: it gets no other for a short time. */
    markBusy(now: number): void {
        this.rejectionGuard.recordRejection(now, this.outstanding);
        this.busyUntil = Math.max(this.busyUntil, now + BUSY_BACKOFF_MS);
    }

    /** Updates the smoothed time between tokens with one observed by a request, in milliseconds. */
    recordTokenMs(tokenMs: number): void {
        this.tokenMsSampleCount++;
        this.smoothedTokenMs = this.smoothedTokenMs === undefined
            ? tokenMs
            : this.smoothedTokenMs + TOKEN_MS_SMOOTHING * (tokenMs - this.smoothedTokenMs);
    }

    /** Ejects it as a straggler, or again after a slow probe: the interval to the next probe doubles. */
    eject(now: number): void {
        this.failedProbes = this.isEjected ? this.failedProbes + 1 : 0;
        this.isEjected = true;
        this.probedAt = now;
        this.resetTokenMs();
    }

    /** Readmits it with its full share of work. */
    readmit(): void {
        this.isEjected = false;
        this.resetTokenMs();
    }

    private acceptsWork(now: number): boolean {
        if (!this.upstream.isGrantable || now < this.busyUntil) return false;
        return this.ignoresBackoff || !this.isBackingOff(now);
    }

    private resetTokenMs(): void {
        this.smoothedTokenMs = undefined;
        this.tokenMsSampleCount = 0;
    }

    private countDueProbes(now: number): number {
        return this.ownCount === 0 && this.isProbeDue(now) ? 1 : 0;
    }

    /**
     * Returns how many requests it can take now as a cold upstream. Within any second it gets no more than it can
     * serve: without this limit, an upstream that has just started crashes under the load of the whole pool.
     */
    private coldAllowance(now: number): number {
        return Math.max(0, this.coldRequestsPerS() - this.sendRate.count(now));
    }

    private isProbeDue(now: number): boolean {
        return now - this.probedAt
            >= Math.min(MAX_PROBE_INTERVAL_MS, INITIAL_PROBE_INTERVAL_MS * 2 ** this.failedProbes);
    }

    private countForeign(): number {
        const { announcement, loadMeasuredAt } = this.upstream;
        if (this.foreignReport !== announcement) {
            const { running, queued } = announcement.load;
            this.foreignCount = Math.max(0, running + queued - this.maxOwnAround(loadMeasuredAt));
            this.foreignReport = announcement;
        }
        return Math.max(this.foreignCount, this.othersCount);
    }

    /**
     * Returns the highest number of requests that this process had outstanding around a time: a report races with
     * requests that were just sent or ended.
     */
    private maxOwnAround(at: number): number {
        let max = 0;
        for (let index = this.history.length - 1; index >= 0; index--) {
            const sample = this.history[index];
            if (sample.at > at + REPORT_SKEW_MS) continue;
            max = Math.max(max, sample.outstanding);
            if (sample.at <= at - REPORT_SKEW_MS) break;
        }
        return max;
    }

    private recordSample(now: number): void {
        if (now <= this.upstream.loadMeasuredAt + REPORT_SKEW_MS) this.foreignReport = undefined;
        const last = this.history.at(-1);
        if (last?.at === now) this.history.pop();
        this.history.push({ at: now, outstanding: this.ownCount });
        if (this.history.length < MAX_SAMPLE_COUNT) return;
        const firstKept = this.history.findIndex(sample => sample.at >= now - HISTORY_MS);
        this.history.splice(0, Math.max(firstKept - 1, this.history.length - MAX_SAMPLE_COUNT / 2));
    }
}

/** Time for which a full upstream gets no request, in milliseconds: about the time until one of its requests ends. */
const BUSY_BACKOFF_MS = 50;
/** Maximum shift between the sending or end of a request and its appearance in a report, in milliseconds. */
const REPORT_SKEW_MS = 20;
/** Initial and maximum time between the probes by which an ejected upstream shows its speed, in milliseconds. */
const INITIAL_PROBE_INTERVAL_MS = 2_000;
const MAX_PROBE_INTERVAL_MS = 60_000;
const MAX_SAMPLE_COUNT = 256;
const MS_PER_SECOND = 1_000;
