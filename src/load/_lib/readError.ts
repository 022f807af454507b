import * as z from "zod";
import { findHeader, HeaderList } from "../../ports/index.js";
import { OUTCOME_HEADER, REQUEST_HEADER } from "../../protocol/index.js";
import { Attempt } from "../outcome/index.js";

const MS_PER_SECOND = 1_000;

/** The body of a refusal or an error. */
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
 * Reads an error that the system gave as its last word.
 *
 * @param text - The body, or an event's data.
 * @param headers - The answer's headers.
 * @returns What the attempt came to; "lost" when the text is no such error, unless the answer is the upstream's own.
 */
export function readError(text: string, headers: HeaderList, tokenTimes: readonly number[] = []): Attempt {
    const parsed = errorBodySchema.safeParse(parseOrUndefined(text));
    if (!parsed.success) {
        const request = findHeader(headers, REQUEST_HEADER);
        const isUpstreamsOwn = findHeader(headers, OUTCOME_HEADER) === "answered";
        return isUpstreamsOwn
            ? { verdict: "failed", reason: "upstream-error", stated: "answered", request, tokenTimes }
            : { verdict: "lost", reason: "malformed-error", request, tokenTimes };
    }
    const { type, outcome, retry_after_ms, request } = parsed.data.error;
    return {
        verdict: outcome === "not-run" ? "refused" : "failed",
        reason: type,
        stated: outcome,
        retryAfterMs: retry_after_ms ?? readRetryAfter(headers),
        request: request ?? findHeader(headers, REQUEST_HEADER),
        tokenTimes,
    };
}

/** Parses JSON; undefined when the text is none. */
export function parseOrUndefined(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

function readRetryAfter(headers: HeaderList): number | undefined {
    const seconds = Number(findHeader(headers, "retry-after"));
    return Number.isFinite(seconds) ? seconds * MS_PER_SECOND : undefined;
}
