/**
 * How an upstream makes itself known: `POST /upstreams/announce` to the upstream-facing port of any entry, every half
 * second and at each change of state. There is no list of upstreams but what these say.
 */
import * as z from "zod";

/** Where an entry takes announcements. */
export const ANNOUNCE_PATH = "/upstreams/announce";

/** The load an upstream reports. `age_ms`: how old the figures were when they were sent. */
export const loadReportSchema = z.object({
    running: z.int().min(0),
    queued: z.int().min(0),
    kv_used: z.number().min(0).max(1),
    tokens_per_second: z.number().min(0),
    age_ms: z.number().min(0),
});
export type LoadReport = z.infer<typeof loadReportSchema>;

/**
 * Prefixes that entered or left the upstream's cache. `sequence` numbers the first event; a jump in it means that
 * events were lost.
 */
export const cacheEventsSchema = z.object({
    sequence: z.int().min(0),
    events: z.array(z.object({ kind: z.enum(["stored", "evicted"]), prefix: z.string() })),
});
export type CacheEvents = z.infer<typeof cacheEventsSchema>;

/** One announcement. A higher (incarnation, sequence) replaces a lower one. */
export const announcementSchema = z.object({
    id: z.string().min(1).max(128),
    /** Grows with each start of the upstream. */
    incarnation: z.int().min(0),
    /** Grows with each announcement of one incarnation. */
    sequence: z.int().min(0),
    /** `leaving`: take no new work; `gone`: the last word of this incarnation. */
    state: z.enum(["ready", "leaving", "gone"]),
    kind: z.enum(["engine", "service"]),
    /** The models or the service that it serves. */
    pools: z.array(z.string()).min(1),
    zone: z.string(),
    /** `IP:port` where it takes requests. */
    address: z.string(),
    /** How many requests it runs at once. */
    slots: z.int().min(1),
    /** Micro-credits for an hour of running. */
    price_per_hour: z.number().min(0),
    /** The platform may take it back at short notice. */
    reclaimable: z.boolean(),
    /** It refuses orders with an old fencing token. */
    checks_fence: z.boolean(),
    load: loadReportSchema,
    cache: cacheEventsSchema.optional(),
    /** It has just started, and bears few requests a second for this many milliseconds. */
    cold_ms: z.number().min(0).optional(),
    /** The platform takes it back in this many milliseconds. */
    reclaim_in_ms: z.number().min(0).optional(),
});
export type Announcement = z.infer<typeof announcementSchema>;
