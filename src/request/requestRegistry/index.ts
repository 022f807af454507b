import { KeyHash, RequestId } from "../../ids/index.js";
import { CancelReason, RequestHistory, RequestIdentity, RunningRequest } from "../runningRequest/index.js";

/** The identity of a request and its history. */
export interface KnownRequest {
    readonly identity: RequestIdentity;
    readonly history: RequestHistory;
}

/** Maximum number of finished requests that an entry keeps for `sequoiamux explain`. */
const MAX_FINISHED_REQUESTS = 2_000;

/** The requests of one entry: all running ones and the latest finished ones. */
export class RequestRegistry {
    private readonly running = new Map<RequestId, RunningRequest>();
    private readonly finished = new Map<RequestId, KnownRequest>();
    private idleWaiters: (() => void)[] = [];

    get size(): number {
        return this.running.size;
    }

    /** Returns the running requests, in the order of their arrival. */
    list(): RunningRequest[] {
        return [...this.running.values()];
    }

    add(request: RunningRequest): void {
        this.running.set(request.identity.id, request);
    }

    /** Moves a request to the finished ones once its final answer has been sent. */
    finish(request: RunningRequest): void {
        const { id } = request.identity;
        this.running.delete(id);
        this.finished.set(id, { identity: request.identity, history: request.history });
        if (this.finished.size > MAX_FINISHED_REQUESTS) this.finished.delete(this.finished.keys().next().value!);
        if (this.running.size > 0) return;
        for (const resolve of this.idleWaiters.splice(0)) resolve();
    }

    /** Stops a request, or its current attempt. */
    cancel(id: RequestId, reason: CancelReason): void {
        this.running.get(id)?.cancel(reason);
    }

    /** Stops the requests whose answers have not begun, because the process is about to exit. */
    cancelUnanswered(): void {
        for (const request of this.running.values()) {
            if (!request.hasAnswerBegun) request.cancel("stopping");
        }
    }

    /**
     * Stops the requests whose key is no longer in force, so that a withdrawal also takes effect on open connections.
     * Routed calls are not affected: they have no key hash here, and their key is checked each time they are sent.
     *
     * @param inForce - Returns whether a key is in force.
     */
    cancelWithdrawn(inForce: (hash: KeyHash) => boolean): void {
        for (const request of this.running.values()) {
            const { keyHash } = request.identity;
            if (keyHash !== undefined && !inForce(keyHash)) request.cancel("key-withdrawn");
        }
    }

    /** Returns the identity of a request and its history so far. */
    find(id: RequestId): KnownRequest | undefined {
        return this.running.get(id) ?? this.finished.get(id);
    }

    /** Resolves once no request is running. */
    whenIdle(): Promise<void> {
        if (this.running.size === 0) return Promise.resolve();
        return new Promise(resolve => this.idleWaiters.push(resolve));
    }
}
