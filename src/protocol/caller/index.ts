/**
 * What callers send and get: OpenAI-style chat completions, and calls of plain services below `/v1/services/<name>/`.
 * docs/CALLERS.md describes them for callers.
 */
import * as z from "zod";
import { chatMessageSchema } from "../engine/index.js";

/** Where an entry takes requests. */
export const CALLER_PATHS = {
    chat: "/v1/chat/completions",
    services: "/v1/services/",
    health: "/healthz",
    ready: "/readyz",
} as const;

/** Names the service class of a request; without it the workspace's default class serves. */
export const CLASS_HEADER = "x-sequoiamux-class";
/** Makes a non-idempotent call safe to send again: the same key and body never run twice. */
export const IDEMPOTENCY_HEADER = "idempotency-key";
/** The request's id, on every answer; `sequoiamux explain` takes it. */
export const REQUEST_HEADER = "x-sequoiamux-request";
/** The request's outcome, on every answer whose outcome is known when its head is sent. */
export const OUTCOME_HEADER = "x-sequoiamux-outcome";

/**
 * What became of a request.
 * - `answered`: the answer is whole.
 * - `not-run`: no upstream has or will run it.
 * - `partly-run`: an upstream ran some of it.
 * - `unknown`: an upstream may have run it.
 */
export type Outcome = "answered" | "not-run" | "partly-run" | "unknown";

/** A caller's chat request. Further fields are passed on to the engine. */
export const chatRequestSchema = z.looseObject({
    model: z.string().min(1).max(128),
    messages: z.array(chatMessageSchema).min(1),
    max_tokens: z.int().min(1).max(1_000_000).optional(),
    stream: z.boolean().optional(),
});
export type ChatRequest = z.infer<typeof chatRequestSchema>;

/** The body of a refusal or an error, and of the last event of a stream that could not be finished. */
export interface ErrorBody {
    readonly error: {
        /** A word for programs, for example `over-capacity` or `key-withdrawn`. */
        readonly type: string;
        readonly message: string;
        readonly outcome: Outcome;
        /** When to come back, in milliseconds, where that can help. */
        readonly retry_after_ms?: number;
        readonly request?: string;
    };
}
