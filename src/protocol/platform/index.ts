/**
 * HTTP interface of the platform: orders for upstreams by availability zone, usage reports, and a rate-limited weight store.
 */
import * as z from "zod";
import { amountSchema, durationSchema, requestCountSchema } from "../bounds/index.js";

/** Paths that the platform serves; `weights` is a prefix. */
export const PLATFORM_PATHS = {
    offers: "/platform/offers",
    orders: "/platform/orders",
    usageReports: "/platform/usage-reports",
    weights: "/weights/",
} as const;

/** Upstreams of a pool that can be started in a zone; `GET /platform/offers` returns a list of offers. */
export const offerSchema = z.object({
    zone: z.string(),
    pool: z.string(),
    reclaimable: z.boolean(),
    available: requestCountSchema,
    price_per_hour: amountSchema,
    start_ms: durationSchema,
    billed_minimum_ms: durationSchema,
});
export type Offer = z.infer<typeof offerSchema>;

/** Body of `POST /platform/orders`. `start`: starts `count` upstreams of the pool in the zone; `stop`: stops `upstream`. */
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

/**
 * Reply to an order: 200 with the upstreams concerned; a repeated order id gets the first reply again. Errors are 409
 * `{"error":"stale"}` for an old fencing token, where it is checked, 409 `{"error":"unavailable"}` if too few upstreams are
 * available, and 429 with `retry-after` if the platform is busy.
 */
export const platformOrderReplySchema = z.object({ order_id: z.string(), upstreams: z.array(z.string()) });
export type PlatformOrderReply = z.infer<typeof platformOrderReplySchema>;

/** Body of the platform's 4xx responses. */
export const platformErrorSchema = z.object({ error: z.string() });
/** Error for a start of more upstreams than are available; a retry may fail again. */
export const PLATFORM_UNAVAILABLE = "unavailable";

/** Usage of one workspace in one window, for one pool and class. */
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
 * Body of `POST /platform/usage-reports`: the usage of one window, identical on each resend. Usage recorded after its window
 * was closed is counted in the window that is open then.
 */
export const usageReportSchema = z.object({
    report_id: z.string(),
    fencing_token: z.int(),
    window_start: z.int(),
    window_ms: z.int().min(1),
    lines: z.array(usageLineSchema),
});
export type UsageReport = z.infer<typeof usageReportSchema>;
