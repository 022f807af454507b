import * as z from "zod";

/** `POST /v1/kv/export`: names a request whose KV cache is wanted. 404 when the engine has none of it. */
export const kvExportSchema = z.object({ request_id: z.string() });

/**
 * What an export gives and `POST /v1/kv/import` takes: with it, another engine resumes the request without computing
 * its first `tokens` tokens, prompt included, again.
 */
export const kvStateSchema = z.object({
    request_id: z.string(),
    prefixes: z.array(z.string()),
    tokens: z.int().min(0),
});
export type KvState = z.infer<typeof kvStateSchema>;
