import { Attempt } from "../attempt/index.js";
import { CallContext } from "../callContext/index.js";

/**
 * Records a request start for the call's workspace, at the beginning of its answer.
 *
 * @param at - True time of the beginning, in milliseconds since the epoch.
 */
export function recordStart(ctx: CallContext, { call, stream }: Attempt, at: number): void {
    if (call.workspace === undefined || stream.isHeadSent) return;
    stream.startPosition = ctx.starts.recordStart(call.workspace, at);
}
