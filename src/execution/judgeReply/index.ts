import { ConnectionUse } from "../../ports/index.js";
import { Execution } from "../execution/index.js";

/** A lower status contradicts a statement that a request has not run. */
const MIN_ERROR_STATUS = 400;

/** Whose id an answer has: `several` where it has more than one. */
export type ReplyOwner = "this-call" | "another-call" | "no-call" | "several";

/** The parts of an answer's head that tell which request it answers, and whether that has run. */
export interface ReplyStatement {
    readonly status: number;
    /** The ids of requests that it states to answer. */
    readonly requests: readonly string[];
    /** Whether it states that the upstream has not run the request. */
    readonly statesNotRun: boolean;
    /** The use of its connection; undefined where it is not known. */
    readonly connection?: ConnectionUse;
}

/** What an answer proves. */
export interface ReplyVerdict {
    readonly owner: ReplyOwner;
    /** Whether it answers the request, and no other one that its connection has carried. */
    readonly isOwn: boolean;
    readonly execution: Execution;
}

/**
 * Decides what an answer proves about the send of a request that it came after.
 *
 * Prevents a request from running twice: only a statement that names the request alone, on a connection that has carried it once, is about
 * this send. Any other may be about another request, or about an earlier send of this one.
 *
 * @param request - The id of the request.
 * @example
 * const { execution } = judgeReply(id, { status: 503, requests: [id], statesNotRun: true, connection });
 */
export function judgeReply(
    request: string,
    { status, requests, statesNotRun, connection }: ReplyStatement,
): ReplyVerdict {
    const owner = findOwner(request, requests);
    const isAboutThisSend = owner === "this-call" && connection?.hasCarried !== true;
    const isRejection = statesNotRun && status >= MIN_ERROR_STATUS;
    return {
        owner,
        isOwn: owner === "this-call" || (owner === "no-call" && connection?.earlierRequests === 0),
        execution: isRejection && isAboutThisSend ? "rejected" : "unknown",
    };
}

function findOwner(request: string, requests: readonly string[]): ReplyOwner {
    if (requests.length === 0) return "no-call";
    if (requests.length > 1) return "several";
    return requests[0] === request ? "this-call" : "another-call";
}
