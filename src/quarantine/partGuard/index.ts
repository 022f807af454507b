import { PartId, RequestFingerprint } from "../../ids/index.js";
import { UpstreamTarget } from "../../upstream/index.js";

/** A request with the parts of its prompt that other prompts may share. */
export interface PartsRequest {
    readonly fingerprint: RequestFingerprint;
    /** All parts but the last, in their order; empty if the request has no prompt, or its parts are unknown. */
    readonly sharedParts: readonly PartId[];
}

/** A quarantine that keeps a request from being sent. */
export interface PartQuarantine {
    readonly part: PartId;
    /** Time after which the caller should retry, in milliseconds. */
    readonly leftMs: number;
}

/**
 * Keeps prompts with parts that crash upstreams away from further ones. It is notified of answers that begin and of connections that end
 * before that, and queried before each send.
 */
export abstract class PartGuard {
    /** Returns the quarantine of a part of the request; undefined if it may run. */
    abstract findQuarantine(request: PartsRequest): PartQuarantine | undefined;

    /** Called when an answer to a request has begun. */
    abstract recordBegun(request: PartsRequest): void;

    /**
     * Called when an upstream ended the connection before its answer to a request began, whether it crashed or not.
     *
     * @param target - The upstream that the request was sent to.
     */
    abstract recordUnanswered(request: PartsRequest, target: UpstreamTarget): void;
}
