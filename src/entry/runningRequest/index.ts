import { ClassName, KeyHash, PoolId, RequestId, WorkspaceId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";

/** Why a running request was stopped from outside. */
export type CancelReason = "caller-gone" | "key-withdrawn" | "preempted" | "stalled" | "stopping";

/** One thing that happened to a request, for `sequoiamux explain`. */
export interface RequestStep {
    /** Milliseconds after the request's arrival. */
    readonly atMs: number;
    readonly text: string;
}

/** Whose request it is and what it asks for. */
export interface RequestIdentity {
    readonly id: RequestId;
    readonly workspace: WorkspaceId;
    readonly keyHash: KeyHash;
    readonly className: ClassName;
    readonly pool: PoolId;
}

/**
 * A request from its admission to its final answer. Owns the signal that stops it.
 *
 * A preemption or a stall stops only the present attempt; the other reasons stop the request.
 */
export class RunningRequest {
    readonly steps: RequestStep[] = [];
    readonly arrivedAt: number;
    private attempt = new AbortController();
    private reason: CancelReason | undefined;
    private final = false;
    /** True once a non-repeatable call has left: from then on it runs to its recorded end. */
    mustFinish = false;

    constructor(readonly identity: RequestIdentity, private readonly clock: Clock) {
        this.arrivedAt = clock.monotonic();
    }

    /** Aborted when the present attempt must stop. */
    get signal(): AbortSignal {
        return this.attempt.signal;
    }

    /** Why the request, or its present attempt, was stopped. */
    get cancelReason(): CancelReason | undefined {
        return this.reason;
    }

    /** True when no further attempt may be made. */
    get isCancelled(): boolean {
        return this.final;
    }

    /** Milliseconds since the request arrived. */
    ageMs(): number {
        return this.clock.monotonic() - this.arrivedAt;
    }

    /** Notes what happened. */
    note(text: string): void {
        this.steps.push({ atMs: Math.round(this.ageMs()), text });
    }

    /** Stops the request, or with "preempted" and "stalled" its present attempt. */
    cancel(reason: CancelReason): void {
        if (this.final || (this.mustFinish && reason !== "stalled")) return;
        this.reason = reason;
        this.final = reason !== "preempted" && reason !== "stalled";
        this.note(`stopped: ${reason}`);
        this.attempt.abort();
    }

    /** Begins an attempt: a signal of its own, unless the request is stopped. */
    beginAttempt(): void {
        if (this.final) return;
        this.reason = undefined;
        this.attempt = new AbortController();
    }
}
