/**
 * What the platform offers over HTTP: orders for upstreams by availability zone, usage reports, and a weight store with a
 * rate limit.
 */
import * as z from "zod";

/** Where the platform takes what. */
export const PLATFORM_PATHS = {
    offers: "/platform/offers",
    orders: "/platform/orders",
    usageReports: "/platform/usage-reports",
    weights: "/weights/",
} as const;

/** What can be had in a zone: `GET /platform/offers` gives a list of these. */
export const offerSchema = z.object({
    zone: z.string(),
    pool: z.string(),
    reclaimable: z.boolean(),
    available: z.int().min(0),
    price_per_hour: z.number().min(0),
    start_ms: z.number().min(0),
    billed_minimum_ms: z.number().min(0),
});
export type Offer = z.infer<typeof offerSchema>;

/** `POST /platform/orders`. Start: `count` upstreams of the pool in the zone. Stop: the one named `upstream`. */
export const platformOrderSchema = z.object({
    order_id: z.string(),
    fencing_token: z.int(),
    action: z.enum(["start", "stop"]),
    zone: z.string(),
    pool: z.string(),
    reclaimable: z.boolean(),
    count: z.int().min(1).optional(),
    upstream: z.string().optional(),
});
export type PlatformOrder = z.infer<typeof platformOrderSchema>;

/** The platform's answer: 200 with the upstreams concerned; an order id seen before gets its first answer again.
 * 409 `{"error":"stale"}` for an old fencing token, where it is checked; 409 `{"error":"unavailable"}` for more than can be
 * had; 429 with `retry-after` when busy. */
export const platformOrderReplySchema = z.object({ order_id: z.string(), upstreams: z.array(z.string()) });
export type PlatformOrderReply = z.infer<typeof platformOrderReplySchema>;

/** Why the platform refuses: the body of its 4xx answers. */
export const platformErrorSchema = z.object({ error: z.string() });
/** A start of more upstreams than can be had: sent again it may be refused again. */
export const PLATFORM_UNAVAILABLE = "unavailable";

/** What one workspace used in one window, of one pool and class. */
export const usageLineSchema = z.object({
    workspace: z.string(),
    pool: z.string(),
    class: z.string(),
    requests: z.int().min(0),
    prompt_tokens: z.int().min(0),
    completion_tokens: z.int().min(0),
});
export type UsageLine = z.infer<typeof usageLineSchema>;

/**
 * `POST /platform/usage-reports`: the figures of one window, the same on each resend. Usage that came after its own
 * window had closed is counted in the lines of the window that was open then.
 */
export const usageReportSchema = z.object({
    report_id: z.string(),
    fencing_token: z.int(),
    window_start: z.int(),
    window_ms: z.int().min(1),
    lines: z.array(usageLineSchema),
});
export type UsageReport = z.infer<typeof usageReportSchema>;
