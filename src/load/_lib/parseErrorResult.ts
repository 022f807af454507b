import * as z from "zod";
import { findHeader, HeaderList } from "../../ports/index.js";
import { OUTCOME_HEADER, REQUEST_HEADER } from "../../protocol/index.js";
import { AttemptResult } from "../requestResult/index.js";

const MS_PER_SECOND = 1_000;

/** JSON body of a refusal or an error. */
const errorBodySchema = z.looseObject({
    error: z.looseObject({
        type: z.string(),
        message: z.string(),
        outcome: z.enum(["answered", "not-run", "partly-run", "unknown"]),
        retry_after_ms: z.number().optional(),
        request: z.string().optional(),
    }),
});

/**
 * Parses an error with which the system ended an attempt.
 *
 * @param text - Response body, or the data of an event.
 * @param headers - Response headers.
 * @param tokenTimes - Arrival times of the tokens received before the error.
 * @returns The result of the attempt. When the text is no such error, it is "failed" if the response was passed through from
 * the upstream, else "lost".
 */
export function parseErrorResult(text: string, headers: HeaderList, tokenTimes: readonly number[] = []): AttemptResult {
    const parsed = errorBodySchema.safeParse(tryParseJson(text));
    if (!parsed.success) {
        const request = findHeader(headers, REQUEST_HEADER);
        const isFromUpstream = findHeader(headers, OUTCOME_HEADER) === "answered";
        return isFromUpstream
            ? { verdict: "failed", reason: "upstream-error", reportedOutcome: "answered", request, tokenTimes }
            : { verdict: "lost", reason: "malformed-error", request, tokenTimes };
    }
    const { type, outcome, retry_after_ms, request } = parsed.data.error;
    return {
        verdict: outcome === "not-run" ? "refused" : "failed",
        reason: type,
        reportedOutcome: outcome,
        retryAfterMs: retry_after_ms ?? readRetryAfterMs(headers),
        request: request ?? findHeader(headers, REQUEST_HEADER),
        tokenTimes,
    };
}

/** Parses JSON; returns undefined when the text is invalid. */
export function tryParseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

function readRetryAfterMs(headers: HeaderList): number | undefined {
    const seconds = Number(findHeader(headers, "retry-after"));
    return Number.isFinite(seconds) ? seconds * MS_PER_SECOND : undefined;
}
