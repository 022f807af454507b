/**
 * Interface of model engines: `POST /v1/chat/completions` in the usual OpenAI-style format with some further fields, answered
 * by server-sent events; `POST /v1/cancel`, `/v1/kv/export`, `/v1/kv/import` and `/v1/orders`.
 */
import * as z from "zod";

/** Paths that an engine serves. */
export const ENGINE_PATHS = {
    chat: "/v1/chat/completions",
    cancel: "/v1/cancel",
    kvExport: "/v1/kv/export",
    kvImport: "/v1/kv/import",
    orders: "/v1/orders",
} as const;

/** Data of the last event of a complete stream. A stream that ends without it was cut off. */
export const STREAM_DONE = "[DONE]";

/** One message of a chat. */
export const chatMessageSchema = z.looseObject({ role: z.string(), content: z.string() });

/** Chat request to an engine. `priority`: 0 is the most urgent. */
export const engineRequestSchema = z.looseObject({
    model: z.string(),
    messages: z.array(chatMessageSchema).min(1),
    max_tokens: z.int().min(1),
    stream: z.literal(true),
    request_id: z.string(),
    priority: z.int().min(0),
    /** Continues an answer at token number `offset`, counted from 0. */
    resume: z.object({ offset: z.int().min(0) }).optional(),
});
export type EngineRequest = z.infer<typeof engineRequestSchema>;

/** Token usage of an answer. `cached_tokens`: prompt tokens that came from the engine's prefix cache. */
export const engineUsageSchema = z.object({
    prompt_tokens: z.int().min(0),
    completion_tokens: z.int().min(0),
    cached_tokens: z.int().min(0),
});
export type EngineUsage = z.infer<typeof engineUsageSchema>;

/** Why an answer ended. */
export const engineFinishSchema = z.enum(["stop", "length", "cancelled"]);

/**
 * One event of an answer. `id` is the request's `request_id`, `offset` the number of the event's first token, and `tokens` the
 * number of its tokens. The last event before `[DONE]` has `finish_reason` and `usage`.
 */
export const engineChunkSchema = z.looseObject({
    id: z.string(),
    object: z.literal("chat.completion.chunk"),
    model: z.string(),
    offset: z.int().min(0),
    tokens: z.int().min(0),
    choices: z.array(z.looseObject({
        index: z.int(),
        delta: z.looseObject({ content: z.string().optional() }),
        finish_reason: engineFinishSchema.optional(),
    })).length(1),
    usage: engineUsageSchema.optional(),
});
export type EngineChunk = z.infer<typeof engineChunkSchema>;

/** Cancels a request: `POST /v1/cancel`, answered with 204 even if the request is not running. */
export const engineCancelSchema = z.object({ request_id: z.string() });

/**
 * An order to an engine: load a model or an adapter, change its role, or drain. An engine that checks fencing tokens and has
 * seen a higher one answers 409 `{"error":"stale"}`.
 */
export const engineOrderSchema = z.object({
    order_id: z.string(),
    fencing_token: z.int(),
    action: z.enum(["load_model", "load_adapter", "set_role", "drain"]),
    target: z.string(),
});
export type EngineOrder = z.infer<typeof engineOrderSchema>;

/** Header with the request's id, on requests to plain services and on their responses. */
export const REQUEST_ID_HEADER = "x-request-id";
/**
 * Response header by which an overloaded upstream limits its load: the requests per second that it accepts from all hosts
 * together. The limit applies for as long as responses carry the header.
 */
export const REQUEST_LIMIT_HEADER = "x-sequoiamux-request-limit";
/** Response header, with the value 1, of an upstream that is about to end. */
export const LEAVING_HEADER = "x-sequoiamux-leaving";
/** Header in which an upstream states how many requests it can turn away within a second; one more, and it ends. */
export const REJECTION_LIMIT_HEADER = "x-sequoiamux-rejection-limit";
