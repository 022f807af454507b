/**
 * Interface for callers: OpenAI-style chat completions, and calls of plain services below `/v1/services/<name>/`. It is
 * documented for callers in docs/CALLERS.md.
 */
import * as z from "zod";
import { chatMessageSchema } from "../engine/index.js";

/** Paths that an entry serves; `services` is a prefix. */
export const CALLER_PATHS = {
    chat: "/v1/chat/completions",
    services: "/v1/services/",
    health: "/healthz",
    ready: "/readyz",
} as const;

/** Request header with the service class; without it, the workspace's default class applies. */
export const CLASS_HEADER = "x-sequoiamux-class";
/** Request header that makes a non-idempotent call safe to retry: calls with the same key and body run at most once. */
export const IDEMPOTENCY_HEADER = "idempotency-key";
/** Header with the request's id, on every response; `sequoiamux explain` accepts this id. */
export const REQUEST_HEADER = "x-sequoiamux-request";
/** Header with the request's outcome, on every response whose outcome is known when its headers are sent. */
export const OUTCOME_HEADER = "x-sequoiamux-outcome";

/**
 * Outcome of a request.
 * - `answered`: the response is complete.
 * - `not-run`: no upstream has run it or will run it.
 * - `partly-run`: an upstream ran a part of it.
 * - `unknown`: an upstream may have run it.
 */
export type Outcome = "answered" | "not-run" | "partly-run" | "unknown";

/** Chat request from a caller. Unknown fields are passed on to the engine. */
export const chatRequestSchema = z.looseObject({
    model: z.string().min(1).max(128),
    messages: z.array(chatMessageSchema).min(1),
    max_tokens: z.int().min(1).max(1_000_000).optional(),
    stream: z.boolean().optional(),
});
export type ChatRequest = z.infer<typeof chatRequestSchema>;

/** Body of an error response, and of the last event of a stream that failed. */
export interface ErrorBody {
    readonly error: {
        /** Machine-readable error code, for example `over-capacity` or `key-withdrawn`. */
        readonly type: string;
        /** Explanation for people. */
        readonly message: string;
        readonly outcome: Outcome;
        /** Delay before a retry, in milliseconds, where a retry can help. */
        readonly retry_after_ms?: number;
        /** The request's id. */
        readonly request?: string;
    };
}
