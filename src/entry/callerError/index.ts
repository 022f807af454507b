import { promisesNotRun } from "../../execution/index.js";
import { RequestId } from "../../ids/index.js";
import { HttpResponse } from "../../ports/index.js";
import { ErrorBody, Outcome, OUTCOME_HEADER, REQUEST_HEADER } from "../../protocol/index.js";

const MS_PER_SECOND = 1_000;

/** Replaces a status that promises that a request has not run, where it may have. */
const BAD_GATEWAY = 502;

/** An error response to a caller. */
export class CallerError extends Error {
    /** The HTTP status. */
    readonly status: number;

    /**
     * @param status - The HTTP status of a request that has not run. One that may have run gets no status that promises otherwise.
     * @param type - Machine-readable error type.
     * @param message - Human-readable description.
     * @param outcome - Whether the request ran; callers rely on it when they decide whether to resend.
     * @param retryAfterMs - Time after which a retry may succeed, in milliseconds; undefined where a retry does not help.
     */
    constructor(
        status: number,
        readonly type: string,
        message: string,
        readonly outcome: Outcome = "not-run",
        readonly retryAfterMs?: number,
    ) {
        super(message);
        this.status = outcome !== "not-run" && promisesNotRun(status) ? BAD_GATEWAY : status;
    }
}

/** Converts an error to the JSON body that callers receive. */
export function toErrorBody(err: CallerError, request: RequestId): ErrorBody {
    return {
        error: {
            type: err.type,
            message: err.message,
            outcome: err.outcome,
            retry_after_ms: err.retryAfterMs,
            request,
        },
    };
}

/**
 * Sends an error as the whole response.
 *
 * @param res - A response on which nothing has been sent yet.
 */
export function sendCallerError(res: HttpResponse, err: CallerError, request: RequestId): void {
    const headers: [string, string][] = [
        ["content-type", "application/json"],
        [REQUEST_HEADER, request],
        [OUTCOME_HEADER, err.outcome],
    ];
    if (err.retryAfterMs !== undefined) {
        headers.push(["retry-after", String(Math.max(1, Math.ceil(err.retryAfterMs / MS_PER_SECOND)))]);
    }
    const body = Buffer.from(JSON.stringify(toErrorBody(err, request)));
    headers.push(["content-length", String(body.length)]);
    res.head(err.status, headers);
    res.end(body);
}
