import { Either, Left } from "purify-ts";
import { HostId, RequestId } from "../../ids/index.js";
import { HttpRequest, HttpResponse } from "../../ports/index.js";
import { orOnAbort, RunningRequest } from "../../request/index.js";
import { admitRequest, makeStoppingError } from "../admitRequest/index.js";
import { CallerError, sendCallerError } from "../callerError/index.js";
import { BufferedSink, ChatSink, StreamSink } from "../chatSink/index.js";
import { EntryContext } from "../entryContext/index.js";
import { prepareChat, PreparedChat } from "../prepareChat/index.js";
import { runChat } from "../runChat/index.js";
import { RequestResult, trackRequest } from "../trackRequest/index.js";

const MS_PER_SECOND = 1_000;

/**
 * Serves one chat request, from authentication to the end of the answer.
 *
 * @param id - Request id, sent with the answer and used in logs.
 * @param self - Host that holds the caller's connection.
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
    const refusal = (): Either<CallerError, PreparedChat> => Left(makeStoppingError());
    const checked = await orOnAbort(prepareChat(ctx, req, { key, workspace }), ctx.exitSignal, refusal);
    if (checked.isLeft()) return sendCallerError(res, checked.extract() as CallerError, id);
    const prepared = checked.unsafeCoerce();
    const tracked = { id, keyHash: key.hash, workspace, classView: prepared.classView, pool: prepared.pool };
    await trackRequest(ctx, req, tracked, run => answerChat(ctx, prepared, run, res, self));
}

async function answerChat(
    ctx: EntryContext,
    prepared: PreparedChat,
    run: RunningRequest,
    res: HttpResponse,
    self: HostId,
): Promise<RequestResult> {
    const reserved = await ctx.spendLimiter.reserve(prepared.workspace, prepared.promptTokens + prepared.maxTokens);
    if (reserved.isLeft()) {
        const err = reserved.extract() as CallerError;
        run.recordRefusal(err.type, err.message);
        sendCallerError(res, err, run.identity.id);
        return { outcome: err.outcome, tokens: 0 };
    }
    const sink = makeSink(ctx, prepared, run, res);
    let usedTokens = 0;
    try {
        const { outcome, billedTokens } = await runChat({ ctx, prepared, run, sink, self });
        usedTokens = billedTokens;
        return { outcome, tokens: sink.tokens };
    }
    finally {
        ctx.spendLimiter.settle(prepared.workspace, reserved.unsafeCoerce(), usedTokens);
    }
}

function makeSink(ctx: EntryContext, { chat }: PreparedChat, run: RunningRequest, res: HttpResponse): ChatSink {
    const created = Math.floor(ctx.clock.now() / MS_PER_SECOND);
    const chatAnswer = { request: run.identity.id, model: chat.model, created };
    return chat.stream ? new StreamSink(res, chatAnswer) : new BufferedSink(res, chatAnswer);
}
