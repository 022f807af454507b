import { Outcome } from "../../protocol/index.js";
import { CancelReason } from "../../request/index.js";
import { CallerError } from "../callerError/index.js";
import { EngineStreamError } from "../engineStream/index.js";

const RETRY_AFTER_FAILURE_MS = 1_000;

/** Creates the error of a request that was cancelled: key withdrawn, host stopping, or caller disconnected. */
export function makeCancelError(reason: CancelReason, outcome: Outcome): CallerError {
    if (reason === "key-withdrawn") {
        return new CallerError(401, reason, "the key was withdrawn while the request was under way", outcome);
    }
    const message = reason === "stopping" ? "this host stopped before the answer was whole" : "the caller has gone";
    return new CallerError(503, reason, message, outcome, RETRY_AFTER_FAILURE_MS);
}

/** Creates the error of a chat that the engine rejects as invalid. */
export function makeRejectionError(err: EngineStreamError): CallerError {
    const message = `the engine does not take this request (${err.message})`;
    return new CallerError(400, "upstream-rejected", message, "partly-run");
}

/** Creates the error of a request whose last permitted attempt failed. */
export function makeUpstreamError(attempts: number, outcome: Outcome): CallerError {
    return new CallerError(502, "upstream-failed", `${attempts} upstreams failed`, outcome, RETRY_AFTER_FAILURE_MS);
}

/** Creates the error of a request whose content is quarantined because it crashes upstreams. */
export function makeQuarantineError(leftMs: number, outcome: Outcome): CallerError {
    const message = "requests with this content crash upstreams, and are quarantined for a while";
    return new CallerError(503, "quarantined", message, outcome, leftMs);
}
