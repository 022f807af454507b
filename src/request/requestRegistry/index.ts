import { KeyHash, RequestId } from "../../ids/index.js";
import { CancelReason, RequestHistory, RequestIdentity, RunningRequest } from "../runningRequest/index.js";

/** Whose request it is, and what happened to it. */
export interface KnownRequest {
    readonly identity: RequestIdentity;
    readonly history: RequestHistory;
}

/** How many finished requests an entry remembers for `sequoiamux explain`. */
const FINISHED_KEPT = 2_000;

/** The requests of one entry: those that run, and the last that ended. */
export class RequestRegistry {
    private readonly running = new Map<RequestId, RunningRequest>();
    private readonly finished = new Map<RequestId, KnownRequest>();
    private whenIdle: (() => void)[] = [];

    get size(): number {
        return this.running.size;
    }

    add(request: RunningRequest): void {
        this.running.set(request.identity.id, request);
    }

    /** Takes a request out once its final answer has gone. */
    finish(request: RunningRequest): void {
        const { id } = request.identity;
        this.running.delete(id);
        this.finished.set(id, { identity: request.identity, history: request.history });
        if (this.finished.size > FINISHED_KEPT) this.finished.delete(this.finished.keys().next().value!);
        if (this.running.size > 0) return;
        for (const wake of this.whenIdle.splice(0)) wake();
    }

    /** Stops one request, or its present attempt. */
    cancel(id: RequestId, reason: CancelReason): void {
        this.running.get(id)?.cancel(reason);
    }

    /**
     * Stops the requests whose key is no longer in force: a withdrawal reaches connections that are open. Routed calls are not
     * among them: they have no hash here, and are checked again each time they are sent.
     *
     * @param inForce - Says whether a key is.
     */
    cancelWithdrawn(inForce: (hash: KeyHash) => boolean): void {
        for (const request of this.running.values()) {
            const { keyHash } = request.identity;
            if (keyHash !== undefined && !inForce(keyHash)) request.cancel("key-withdrawn");
        }
    }

    /** What is known of a request: its steps so far, or to its end. */
    find(id: RequestId): KnownRequest | undefined {
        return this.running.get(id) ?? this.finished.get(id);
    }

    /** Settles once no request runs. */
    idle(): Promise<void> {
        if (this.running.size === 0) return Promise.resolve();
        return new Promise(resolve => this.whenIdle.push(resolve));
    }
}
