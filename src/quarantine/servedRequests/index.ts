import { RequestFingerprint } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";

/** Time for which an answer clears a request of suspicion, in milliseconds. */
const RETENTION_MS = 10_000;
const MAX_REMEMBERED_REQUESTS = 2_048;

/**
 * Requests that were answered recently.
 *
 * Prevents a popular request from being held responsible for crashes: it runs on most upstreams most of the time, so it
 * is present whenever several of them crash.
 *
 * @example
 * if (served.isRecent(fingerprint)) return;
 */
export class ServedRequests {
    /** Monotonic time of each request's latest answer, in milliseconds, the oldest first. */
    private readonly servedAt = new Map<RequestFingerprint, number>();

    constructor(private readonly clock: Pick<Clock, "monotonic">) {}

    record(fingerprint: RequestFingerprint): void {
        this.servedAt.delete(fingerprint);
        this.servedAt.set(fingerprint, this.clock.monotonic());
        if (this.servedAt.size > MAX_REMEMBERED_REQUESTS) this.servedAt.delete(this.servedAt.keys().next().value!);
    }

    isRecent(fingerprint: RequestFingerprint): boolean {
        const at = this.servedAt.get(fingerprint);
        return at !== undefined && this.clock.monotonic() - at < RETENTION_MS;
    }
}
