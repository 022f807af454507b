import { Either, Left, Right } from "purify-ts";
import { parseEventId } from "../../eventStream/index.js";
import { EventId, WorkspaceId } from "../../ids/index.js";
import { StreamStart } from "../../resumption/index.js";
import { Route } from "../../routing/index.js";
import { CallContext } from "../callContext/index.js";
import { CallHead } from "../callDialect/index.js";
import { CallError } from "../callError/index.js";
import { PreparedCall } from "../prepareCall/index.js";

/** Retry delay of callers whose stream can't go on now, in milliseconds: hosts that know its start may be back by then. */
const RETRY_AFTER_MS = 1_000;
/** What callers that have no event yet may send as the id of the last one. Beside an attempt that has begun, it is an id. */
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
    const { lastEventId, resumes } = head;
    if (route.kind !== "stream" || lastEventId === undefined) return Right(undefined);
    if (parseEventId(lastEventId) === undefined) {
        return Left(new CallError("malformed", "the id of the last event is no whole number"));
    }
    const found = await findStart(ctx, route, workspace, resumes);
    // Where no attempt is known to have begun, the caller has no event.
    return lastEventId === NO_EVENT && found.isLeft() ? Right(undefined) : found;
}

async function findStart(
    ctx: CallContext,
    route: Route,
    workspace: WorkspaceId | undefined,
    resumes: CallHead["resumes"],
): Promise<Either<CallError, StreamStart>> {
    if (!route.resumable) return refuse("streams of this route can't be taken up again");
    if (resumes.length !== 1) return refuse("one attempt must be named that brought the stream's first event");
    const lookup = await ctx.streams.find(workspace, resumes[0]);
    if (lookup.kind !== "found") return refuse(REASONS[lookup.kind]);
    const { start } = lookup;
    const isAllowed = route.targets.some(({ pool, weight }) => pool === start.pool && weight > 0);
    return isAllowed ? Right(start) : refuse("the route no longer leads to the pool in which the stream began");
}

/**
 * Returns the event behind which a call takes up a stream.
 *
 * @returns undefined where it begins at the first event.
 * @example
 * const lastId = stream.lastEventId ?? findLastEventId(call);
 */
export function findLastEventId({ head, resumption }: Pick<PreparedCall, "head" | "resumption">): EventId | undefined {
    const { lastEventId } = head;
    if (lastEventId === undefined || (lastEventId === NO_EVENT && !resumption)) return undefined;
    return parseEventId(lastEventId);
}

function refuse(detail: string): Either<CallError, never> {
    return Left(new CallError("not-resumable", `${detail}; a request without an event id begins anew`, RETRY_AFTER_MS));
}
