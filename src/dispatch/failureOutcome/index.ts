import { UpstreamHttp, UpstreamTarget } from "../../upstream/index.js";
import { Completion } from "../ticket/index.js";

/** How a request ended for the owner of the queue, and what that says of the upstream. */
export type CompletionOutcome = Pick<Completion, "outcome" | "mayHaveEnded">;

/** A granted request that got no complete answer. */
export interface RequestFailure {
    /** Whether the way to the upstream failed, by the word of the HTTP client. */
    readonly isPathFailure: boolean;
    /** Whether any byte of the request may have been sent. */
    readonly mayHaveBeenSent: boolean;
    /** Whether another host sent it on behalf of this one. */
    readonly isRelayed: boolean;
    /** Whether its connection was closed or reset by the other side. */
    readonly connectionEnded: boolean;
    /** Monotonic time at which it was sent, in milliseconds. */
    readonly sentAt: number;
}

/**
 * Determines how a failed request counts at the owner of the queue. What failed on this host's own path says nothing about the upstream:
 * otherwise a host that has lost its paths would have all upstreams back off for all hosts.
 *
 * @example
 * dispatcher.complete({ ...completion, ...await findFailureOutcome(upstreamHttp, target, failure) });
 */
export async function findFailureOutcome(
    upstreamHttp: UpstreamHttp,
    target: UpstreamTarget,
    { isPathFailure, mayHaveBeenSent, isRelayed, connectionEnded, sentAt }: RequestFailure,
): Promise<CompletionOutcome> {
    if (isPathFailure) return { outcome: mayHaveBeenSent ? "cancelled" : "unused" };
    if (!mayHaveBeenSent) return { outcome: "failed", mayHaveEnded: true };
    if (isRelayed) return { outcome: "failed", mayHaveEnded: connectionEnded };
    const cause = await upstreamHttp.findFailureCause(target, { sentAt, connectionEnded });
    return cause === "path"
        ? { outcome: "cancelled" }
        : { outcome: "failed", mayHaveEnded: cause === "upstream-ended" };
}
