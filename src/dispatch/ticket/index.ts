import {
    ClassName,
    HostId,
    PoolId,
    RequestId,
    SoftwareVersion,
    UpstreamId,
    WorkspaceId,
    ZoneId,
} from "../../ids/index.js";
import { Address } from "../../ports/index.js";
import { BackOff, PromptPart, RequestLimit, UpstreamTarget } from "../../upstream/index.js";

/** The owner's view of a request, without its body and its key. */
export interface Ticket {
    readonly request: RequestId;
    /** The entry process that holds the caller's connection. */
    readonly origin: HostId;
    readonly workspace: WorkspaceId;
    readonly className: ClassName;
    /** 0 is the highest. */
    readonly tier: number;
    /** The workspace's weight relative to the others of its tier. */
    readonly weight: number;
    readonly pool: PoolId;
    readonly promptTokens: number;
    /** Maximum length of the answer, in tokens. */
    readonly maxTokens: number;
    /** Target for the time from arrival to the first token, in milliseconds. */
    readonly firstTokenMs: number;
    /** Target for the time between two tokens, in milliseconds. */
    readonly tokenMs: number;
    /** Maximum wait for a grant, in milliseconds from its arrival. */
    readonly maxWaitMs: number;
    /** The share of the pool's capacity guaranteed to its class, from 0 to 1. */
    readonly guaranteedShare: number;
    /** Time from the request's arrival to the creation of this ticket, in milliseconds. */
    readonly ageMs: number;
    /** Time after which the request has ended in any case, from the creation of this ticket, in milliseconds; undefined: no limit. */
    readonly lifeMs?: number;
    /** Hashes of the prompt's prefixes, the shortest first. */
    readonly prefixes: readonly string[];
    /** The parts of the prompt with their sizes, where known. */
    readonly parts?: readonly PromptPart[];
    /**
     * Longest pause between two events that counts as on time, in milliseconds; undefined for answers that are not
     * streams.
     */
    readonly gapMs?: number;
    /** Whether upstreams of the pool can fetch parts of a prompt from each other. */
    readonly canFetch?: boolean;
    /** Size of the request body sent to the upstream, in bytes, where known. */
    readonly bodyBytes?: number;
    /** The zone of the entry that will send it; undefined for the zone of the queue's owner. */
    readonly zone?: ZoneId;
    /** Whether the answer can be stopped and continued at another upstream. */
    readonly resumable: boolean;
    /** Whether it may run more than once. */
    readonly repeatable: boolean;
    /** Upstreams that have failed this request. */
    readonly avoid: readonly UpstreamId[];
    /** Version of the software that began the stream and must continue it; undefined for a stream that has not begun. */
    readonly software?: SoftwareVersion;
    /** Number of tokens that the caller already has, when an answer is continued. */
    readonly resumeOffset: number;
    /**
     * Request rate limits stated by upstreams of the pool, as received by the entry: the owner must respect them too.
     */
    readonly limits?: readonly RequestLimit[];
    /** Limits on rejections stated by upstreams of the pool, as received by the entry. */
    readonly rejectionLimits?: readonly RequestLimit[];
    /** Upstreams of the pool that have asked the entry to back off: the owner must not grant it requests for them. */
    readonly backOffs?: readonly BackOff[];
}

/** Permission to send one request to one upstream. */
export interface Grant {
    readonly request: RequestId;
    readonly upstream: UpstreamId;
    /** The upstream's incarnation, as the deciding host knows it. */
    readonly incarnation?: number;
    /** Version of the upstream's software, where the deciding host is certain of it. */
    readonly software?: SoftwareVersion;
    readonly address: Address;
    /** The upstream from which to fetch cached parts of the prompt before the prefill of the rest. */
    readonly fetchFrom?: Address;
    /** Priority passed to the engine; 0 is the most urgent. */
    readonly priority: number;
    /** Time that the request waited in the queue, in milliseconds. */
    readonly waitedMs: number;
    /** Why this upstream was chosen, for `sequoiamux explain`. */
    readonly reason: string;
    /** The request rate limit stated by the upstream, and the time since it was received, in milliseconds. */
    readonly limit?: Pick<RequestLimit, "perSecond" | "ageMs">;
    /** How many requests the upstream can turn away within a second, and the time since it stated that, in milliseconds. */
    readonly rejectionLimit?: Pick<RequestLimit, "perSecond" | "ageMs">;
    /** The host that made the grant. */
    readonly decidedBy?: HostId;
}

/**
 * Returns the upstream that a grant of a pool is for.
 *
 * @param software - Version of the software that must run the request; undefined: any.
 */
export function toTarget(
    pool: PoolId,
    { upstream, incarnation, address }: Grant,
    software?: SoftwareVersion,
): UpstreamTarget {
    return { pool, upstream, incarnation, address, ...(software === undefined ? {} : { software }) };
}

/** Why a request was not granted. With each of these, the request has not run. */
export type RefusalReason =
    | "no-upstream"
    | "over-capacity"
    | "shed"
    | "wait-expired"
    | "over-limit"
    | "draining"
    | "cancelled";

/** A request that will not be granted. */
export interface Refusal {
    readonly request: RequestId;
    readonly reason: RefusalReason;
    /** Delay before the caller should retry, in milliseconds. */
    readonly retryAfterMs: number;
    /** Explanation for `sequoiamux explain`. */
    readonly detail: string;
}

/** The outcome of a granted request. */
export interface Completion {
    readonly request: RequestId;
    readonly upstream: UpstreamId;
    /**
     * `failed`: no answer came from the upstream; `errored`: it ran the request and answered with a failure; `refused`:
     * it did not run the request because it was full or about to leave; `cancelled`: by the caller or a preemption;
     * `unused`: the request was never sent.
     */
    readonly outcome: "answered" | "failed" | "errored" | "refused" | "cancelled" | "unused";
    /** Whether the upstream may have ended, so that another incarnation may replace it before it announces itself. */
    readonly mayHaveEnded?: boolean;
    /** Time from sending to the first token, in milliseconds; undefined when none came. */
    readonly firstTokenMs?: number;
    /** Mean time between tokens, in milliseconds; undefined with fewer than two. */
    readonly tokenMs?: number;
    /**
     * Longest time between two events, in milliseconds; undefined with fewer than two, or when the stream came from
     * several upstreams.
     */
    readonly longestGapMs?: number;
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly completionTokens: number;
}
