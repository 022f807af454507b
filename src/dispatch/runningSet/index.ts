import { RequestId } from "../../ids/index.js";
import { UpstreamLoad } from "../../upstream/index.js";
import { WaitingTicket } from "../waitingTicket/index.js";

/** The token count of a running answer at one time. */
export interface PaceSample {
    /** Monotonic time, in milliseconds. */
    readonly at: number;
    readonly tokens: number;
}

/** A granted request that has not been completed. */
export interface RunningRequest {
    readonly waiting: WaitingTicket;
    readonly load: UpstreamLoad;
    /** Monotonic time of the grant, in milliseconds. */
    readonly grantedAt: number;
    /** Tokens of the answer received so far. */
    tokens: number;
    /** The start of the current pace measurement. */
    paceFrom?: PaceSample;
    /** Monotonic time of the last tokens, in milliseconds, and whether they came after a pause. */
    tokensAt?: number;
    isAfterPause?: boolean;
    /** Whether it was asked to stop for a higher tier. */
    isPreempted: boolean;
    /** Frees its slot in the queue. */
    readonly release: () => void;
}

/** Tokens per pace measurement. */
const PACE_SAMPLE_TOKENS = 8;
/**
 * A longer time without tokens, in milliseconds, is a pause of the upstream and says nothing about its pace, unless each token comes after
 * one.
 */
export const MAX_PACE_GAP_MS = 700;

/**
 * Records tokens received by a request.
 *
 * @param tokens - Tokens since the last call.
 * @param now - Monotonic time, in milliseconds.
 * @returns The mean time between tokens since the last pace measurement, in milliseconds; undefined until enough tokens
 * have come for a new one.
 */
export function recordTokens(running: RunningRequest, tokens: number, now: number): number | undefined {
    running.tokens += tokens;
    const isAfterPause = running.tokensAt !== undefined && now - running.tokensAt > MAX_PACE_GAP_MS;
    const isSinglePause = isAfterPause && !running.isAfterPause;
    running.tokensAt = now;
    running.isAfterPause = isAfterPause;
    const from = isSinglePause ? undefined : running.paceFrom;
    const newTokens = from ? running.tokens - from.tokens : 0;
    if (from && newTokens < PACE_SAMPLE_TOKENS) return undefined;
    running.paceFrom = { at: now, tokens: running.tokens };
    return from ? (now - from.at) / newTokens : undefined;
}

/** The running requests of a pool, indexed by request id and by tier. */
export class RunningSet {
    private readonly byRequest = new Map<RequestId, RunningRequest>();
    private readonly resumable: Set<RunningRequest>[] = [];
    private preemptedCount = 0;

    get size(): number {
        return this.byRequest.size;
    }

    /** Number of requests that were asked to stop for a higher tier and have not ended yet. */
    get pendingPreemptions(): number {
        return this.preemptedCount;
    }

    get(request: RequestId): RunningRequest | undefined {
        return this.byRequest.get(request);
    }

    values(): Iterable<RunningRequest> {
        return this.byRequest.values();
    }

    add(running: RunningRequest): void {
        this.byRequest.set(running.waiting.ticket.request, running);
        const { waiting: { ticket }, load: { upstream } } = running;
        // Nobody could tell which software must continue the answer.
        if (upstream.software === undefined) return;
        if (ticket.resumable) this.resumableOf(ticket.tier).add(running);
    }

    remove(running: RunningRequest): void {
        this.byRequest.delete(running.waiting.ticket.request);
        this.resumableOf(running.waiting.ticket.tier).delete(running);
        if (running.isPreempted) this.preemptedCount--;
    }

    /** Marks a request as asked to stop, so that its slot is not counted on again. */
    markPreempted(running: RunningRequest): void {
        running.isPreempted = true;
        this.preemptedCount++;
        this.resumableOf(running.waiting.ticket.tier).delete(running);
    }

    /**
     * Marks a request as asked to move off a straggler. It no longer counts as preemptible: the slot that it frees is
     * not on a usable upstream.
     */
    markMoving(running: RunningRequest): void {
        this.resumableOf(running.waiting.ticket.tier).delete(running);
    }

    /** Yields the requests that can move to another upstream, the highest tier first. */
    *listMovable(): Iterable<RunningRequest> {
        for (const set of this.resumable) yield* [...set];
    }

    /** Returns the number of requests below a tier that can be preempted. */
    countPreemptible(tier: number): number {
        return this.resumable.slice(tier + 1).reduce((sum, set) => sum + set.size, 0);
    }

    /** Returns the preemptible requests of the lowest tier below the given one that has any. */
    preemptibleOfLowestTier(tier: number): Iterable<RunningRequest> {
        for (let lower = this.resumable.length - 1; lower > tier; lower--) {
            if (this.resumable[lower].size > 0) return this.resumable[lower];
        }
        return [];
    }

    private resumableOf(tier: number): Set<RunningRequest> {
        while (this.resumable.length <= tier) this.resumable.push(new Set());
        return this.resumable[tier];
    }
}
