import { Either, Left } from "purify-ts";
import { RequestId } from "../../ids/index.js";
import { HttpRequest, HttpResponse } from "../../ports/index.js";
import { OUTCOME_HEADER, REQUEST_HEADER } from "../../protocol/index.js";
import { orOnAbort, RunningRequest } from "../../request/index.js";
import { PeerIdentity } from "../../wire/index.js";
import { admitRequest, makeStoppingError } from "../admitRequest/index.js";
import { CallerError, sendCallerError } from "../callerError/index.js";
import { EntryContext } from "../entryContext/index.js";
import { PreparedService, prepareService } from "../prepareService/index.js";
import { runService, ServiceResult } from "../runService/index.js";
import { trackRequest } from "../trackRequest/index.js";

/** Header that marks an answer as that of an earlier call with the same idempotency key. */
const REPLAYED_HEADER = "x-sequoiamux-replayed";

/** Serves one service call, from authentication to the end of the answer. */
export async function serveService(
    ctx: EntryContext,
    req: HttpRequest,
    res: HttpResponse,
    id: RequestId,
    self: PeerIdentity,
): Promise<void> {
    const admission = admitRequest(ctx, req);
    if (admission.isLeft()) return sendCallerError(res, admission.extract() as CallerError, id);
    const { key, workspace } = admission.unsafeCoerce();
    const refusal = (): Either<CallerError, PreparedService> => Left(makeStoppingError());
    const checked = await orOnAbort(prepareService(ctx, req, { key, workspace }), ctx.exitSignal, refusal);
    if (checked.isLeft()) return sendCallerError(res, checked.extract() as CallerError, id);
    const prepared = checked.unsafeCoerce();
    const tracked = { id, keyHash: key.hash, workspace, classView: prepared.classView, pool: prepared.pool };
    await trackRequest(ctx, req, tracked, async run => {
        const result = await runService(ctx, prepared, run, self);
        await recordUsage(ctx, prepared, run, result);
        sendResult(res, id, result);
        return { outcome: result.kind === "error" ? result.err.outcome : "answered", tokens: 0 };
    });
}

/** Records the usage of a call without a call record; a call with a record is billed once, when the record is closed. */
async function recordUsage(
    ctx: EntryContext,
    { workspace, pool, classView, call }: PreparedService,
    run: RunningRequest,
    result: ServiceResult,
): Promise<void> {
    if (result.kind === "error" || call) return;
    const line = {
        workspace: workspace.id,
        pool,
        class: classView.name,
        requests: 1,
        prompt_tokens: 0,
        completion_tokens: 0,
    };
    const objectiveLeftMs = classView.firstTokenMs - run.ageMs();
    await ctx.meter.record(line, { objectiveLeftMs, deadlineLeftMs: Number.POSITIVE_INFINITY });
}

function sendResult(res: HttpResponse, id: RequestId, result: ServiceResult): void {
    if (result.kind === "error") return sendCallerError(res, result.err, id);
    const { status, contentType, body } = result.answer;
    res.head(status, [
        ["content-type", contentType],
        ["content-length", String(body.length)],
        [REQUEST_HEADER, id],
        [OUTCOME_HEADER, "answered"],
        ...(result.replayed ? [[REPLAYED_HEADER, "true"] as const] : []),
    ]);
    res.end(body);
}
