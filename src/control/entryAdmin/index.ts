import { RequestStep } from "../../request/index.js";

/** An upstream as one entry sees it. */
export interface UpstreamRow {
    readonly upstream: string;
    readonly kind: "engine" | "service";
    readonly pools: readonly string[];
    readonly zone: string;
    readonly address: string;
    readonly state: string;
    readonly slots: number;
    /** Running by its last report. */
    readonly running: number;
    readonly queued: number;
    /** Share of the KV cache in use, from 0 to 1. */
    readonly kvUsed: number;
    readonly tokensPerSecond: number;
    readonly reclaimable: boolean;
    /** Micro-credits for an hour. */
    readonly pricePerHour: number;
    /** How long ago it was last heard, in milliseconds. */
    readonly heardMsAgo: number;
    /** Why it gets no work, when it gets none. */
    readonly note?: string;
}

/** What waits in one pool's queue. */
export interface QueueRow {
    readonly pool: string;
    readonly tier: number;
    readonly workspace: string;
    readonly waiting: number;
    /** The longest wait up to now, in milliseconds. */
    readonly oldestMs: number;
}

/** One distribution of one workspace's class. */
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

/** What became of a request, and why. */
export interface RequestExplanation {
    readonly request: string;
    readonly workspace: string;
    readonly className: string;
    readonly tier: number;
    readonly pool: string;
    /** Wall time of its arrival, in milliseconds since the epoch. */
    readonly arrivedAt: number;
    /** Undefined while it runs. */
    readonly outcome?: string;
    readonly waitedMs: number;
    readonly firstTokenMs?: number;
    readonly totalMs?: number;
    readonly upstream?: string;
    /** Why this upstream, or why it was refused. */
    readonly reason: string;
    readonly steps: readonly RequestStep[];
}

/** What operators may ask of one entry. */
export abstract class EntryAdmin {
    abstract listUpstreams(): Promise<readonly UpstreamRow[]>;

    /** The queues that this entry owns. */
    abstract listQueues(): Promise<readonly QueueRow[]>;

    /** The distributions of this entry's own requests. */
    abstract listHistograms(): Promise<readonly HistogramRow[]>;

    /** Explains one of this entry's latest requests; undefined when it has not had it, or has forgotten it. */
    abstract explain(request: string): Promise<RequestExplanation | undefined>;

    /** Leaves the balancer and takes no new requests; those under way go on. Harmless when repeated. */
    abstract drain(): Promise<void>;

    /** Drains, finishes what is under way, and ends the process with exit code 0. */
    abstract stop(): Promise<void>;
}
