import { RequestStep } from "../../request/index.js";

/** An upstream as one entry sees it. */
export interface UpstreamRow {
    readonly upstream: string;
    readonly kind: "engine" | "service";
    readonly pools: readonly string[];
    readonly zone: string;
    readonly address: string;
    readonly state: string;
    /** Version of its software; undefined if it is unknown. */
    readonly software?: string;
    readonly slots: number;
    /** Running requests according to its latest report. */
    readonly running: number;
    readonly queued: number;
    /** Share of the KV cache in use, from 0 to 1. */
    readonly kvUsed: number;
    readonly tokensPerSecond: number;
    readonly reclaimable: boolean;
    /** Micro-credits per hour. */
    readonly pricePerHour: number;
    /** Time since its latest announcement, in milliseconds. */
    readonly heardMsAgo: number;
    /** Reason why it gets no work; undefined when it gets work. */
    readonly note?: string;
}

/** Waiting requests of one workspace and tier in a pool's queue. */
export interface QueueRow {
    readonly pool: string;
    readonly tier: number;
    readonly workspace: string;
    readonly waiting: number;
    /** Wait of the oldest of them so far, in milliseconds. */
    readonly oldestMs: number;
}

/** Distribution of one metric for one workspace and class. */
export interface HistogramRow {
    /** For example `first_token_ms`. */
    readonly metric: string;
    readonly workspace: string;
    readonly className: string;
    readonly count: number;
    readonly p50: number;
    readonly p90: number;
    readonly p99: number;
    readonly max: number;
}

/** Outcome of a request and the decisions that led to it. */
export interface RequestExplanation {
    readonly request: string;
    readonly workspace: string;
    readonly className: string;
    readonly tier: number;
    readonly pool: string;
    /** Wall time of its arrival, in milliseconds since the epoch. */
    readonly arrivedAt: number;
    /** Undefined while the request is running. */
    readonly outcome?: string;
    readonly waitedMs: number;
    readonly firstTokenMs?: number;
    readonly totalMs?: number;
    readonly upstream?: string;
    /** Why this upstream was chosen, or why the request was refused. */
    readonly reason: string;
    readonly steps: readonly RequestStep[];
}

/** Operators' interface to one entry process. */
export abstract class EntryAdmin {
    /** Lists the upstreams that this entry knows. */
    abstract listUpstreams(): Promise<readonly UpstreamRow[]>;

    /** Lists the waiting requests in the queues that this entry owns. */
    abstract listQueues(): Promise<readonly QueueRow[]>;

    /** Lists the distributions measured on this entry's own requests. */
    abstract listHistograms(): Promise<readonly HistogramRow[]>;

    /** Explains one of this entry's recent requests; undefined when the request is unknown or no longer remembered. */
    abstract explain(request: string): Promise<RequestExplanation | undefined>;

    /** Leaves the load balancer and accepts no new requests; running ones continue. Idempotent. */
    abstract drain(): Promise<void>;

    /** Drains, finishes the running requests and exits the process with code 0. */
    abstract stop(): Promise<void>;
}
