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
/** Running and queued requests of one tier of a pool. */
export type TierLoad = z.infer<typeof tierLoadSchema>;

const reportedUpstreamSchema = z.object({
    id: z.string().min(1),
    zone: z.string(),
    kind: z.enum(["engine", "service"]),
    /** `IP:port` at which it accepts orders. */
    address: z.string(),
    /** The platform may take it back at short notice. */
    reclaimable: z.boolean(),
    /** It refuses orders with an outdated fencing token. */
    checksFence: z.boolean(),
    /** Maximum number of concurrent requests. */
    slots: z.int().min(1),
    state: z.enum(["ready", "leaving", "gone", "silent"]),
    /** It is draining, or the platform has announced that it takes it back. */
    isLeaving: z.boolean(),
    /** Running and queued requests according to its latest load report. */
    running: z.int().min(0),
    /** Age of that load report, in milliseconds. */
    loadAgeMs: z.number().min(0),
});
/** An upstream as seen by the owner of its pool's queue. */
export type ReportedUpstream = z.infer<typeof reportedUpstreamSchema>;

const poolReportSchema = z.object({
    pool: z.string().min(1),
    tiers: z.array(tierLoadSchema),
    upstreams: z.array(reportedUpstreamSchema),
    /** Prefill load, as the number of upstreams that it keeps fully busy; undefined where it is not measured. */
    readingLoad: z.number().min(0).optional(),
});
/** Demand and upstreams of one pool; always reported together, so that an absent pool can't be mistaken for an idle one. */
export type PoolReport = z.infer<typeof poolReportSchema>;

/** Schema of an entry process's report on the pools whose queues it owns. */
export const demandReportSchema = z.object({ region: z.string(), pools: z.array(poolReportSchema) });
/** Demand of the pools whose queues one entry process owns. */
export type DemandReport = z.infer<typeof demandReportSchema>;
