import * as z from "zod";

/** The method by which the owner of a pool's queue reports the pool's demand to the holder; the body is a `DemandReport`. */
export const DEMAND_METHOD = "control.demand";

const tierLoadSchema = z.object({
    tier: z.int().min(0),
    /** Requests that hold a slot. */
    running: z.int().min(0),
    /** Tickets in the queue. */
    waiting: z.int().min(0),
});
/** What one tier of a pool uses and waits for. */
export type TierLoad = z.infer<typeof tierLoadSchema>;

const reportedUpstreamSchema = z.object({
    id: z.string().min(1),
    zone: z.string(),
    kind: z.enum(["engine", "service"]),
    /** `IP:port` where it takes orders. */
    address: z.string(),
    reclaimable: z.boolean(),
    checksFence: z.boolean(),
    slots: z.int().min(1),
    state: z.enum(["ready", "leaving", "gone", "silent"]),
    /** It leaves, or has a reclaim notice. */
    isLeaving: z.boolean(),
    /** Requests that it runs or keeps waiting, by its own latest word. */
    running: z.int().min(0),
    /** How old that word is, in milliseconds. */
    loadAgeMs: z.number().min(0),
});
/** An upstream as the owner of its pool's queue knows it. */
export type ReportedUpstream = z.infer<typeof reportedUpstreamSchema>;

const poolReportSchema = z.object({
    pool: z.string().min(1),
    tiers: z.array(tierLoadSchema),
    upstreams: z.array(reportedUpstreamSchema),
    /** How many upstreams' time its prompts take to read; undefined where that is not followed. */
    readingLoad: z.number().min(0).optional(),
});
/** One pool's demand and all its upstreams: never one without the other. */
export type PoolReport = z.infer<typeof poolReportSchema>;

/** What an entry reports of the pools that it owns, and of no others. */
export const demandReportSchema = z.object({ region: z.string(), pools: z.array(poolReportSchema) });
export type DemandReport = z.infer<typeof demandReportSchema>;
