import { Either, Left, Right } from "purify-ts";
import { parseEventId } from "../../eventStream/index.js";
import { WorkspaceId } from "../../ids/index.js";
import { StreamStart } from "../../resumption/index.js";
import { Route } from "../../routing/index.js";
import { CallContext } from "../callContext/index.js";
import { CallHead } from "../callDialect/index.js";
import { CallError } from "../callError/index.js";

/** Retry delay of callers whose stream can't go on now, in milliseconds: hosts that know its start may be back by then. */
const RETRY_AFTER_MS = 1_000;
/** What callers that have no event yet may send as the id of the last one. */
const NO_EVENT = "0";

const REASONS = {
    unknown: "nobody knows where the stream of that attempt began",
    ambiguous: "streams of several attempts with that id began at different software versions",
    unconfirmed: "too few control processes can be asked where the stream began",
} as const;

/**
 * Finds out where the stream that a call takes up began: only the software version that began it may go on with it.
 *
 * @returns undefined for a call that takes no stream up, and an error where the stream can't go on.
 * @example
 * const resumption = await resolveResumption(ctx, route, workspace, head);
 */
export async function resolveResumption(
    ctx: CallContext,
    route: Route,
    workspace: WorkspaceId | undefined,
    head: CallHead,
): Promise<Either<CallError, StreamStart | undefined>> {
    if (route.kind !== "stream" || head.lastEventId === undefined || head.lastEventId === NO_EVENT) {
        return Right(undefined);
    }
    if (parseEventId(head.lastEventId) === undefined) {
        return Left(new CallError("malformed", "the id of the last event is no number from 1"));
    }
    if (!route.resumable) return refuse("streams of this route can't be taken up again");
    if (head.resumes.length !== 1) return refuse("one attempt must be named that brought the stream's first event");
    const lookup = await ctx.streams.find(workspace, head.resumes[0]);
    if (lookup.kind !== "found") return refuse(REASONS[lookup.kind]);
    const { start } = lookup;
    const isAllowed = route.targets.some(({ pool, weight }) => pool === start.pool && weight > 0);
    return isAllowed ? Right(start) : refuse("the route no longer leads to the pool in which the stream began");
}

function refuse(detail: string): Either<CallError, never> {
    return Left(new CallError("not-resumable", `${detail}; a request without an event id begins anew`, RETRY_AFTER_MS));
}
