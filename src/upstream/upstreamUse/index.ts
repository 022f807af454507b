import { UpstreamId } from "../../ids/index.js";

/** What the requests that one owner of a queue has granted use of an upstream. */
export interface UpstreamUse {
    readonly upstream: UpstreamId;
    /** Number of requests that run or wait there. */
    readonly requests: number;
    /** Tokens that they keep in its memory. */
    readonly memoryTokens: number;
    /** Remaining duration of the prefill of their prompts, in milliseconds. */
    readonly backlogMs: number;
}
