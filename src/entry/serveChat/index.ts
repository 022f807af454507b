import { HostId, RequestId } from "../../ids/index.js";
import { HttpRequest, HttpResponse } from "../../ports/index.js";
import { admitRequest } from "../admitRequest/index.js";
import { CallerError, sendCallerError } from "../callerError/index.js";
import { StreamSink, WholeSink } from "../chatSink/index.js";
import { EntryContext } from "../entryContext/index.js";
import { prepareChat, PreparedChat } from "../prepareChat/index.js";
import { runChat } from "../runChat/index.js";
import { RunningRequest } from "../runningRequest/index.js";

const MS_PER_SECOND = 1_000;

/**
 * Answers one chat request, from its first byte to its last.
 *
 * @param id - The request's id, on its answer and in logs.
 * @param self - The host that holds the caller's connection.
 */
export async function serveChat(
    ctx: EntryContext,
    req: HttpRequest,
    res: HttpResponse,
    id: RequestId,
    self: HostId,
): Promise<void> {
    const admission = admitRequest(ctx, req);
    if (admission.isLeft()) return sendCallerError(res, admission.extract() as CallerError, id);
    const { key, workspace } = admission.unsafeCoerce();
    const checked = await prepareChat(ctx, req, { key, workspace });
    if (checked.isLeft()) return sendCallerError(res, checked.extract() as CallerError, id);
    const prepared = checked.unsafeCoerce();
    const run = new RunningRequest({
        id,
        workspace: workspace.id,
        keyHash: key.hash,
        className: prepared.classView.name,
        tier: prepared.classView.tier,
        pool: prepared.pool,
    }, ctx.clock);
    ctx.requests.add(run);
    req.closed.addEventListener("abort", () => run.cancel("caller-gone"));
    try {
        await answer(ctx, prepared, run, res, self);
    }
    finally {
        ctx.requests.finish(run);
    }
}

async function answer(
    ctx: EntryContext,
    prepared: PreparedChat,
    run: RunningRequest,
    res: HttpResponse,
    self: HostId,
): Promise<void> {
    const taken = await ctx.spendGate.take(prepared.workspace, prepared.promptTokens + prepared.maxTokens);
    if (taken.isLeft()) {
        const err = taken.extract() as CallerError;
        run.noteRefusal(err.type, err.message);
        return sendCallerError(res, err, run.identity.id);
    }
    // The key may have been withdrawn while the limit was asked for.
    if (!ctx.control.findWorkspace(run.identity.keyHash)) run.cancel("key-withdrawn");
    const chatAnswer = {
        request: run.identity.id,
        model: prepared.chat.model,
        created: Math.floor(ctx.clock.now() / MS_PER_SECOND),
    };
    const sink = prepared.chat.stream ? new StreamSink(res, chatAnswer) : new WholeSink(res, chatAnswer);
    const { outcome, billedTokens } = await runChat(ctx, prepared, run, sink, self);
    ctx.spendGate.settle(prepared.workspace, taken.unsafeCoerce(), billedTokens);
    run.noteEnd(outcome);
    const tags = { workspace: run.identity.workspace, class: run.identity.className };
    ctx.metrics.histogram("total_ms", run.ageMs(), tags);
    ctx.metrics.count("requests", 1, { ...tags, outcome });
    ctx.logger.info("request-ended", {
        request: run.identity.id,
        ...tags,
        pool: run.identity.pool,
        outcome,
        tokens: sink.tokens,
        ms: Math.round(run.ageMs()),
    });
}
