import * as z from "zod";

/** Body of `POST /v1/kv/export`: the request whose KV state to export. The engine answers 404 if it has none. */
export const kvExportSchema = z.object({ request_id: z.string() });

/**
 * Answer to an export and body of `POST /v1/kv/import`. With it, another engine resumes the request without recomputing
 * its first `tokens` tokens, prompt included.
 */
export const kvStateSchema = z.object({
    request_id: z.string(),
    prefixes: z.array(z.string()),
    tokens: z.int().min(0),
});
export type KvState = z.infer<typeof kvStateSchema>;
