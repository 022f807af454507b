import { Either, Left } from "purify-ts";
import { ClassName, WorkspaceId } from "../../ids/index.js";
import { HttpHandler, HttpRequest } from "../../ports/index.js";
import { orOnAbort, RunningRequest } from "../../request/index.js";
import { CallAnswer } from "../callAnswer/index.js";
import { CallContext } from "../callContext/index.js";
import { CallHead } from "../callDialect/index.js";
import { CallError, makeStoppingError } from "../callError/index.js";
import { prepareCall, PreparedCall } from "../prepareCall/index.js";
import { recordInternalError } from "../recordInternalError/index.js";
import { CallEnd, runCall } from "../runCall/index.js";
import { mayEndInTime } from "../stopMargin/index.js";

/**
 * Creates the HTTP handler of routed calls.
 *
 * @example
 * const listener = await http.serve(address, limits, serveCalls(ctx));
 */
export function serveCalls(ctx: CallContext): HttpHandler {
    return async (req, res) => {
        const answer = new CallAnswer({ res, dialect: ctx.dialect, isDraining: ctx.isDraining });
        const head = ctx.dialect.readHead(req);
        try {
            await serveCall(ctx, req, head, answer);
        }
        catch (err) {
            const request = head.map(read => read.request).toMaybe().extract();
            recordInternalError(ctx, request, err);
            ctx.metrics.count("calls", 1, { outcome: "internal" });
            answer.sendError(new CallError("internal", "an internal error"), request);
        }
    };
}

async function serveCall(
    ctx: CallContext,
    req: HttpRequest,
    head: Either<CallError, CallHead>,
    answer: CallAnswer,
): Promise<void> {
    if (ctx.isRefusing()) return refuse(ctx, head, answer, makeStoppingError(false));
    const refusal = (): Either<CallError, PreparedCall> => Left(makeStoppingError(false));
    const prepared = await orOnAbort(prepareCall(ctx, req, head), ctx.exitSignal, refusal);
    if (prepared.isLeft()) return refuse(ctx, head, answer, prepared.extract() as CallError);
    const call = prepared.unsafeCoerce();
    if (!mayEndInTime(ctx, call)) return refuse(ctx, head, answer, makeStoppingError(false));
    await trackCall(ctx, req, answer, call);
}

function refuse(
    ctx: CallContext,
    readHead: Either<CallError, CallHead>,
    answer: CallAnswer,
    err: CallError,
): void {
    const request = readHead.map(head => head.request).toMaybe().extract();
    const version = ctx.view.routes()?.version;
    const detail = err.message;
    ctx.logger.info("call-refused", { request, kind: err.kind, detail, version, fresh: ctx.view.isFresh() });
    ctx.metrics.count("calls", 1, { outcome: err.kind });
    answer.sendError(err, request);
}

/**
 * Runs a call as an entry of the request registry: it is cancelled when its caller disconnects or its deadline passes,
 * and its end is recorded.
 */
async function trackCall(ctx: CallContext, req: HttpRequest, answer: CallAnswer, call: PreparedCall): Promise<void> {
    const { route, pool, tier, workspace = "" as WorkspaceId } = call;
    const className = route.name as ClassName;
    const identity = { id: call.head.request, workspace, keyHash: undefined, className, tier, pool };
    const run = new RunningRequest(identity, ctx.clock);
    ctx.requests.add(run);
    const cancelOnDisconnect = (): void => run.cancel("caller-gone");
    req.closed.addEventListener("abort", cancelOnDisconnect);
    const deadlineTimer = ctx.clock.after(call.deadlineAt - ctx.clock.monotonic(), () => run.cancel("timeout"));
    try {
        recordEnd(ctx, call, run, await runCall(ctx, call, run, answer));
    }
    finally {
        deadlineTimer.cancel();
        req.closed.removeEventListener("abort", cancelOnDisconnect);
        ctx.requests.finish(run);
    }
}

function recordEnd(ctx: CallContext, call: PreparedCall, run: RunningRequest, end: CallEnd): void {
    const { route, workspace, pool, head, tier, fingerprint } = call;
    const { outcome, status, attempts, stream, software, relay, retryAfterMs, notRun } = end;
    const ms = Math.round(run.ageMs());
    const firstMs = stream.firstEventMs === undefined ? undefined : Math.round(stream.firstEventMs);
    run.recordEnd(outcome);
    if (outcome === "answered") ctx.durations.record(route.name, ms);
    ctx.metrics.count("calls", 1, { outcome, class: route.name });
    ctx.metrics.histogram("call_ms", ms, { class: route.name });
    if (firstMs !== undefined) ctx.metrics.histogram("first_byte_ms", firstMs, { class: route.name });
    const { upstream, waitedMs, reason, decidedBy, priority } = run.history;
    ctx.logger.info("call-ended", {
        request: head.request,
        fingerprint,
        route: route.name,
        workspace,
        pool,
        tier,
        routeTier: route.tier,
        priority,
        outcome,
        status,
        attempts,
        retryAfterMs,
        refusals: notRun?.refusals,
        unsent: notRun?.unsent,
        ms,
        firstMs,
        events: stream.eventCount,
        startedBy: stream.startedBy,
        resumes: head.resumes.join(" ") || undefined,
        lastEventId: head.lastEventId,
        lastSentId: stream.lastEventId,
        gapMs: Math.round(stream.longestGapMs),
        targetMs: route.targetMs,
        gapBoundMs: route.gapMs,
        upstream,
        software,
        relay,
        waitedMs: Math.round(waitedMs),
        reason,
        decidedBy,
        version: ctx.view.routes()?.version,
    });
}
