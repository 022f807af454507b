import { Grant, recordDecline, SendBlock } from "../../dispatch/index.js";
import { SoftwareVersion, UpstreamId } from "../../ids/index.js";
import { Outcome } from "../../protocol/index.js";
import { RunningRequest } from "../../request/index.js";
import { CallerError } from "../callerError/index.js";
import { EntryContext } from "../entryContext/index.js";

/** Retry delay where the end of a block is unknown, in milliseconds. */
const RETRY_AFTER_BLOCK_MS = 1_000;

/** `declined`: the request needs another grant. */
export type GrantCheck = "usable" | "declined" | CallerError;

/**
 * Checks a grant right before it is used. Returns it to the dispatcher if nothing may be sent to its upstream; if the
 * upstream is offered for the second time, the request fails.
 *
 * @param avoid - Upstreams that the request's next ticket avoids; the declined one is added.
 * @param outcome - The request's outcome if it fails.
 * @param software - Version of the software that must run the request; undefined: any.
 */
export function checkGrant(
    ctx: EntryContext,
    run: RunningRequest,
    grant: Grant,
    avoid: UpstreamId[],
    outcome: Outcome,
    software?: SoftwareVersion,
): GrantCheck {
    const block = ctx.sendGuard.findBlock(grant, software);
    if (!block) return "usable";
    const { id: request, pool } = run.identity;
    const { upstream } = grant;
    const isRepeated = avoid.includes(upstream);
    recordDecline(ctx, { request, pool, grant, block, outcome: isRepeated ? "refused" : "submitted-again" });
    run.recordStep("grant-unused", `${upstream} is ${block.reason}`);
    const nothingUsed = { promptTokens: 0, cachedTokens: 0, completionTokens: 0 };
    ctx.dispatcher.complete({ request, upstream, outcome: "unused", ...nothingUsed });
    if (isRepeated) return makeBlockError(block, outcome);
    avoid.push(upstream);
    return "declined";
}

function makeBlockError({ leftMs = RETRY_AFTER_BLOCK_MS }: SendBlock, outcome: Outcome): CallerError {
    const message = "the only upstream that was offered takes no more work";
    return new CallerError(503, "over-capacity", message, outcome, leftMs);
}
