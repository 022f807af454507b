import { RequestId } from "../../ids/index.js";
import { UpstreamLoad } from "../../upstream/index.js";
import { WaitingTicket } from "../waiting/index.js";

/** A moment in a running answer. */
export interface PaceMark {
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
    /** Tokens it has got so far. */
    tokens: number;
    /** From where its pace is measured next. */
    paceFrom?: PaceMark;
    /** It was asked to give its place to a higher tier. */
    isPreempted: boolean;
    /** Frees the slot in the queue. */
    readonly release: () => void;
}

/** Tokens between two looks at a running request's pace. */
const PACE_TOKENS = 8;

/**
 * Counts tokens that a request has got.
 *
 * @param now - Monotonic time, in milliseconds.
 * @returns The mean time between tokens since the last look, in milliseconds, when enough have come for another look.
 */
export function countTokens(running: RunningRequest, tokens: number, now: number): number | undefined {
    running.tokens += tokens;
    const from = running.paceFrom;
    const seen = from ? running.tokens - from.tokens : 0;
    if (from && seen < PACE_TOKENS) return undefined;
    running.paceFrom = { at: now, tokens: running.tokens };
    return from ? (now - from.at) / seen : undefined;
}

/** The running requests of a pool, by tier. */
export class RunningSet {
    private readonly byRequest = new Map<RequestId, RunningRequest>();
    private readonly resumable: Set<RunningRequest>[] = [];
    private preemptions = 0;

    get size(): number {
        return this.byRequest.size;
    }

    /** How many were asked to give their place and have not done so yet. */
    get pendingPreemptions(): number {
        return this.preemptions;
    }

    get(request: RequestId): RunningRequest | undefined {
        return this.byRequest.get(request);
    }

    values(): Iterable<RunningRequest> {
        return this.byRequest.values();
    }

    add(running: RunningRequest): void {
        this.byRequest.set(running.waiting.ticket.request, running);
        if (running.waiting.ticket.resumable) this.resumableOf(running.waiting.ticket.tier).add(running);
    }

    remove(running: RunningRequest): void {
        this.byRequest.delete(running.waiting.ticket.request);
        this.resumableOf(running.waiting.ticket.tier).delete(running);
        if (running.isPreempted) this.preemptions--;
    }

    /** Marks one as asked to give its place, so that it is not counted on twice. */
    markPreempted(running: RunningRequest): void {
        running.isPreempted = true;
        this.preemptions++;
        this.resumableOf(running.waiting.ticket.tier).delete(running);
    }

    /** Marks one as asked to go on elsewhere: its place comes free, but not on an upstream that counts. */
    markMoving(running: RunningRequest): void {
        this.resumableOf(running.waiting.ticket.tier).delete(running);
    }

    /** Those that could go on elsewhere, the highest tier first. */
    *movable(): Iterable<RunningRequest> {
        for (const set of this.resumable) yield* [...set];
    }

    /** How many below a tier could give their place. */
    countPreemptible(tier: number): number {
        return this.resumable.slice(tier + 1).reduce((sum, set) => sum + set.size, 0);
    }

    /** Those of the lowest tier that has any below the given one. */
    lowestPreemptible(tier: number): Iterable<RunningRequest> {
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
