/**
 * Announcements of upstreams: `POST /upstreams/announce` to the upstream-facing port of any entry, every half second and at
 * each change of state. Upstreams are known from their announcements only; there is no configured list.
 */
import * as z from "zod";
import { isHeaderText } from "../../ports/index.js";
import {
    amountSchema,
    durationSchema,
    MAX_REQUESTS,
    ordinalSchema,
    requestCountSchema,
    socketAddressSchema,
} from "../bounds/index.js";

/** Path at which announcements are accepted. */
export const ANNOUNCE_PATH = "/upstreams/announce";

/** Load of an upstream. `kv_used`: used share of the KV cache; `age_ms`: age of these values when they were sent. */
export const loadReportSchema = z.object({
    running: requestCountSchema,
    queued: requestCountSchema,
    kv_used: z.number().min(0).max(1),
    tokens_per_second: amountSchema,
    age_ms: durationSchema,
});
export type LoadReport = z.infer<typeof loadReportSchema>;

/**
 * Prefixes that were added to or removed from the upstream's cache. `sequence` is the number of the first event; a gap in
 * the numbers means that events were lost.
 */
export const cacheEventsSchema = z.object({
    sequence: ordinalSchema,
    events: z.array(z.object({ kind: z.enum(["stored", "evicted"]), prefix: z.string() })),
});
export type CacheEvents = z.infer<typeof cacheEventsSchema>;

/** Maximum length of a software version, in characters. */
export const MAX_SOFTWARE_VERSION_LENGTH = 256;

/** One announcement. It replaces those with a lower (incarnation, sequence). */
export const announcementSchema = z.object({
    /** Sent to it in a header of each request. */
    id: z.string().max(128).refine(isHeaderText, "a header can't hold it"),
    /** Increases with each start of the upstream. */
    incarnation: ordinalSchema,
    /** Increases with each announcement of one incarnation. */
    sequence: ordinalSchema,
    /** `leaving`: accepts no new requests; `gone`: the last announcement of this incarnation. */
    state: z.enum(["ready", "leaving", "gone"]),
    kind: z.enum(["engine", "service"]),
    /** Names of the models, or of the service, that it serves. */
    pools: z.array(z.string()).min(1),
    zone: z.string(),
    /** `IP:port` at which it accepts requests. */
    address: socketAddressSchema,
    /** Maximum number of requests that it runs concurrently. */
    slots: z.int().min(1).max(MAX_REQUESTS),
    /** Price of an hour of running, in micro-credits. */
    price_per_hour: amountSchema,
    /** Whether the platform may reclaim it at short notice. */
    reclaimable: z.boolean(),
    /** Whether it refuses orders with an old fencing token. */
    checks_fence: z.boolean(),
    load: loadReportSchema,
    cache: cacheEventsSchema.optional(),
    /** Time for which it is still cold after its start, and can handle only few requests per second, in milliseconds. */
    cold_ms: durationSchema.optional(),
    /** Version of its software: a stream may be continued only by upstreams of the version that began it. Undefined: unknown. */
    software_version: z.string().min(1).max(MAX_SOFTWARE_VERSION_LENGTH).optional(),
    /** Time until the platform reclaims it, in milliseconds. */
    reclaim_in_ms: durationSchema.optional(),
});
export type Announcement = z.infer<typeof announcementSchema>;
