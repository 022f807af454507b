import { RequestFingerprint } from "../../ids/index.js";
import { UpstreamTarget } from "../../upstream/index.js";

/**
 * Keeps requests that crash upstreams away from further ones. It is notified of the outcome of requests, and queried
 * before each send.
 */
export abstract class CrashGuard {
    /**
     * Returns the remaining quarantine of a request.
     *
     * @returns Milliseconds; undefined if it may run.
     */
    abstract quarantineLeftMs(fingerprint: RequestFingerprint): number | undefined;

    /** Called when an upstream has run a request to its end. */
    abstract recordServed(fingerprint: RequestFingerprint): void;

    /**
     * Called when an upstream ended the connection while it was running a request, whether it crashed or not.
     *
     * @param target - The upstream that the request was sent to.
     */
    abstract recordConnectionEnd(fingerprint: RequestFingerprint, target: UpstreamTarget): void;
}
