import { UpstreamId } from "../../ids/index.js";

/** An upstream as `QuietUpstreams` sees it. */
export interface QuietCandidate {
    readonly id: UpstreamId;
    readonly slots: number;
    /** Number of its running streams that would probably pause for too long beside a long prompt. */
    readonly sensitiveStreams: number;
}

/** Maximum share of a pool's upstreams that are kept free of long prompts. */
const MAX_SHARE = 1 / 4;
/** Share of the slots of these upstreams that the streams should take: the rest is for those that come next. */
const TARGET_FILL = 0.9;
/** Interval between two reviews, and the time for which the number of streams counts after it has fallen, in milliseconds. */
const REVIEW_INTERVAL_MS = 100;
const PEAK_RETENTION_MS = 3_000;

/**
 * The upstreams of a pool that are kept free of long prompts, for streams that must not pause for long.
 *
 * An engine reads prompts between the tokens of its streams. If such streams ran on all upstreams, each long prompt would make some of
 * them late; on few upstreams that read no long prompts, none is. The set grows and shrinks with the number of these streams, keeps
 * its members, and never takes more than a third of the pool.
 *
 * @example
 * quiet.review(candidates, now);
 * quiet.has(upstream);
 */
export class QuietUpstreams {
    private readonly members = new Set<UpstreamId>();
    private reviewedAt = Number.NEGATIVE_INFINITY;
    private peak = 0;
    private peakAt = Number.NEGATIVE_INFINITY;

    has(upstream: UpstreamId): boolean {
        return this.members.has(upstream);
    }

    get size(): number {
        return this.members.size;
    }

    /** Whether the next review is due, at a monotonic time in milliseconds. */
    isReviewDue(now: number): boolean {
        return now - this.reviewedAt >= REVIEW_INTERVAL_MS;
    }

    /**
     * Adapts the set to the streams that run.
     *
     * @param candidates - The upstreams of the pool that may get work.
     * @param now - Monotonic time, in milliseconds.
     */
    review(candidates: readonly QuietCandidate[], now: number): void {
        this.reviewedAt = now;
        const byId = new Map(candidates.map(candidate => [candidate.id, candidate]));
        for (const id of this.members) {
            if (!byId.has(id)) this.members.delete(id);
        }
        const size = this.findSize(candidates, now);
        const ranked = [...candidates].sort((a, b) => b.sensitiveStreams - a.sensitiveStreams);
        for (const { id } of ranked) {
            if (this.members.size >= size) break;
            this.members.add(id);
        }
        for (const { id } of ranked.reverse()) {
            if (this.members.size <= size) break;
            this.members.delete(id);
        }
    }

    private findSize(candidates: readonly QuietCandidate[], now: number): number {
        const streams = candidates.reduce((sum, { sensitiveStreams }) => sum + sensitiveStreams, 0);
        if (streams >= this.peak || now - this.peakAt >= PEAK_RETENTION_MS) {
            this.peak = streams;
            this.peakAt = now;
        }
        const slots = candidates.reduce((sum, candidate) => sum + candidate.slots, 0) / Math.max(1, candidates.length);
        const needed = Math.ceil(this.peak / Math.max(1, TARGET_FILL * slots));
        return Math.min(Math.floor(MAX_SHARE * candidates.length), needed);
    }
}
