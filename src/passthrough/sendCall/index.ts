import { Either } from "purify-ts";
import { toTarget } from "../../dispatch/index.js";
import { Execution, judgeFailure, judgeReply, ReplyVerdict } from "../../execution/index.js";
import { discardReply, findHeader, HttpError, HttpReply } from "../../ports/index.js";
import { Attempt, AttemptResult } from "../attempt/index.js";
import { CallContext } from "../callContext/index.js";
import { ReplyHead } from "../callDialect/index.js";
import { endWithHttpError } from "../endWithHttpError/index.js";
import { recordStart } from "../recordStart/index.js";
import { relayAnswer } from "../relayAnswer/index.js";
import { relayStream } from "../relayStream/index.js";
import { findLastEventId } from "../resolveResumption/index.js";

/** Timeout for connecting to an upstream, in milliseconds: less than the first retransmission of a lost SYN. */
const CONNECT_TIMEOUT_MS = 250;
/** Minimum remaining time for which a call is sent, in milliseconds. */
const MIN_REMAINING_MS = 5;

/** Methods whose requests usually have no body: an empty one is omitted rather than sent with a length of 0. */
const METHODS_WITHOUT_BODY: readonly string[] = ["GET", "HEAD", "DELETE", "OPTIONS"];

/**
 * Sends a call to the granted upstream and forwards its answer.
 *
 * Prevents answers of other calls, which a connection may still hold, from reaching the caller: an answer with another
 * call's id, or a success without the header that marks an upstream's answers, is not forwarded, and its connection is
 * not reused.
 */
export async function sendCall(ctx: CallContext, attempt: Attempt): Promise<AttemptResult> {
    const { call, grant, run, required } = attempt;
    const remainingMs = Math.floor(call.deadlineAt - ctx.clock.monotonic());
    if (remainingMs < MIN_REMAINING_MS) return { kind: "ended", end: "not-sent", detail: "no time is left" };
    attempt.silence.expectBeginning();
    const sent = await ctx.upstreamHttp.send({
        target: toTarget(call.pool, grant, required),
        method: call.method,
        path: call.path,
        id: call.head.request,
        headers: ctx.dialect.writeHead(call.head, {
            upstream: grant.upstream,
            workspace: call.workspace,
            deadlineMs: remainingMs,
            priority: grant.priority,
            fetchFrom: grant.fetchFrom,
            lastEventId: findLastEvent(attempt),
        }),
        body: call.body.length > 0 || !METHODS_WITHOUT_BODY.includes(call.method) ? call.body : undefined,
        newConnection: false,
        // Repeatable calls may use connections that have been idle for a while: this halves the number of connections
        // opened.
        recentlyUsedOnly: call.route.kind !== "idempotent" && !call.route.resumable,
        connectTimeoutMs: Math.min(CONNECT_TIMEOUT_MS, remainingMs),
        headTimeoutMs: remainingMs,
        signal: run.signal,
        deadlineHeader: ctx.dialect.deadlineHeader,
        onRelay: relay => attempt.relay = relay,
    });
    try {
        return await handleReply(ctx, attempt, sent);
    }
    catch (err) {
        sent.ifRight(reply => reply.reset());
        throw err;
    }
}

/** Returns what the upstream is told of the last event. */
function findLastEvent({ call, stream }: Attempt): string | undefined {
    if (call.route.kind !== "stream") return call.head.lastEventId;
    return (stream.lastEventId ?? findLastEventId(call))?.toString();
}

async function handleReply(
    ctx: CallContext,
    attempt: Attempt,
    sent: Either<HttpError, HttpReply>,
): Promise<AttemptResult> {
    if (sent.isLeft()) {
        const err = sent.extract() as HttpError;
        attempt.connection = err.connection;
        return endWithHttpError(judgeFailure(err) === "never-sent" ? "not-sent" : "lost", err);
    }
    const reply = sent.unsafeCoerce();
    const head = ctx.dialect.readReply(reply);
    const verdict = judgeHead(attempt, reply, head);
    const { owner, execution } = verdict;
    attempt.connection = reply.connection;
    attempt.reply = { status: reply.status, names: owner, statesNotRun: statesNotRun(head) };
    const mismatch = findReplyMismatch(ctx, attempt, reply, head, verdict);
    // What an upstream states about itself holds whichever call it answers.
    if (!head.misdirected && (mismatch === undefined || owner === "no-call")) recordSignals(ctx, attempt, head);
    if (mismatch !== undefined) {
        reply.reset();
        return { kind: "ended", end: "lost", detail: mismatch, misdirected: head.misdirected };
    }
    if (statesNotRun(head)) return endWithRefusal(ctx, reply, head, execution);
    const result = await relay(ctx, attempt, reply, head);
    return result.kind === "ended" ? { ...result, isTurnedAway: head.signals.backOffMs !== undefined } : result;
}

function judgeHead({ call }: Attempt, { status, connection }: HttpReply, head: ReplyHead): ReplyVerdict {
    const { requests } = head;
    return judgeReply(call.head.request, { status, requests, connection, statesNotRun: statesNotRun(head) });
}

function statesNotRun({ refused, misdirected }: ReplyHead): boolean {
    return refused || misdirected;
}

function endWithRefusal(
    ctx: CallContext,
    reply: HttpReply,
    { misdirected }: ReplyHead,
    execution: Execution,
): AttemptResult {
    if (execution === "rejected") {
        void discardReply(reply, ctx.clock);
        return { kind: "ended", end: "refused", detail: `the upstream answers ${reply.status}`, misdirected };
    }
    reply.reset();
    const detail = `a refusal with status ${reply.status} that proves nothing about this send`;
    return { kind: "ended", end: "lost", detail, misdirected };
}

function relay(
    ctx: CallContext,
    attempt: Attempt,
    reply: HttpReply,
    head: ReplyHead,
): Promise<AttemptResult> | AttemptResult {
    const isStream = attempt.call.route.kind === "stream" && reply.status < 300 && isEventStream(reply);
    if (isStream && !isHeldByAnswer(attempt)) return relayStream(ctx, attempt, reply, head);
    recordStart(ctx, attempt, ctx.time.now());
    if (reply.status < 300) ctx.parts.recordBegun(attempt.call);
    const isRest = attempt.answer.sentStatus !== undefined
        || (attempt.call.resumption !== undefined && reply.status < 300);
    return isRest ? rejectContinuation(ctx, reply) : relayAnswer(ctx, attempt, reply, head);
}

/** Whether the caller has a part of an answer that is no stream of events, and that no stream can continue. */
function isHeldByAnswer({ answer, stream }: Attempt): boolean {
    return answer.sentStatus !== undefined && stream.eventCount === 0;
}

/**
 * Prevents a failure's body from being appended to a partly sent stream, which would then look complete, and a success without events from being
 * taken for the rest of a stream: only a stream of events can continue one.
 */
function rejectContinuation(ctx: CallContext, reply: HttpReply): AttemptResult {
    void discardReply(reply, ctx.clock);
    return { kind: "ended", end: "failed", detail: `the upstream answers ${reply.status} in place of a stream's rest` };
}

function recordSignals({ sendGuard }: CallContext, { call, grant, relay }: Attempt, head: ReplyHead): void {
    const { upstream, incarnation } = grant;
    // An upstream asks the host that sent the call to back off.
    const signals = relay === undefined ? head.signals : { ...head.signals, backOffMs: undefined };
    sendGuard.recordAnswer({ pool: call.pool, upstream, incarnation, request: call.head.request, signals });
}

/** Returns why an answer cannot belong to this call; undefined when it can. */
function findReplyMismatch(
    ctx: CallContext,
    { grant, required }: Attempt,
    reply: HttpReply,
    answer: ReplyHead,
    { owner, isOwn }: ReplyVerdict,
): string | undefined {
    if (owner === "another-call") return "the answer is that of another call";
    if (owner === "several") return "the answer is that of several calls";
    if (!isOwn) return "the answer names no call, and may be that of another one";
    // Another incarnation may have announced itself while the call was on its way.
    if (required !== undefined && ctx.software.find(grant) !== required) return "the upstream runs other software now";
    const isSuccess = reply.status < 300;
    return isSuccess && !answer.isSigned ? "a success without an upstream's mark" : undefined;
}

function isEventStream({ headers }: HttpReply): boolean {
    return findHeader(headers, "content-type")?.toLowerCase().startsWith("text/event-stream") ?? false;
}
