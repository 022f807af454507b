import { Grant } from "../../dispatch/index.js";
import { ClassName, HostId, KeyHash, PoolId, RequestId, UpstreamId, WorkspaceId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";

/** One entry of a request's history. */
export interface RequestStep {
    /** Time since the request's arrival, in milliseconds. */
    readonly atMs: number;
    readonly event: string;
    readonly detail: string;
}

/** Reason for which a running request was stopped from outside. */
export type CancelReason = "caller-gone" | "key-withdrawn" | "preempted" | "stalled" | "stopping" | "timeout";

/** What a running request waits for: an upstream, the beginning of its answer, more of it, or the record of its usage. */
export type WaitState = "grant" | "answer" | "more" | "durability";

/** Identity of a request: its id, its origin and its target. */
export interface RequestIdentity {
    readonly id: RequestId;
    readonly workspace: WorkspaceId;
    /** Undefined for routed calls, whose keys are part of the fleet document. */
    readonly keyHash: KeyHash | undefined;
    readonly className: ClassName;
    readonly tier: number;
    readonly pool: PoolId;
}

/** History of a request, shown by `sequoiamux explain`. */
export interface RequestHistory {
    readonly steps: RequestStep[];
    /** Wall-clock time of its arrival, in milliseconds since the epoch. */
    readonly arrivedAt: number;
    waitedMs: number;
    firstTokenMs?: number;
    totalMs?: number;
    outcome?: string;
    upstream?: UpstreamId;
    /** The host that chose the upstream. */
    decidedBy?: HostId;
    /** The priority sent to the upstream; 0 is the most urgent. */
    priority?: number;
    /** Reason for the choice of the upstream, or for a refusal. */
    reason: string;
}

/**
 * A request from its admission to its final answer, with the signal that stops it.
 *
 * A preemption or a stall stops only the current attempt; the other reasons stop the request.
 */
export class RunningRequest {
    readonly history: RequestHistory;
    private readonly arrivedMonotonicAt: number;
    private attemptController = new AbortController();
    private latestCancelReason: CancelReason | undefined;
    private isFinal = false;
    private waitState: WaitState = "grant";
    private waitingSince: number;
    /** Whether a non-repeatable call was sent: from then on it runs until its outcome is recorded. */
    mustFinish = false;
    /** Whether the caller has got the head of the answer, or all of the answer is there. */
    hasAnswerBegun = false;

    constructor(readonly identity: RequestIdentity, private readonly clock: Clock) {
        this.arrivedMonotonicAt = clock.monotonic();
        this.waitingSince = this.arrivedMonotonicAt;
        this.history = { steps: [], arrivedAt: clock.now(), waitedMs: 0, reason: "" };
    }

    /** Aborted when the current attempt must stop. */
    get signal(): AbortSignal {
        return this.attemptController.signal;
    }

    /** Reason for which the request or its current attempt was stopped; undefined if it was not. */
    get cancelReason(): CancelReason | undefined {
        return this.latestCancelReason;
    }

    /** Whether no further attempt may be made. */
    get isCancelled(): boolean {
        return this.isFinal;
    }

    /** What the request waits for. */
    get waitsFor(): WaitState {
        return this.waitState;
    }

    /** Returns the time for which it has waited for that, in milliseconds. */
    waitingMs(): number {
        return this.clock.monotonic() - this.waitingSince;
    }

    /** Records what the request waits for from now on. */
    waitFor(state: WaitState): void {
        this.waitState = state;
        this.waitingSince = this.clock.monotonic();
    }

    /** Returns the time since the request's arrival, in milliseconds. */
    ageMs(): number {
        return this.clock.monotonic() - this.arrivedMonotonicAt;
    }

    /** Appends an event to the history. */
    recordStep(event: string, detail = ""): void {
        this.history.steps.push({ atMs: Math.round(this.ageMs()), event, detail });
    }

    /** Records that an upstream was chosen. */
    recordGrant({ upstream, waitedMs, reason, decidedBy, priority }: Grant): void {
        if (this.history.upstream === undefined) this.history.waitedMs = waitedMs;
        this.history.upstream = upstream;
        this.history.reason = reason;
        this.history.decidedBy = decidedBy;
        this.history.priority = priority;
        this.waitFor("answer");
        this.recordStep("granted", `${upstream} after ${Math.round(waitedMs)} ms: ${reason}`);
    }

    /** Records the reason for which the request gets no upstream. */
    recordRefusal(reason: string, detail: string): void {
        this.history.reason = `${reason}: ${detail}`;
        this.recordStep("refused", this.history.reason);
    }

    /** Records the final outcome. */
    recordEnd(outcome: string): void {
        this.history.outcome = outcome;
        this.history.totalMs = this.ageMs();
        this.recordStep("ended", outcome);
    }

    /** Stops the request, or only its current attempt if the reason is "preempted" or "stalled". */
    cancel(reason: CancelReason): void {
        if (this.isFinal || (this.mustFinish && reason !== "stalled")) return;
        this.latestCancelReason = reason;
        this.isFinal = reason !== "preempted" && reason !== "stalled";
        this.recordStep("stopped", reason);
        this.attemptController.abort();
    }

    /** Starts a new attempt with its own signal, unless the request was stopped. */
    beginAttempt(): void {
        if (this.isFinal) return;
        this.waitFor("grant");
        this.latestCancelReason = undefined;
        this.attemptController = new AbortController();
    }
}
