import { RequestId } from "../../ids/index.js";
import { HttpResponse } from "../../ports/index.js";
import { ErrorBody, Outcome, OUTCOME_HEADER, REQUEST_HEADER } from "../../protocol/index.js";

const MS_PER_SECOND = 1_000;

/** A request that gets an error for an answer: the entry layer's own error. */
export class CallerError extends Error {
    /**
     * @param status - The HTTP status.
     * @param type - A word for programs.
     * @param message - For people.
     * @param outcome - What became of the request; must be true.
     * @param retryAfterMs - When to come back, where that can help.
     */
    constructor(
        readonly status: number,
        readonly type: string,
        message: string,
        readonly outcome: Outcome = "not-run",
        readonly retryAfterMs?: number,
    ) {
        super(message);
    }
}

/** Gives the error as callers get it. */
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
 * Answers a request with an error, at once.
 *
 * @param res - Nothing may have been sent on it.
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
