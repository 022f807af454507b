import {
    Completion,
    findFailureOutcome,
    Grant,
    recordDecline,
    Refusal,
    SendBlock,
    Ticket,
    toTarget,
} from "../../dispatch/index.js";
import { ClassName, HostId, RequestId, SoftwareVersion, UpstreamId, WorkspaceId } from "../../ids/index.js";
import { RunningRequest } from "../../request/index.js";
import { PromptPart } from "../../upstream/index.js";
import { Attempt, AttemptResult, BufferedAnswer } from "../attempt/index.js";
import { CallAnswer } from "../callAnswer/index.js";
import { CallContext } from "../callContext/index.js";
import { CallError } from "../callError/index.js";
import { AttemptEnd, chooseNextStep } from "../nextStep/index.js";
import { checkQuarantine, PreparedCall, recheckKey } from "../prepareCall/index.js";
import { sendBuffered } from "../relayAnswer/index.js";
import { MIN_STALL_MS } from "../relayStream/index.js";
import { sendCall } from "../sendCall/index.js";
import { createStreamState, StreamState } from "../streamState/index.js";
import { toUpstreamPriority } from "../upstreamPriority/index.js";

/** Retry delay after the loss of an upstream, in milliseconds: the others of the pool continue to serve. */
const RETRY_AFTER_LOSS_MS = 100;
/**
 * Maximum share of a call's time limit that it may wait for an upstream: after that too little time remains to run it.
 */
const MAX_WAIT_RATIO = 0.6;
/** Without a first byte for this many targets, the attempt is cancelled when the call can go to another upstream. */
const FIRST_BYTE_TARGET_FACTOR = 2;
const MIN_FIRST_BYTE_TIMEOUT_MS = 400;
/** Without data for this long when its caller disconnects, an upstream counts as unresponsive, in milliseconds. */
const UNRESPONSIVE_AFTER_MS = 1_500;
/** Maximum answer length assumed when the caller states none, in tokens. */
const DEFAULT_MAX_TOKENS = 1;
const DEFAULT_TOKEN_MS = 50;
/** Maximum number of parts of a prompt in a log line. */
const MAX_LOGGED_PARTS = 16;

/** The end of a call, for its log record and metrics. */
export interface CallEnd {
    readonly outcome: string;
    readonly status: number;
    readonly attempts: number;
    readonly stream: StreamState;
    /** Version of the software of the upstream tried last. */
    readonly software: SoftwareVersion | undefined;
    /** The host that sent the call on behalf of this one, if one did. */
    readonly relay?: HostId;
    /** When the caller was told to retry, in milliseconds; undefined where it was told nothing. */
    readonly retryAfterMs?: number;
}

/** The progress of a call over all its attempts. */
interface CallProgress {
    readonly avoid: UpstreamId[];
    readonly stream: StreamState;
    tries: number;
    /** Number of upstreams that have, or may have, begun to work on it. */
    begun: number;
    /** The last failure answer of an upstream. */
    upstreamFailure: BufferedAnswer | undefined;
    /** Version of the software of the upstream tried last. */
    software: SoftwareVersion | undefined;
    /** The host that sent the call on behalf of this one, in the last attempt that had one. */
    relay: HostId | undefined;
    lastDetail: string;
}

/** A call that has not received its final answer. */
interface CallTask {
    readonly ctx: CallContext;
    readonly call: PreparedCall;
    readonly run: RunningRequest;
    readonly answer: CallAnswer;
    /** Id of the call's ticket at the queue's owner; unlike the caller's id, it is never used twice. */
    readonly ticketId: RequestId;
    readonly progress: CallProgress;
}

/**
 * Runs a call to its final answer: waits for a grant, sends the call, forwards the answer, and tries another upstream
 * when the call allows it.
 */
export async function runCall(
    ctx: CallContext,
    call: PreparedCall,
    run: RunningRequest,
    answer: CallAnswer,
): Promise<CallEnd> {
    const ticketId = ctx.random.id() as RequestId;
    const task: CallTask = { ctx, call, run, answer, ticketId, progress: createProgress() };
    ctx.repeats.recordRequest(call.pool);
    for (;;) {
        const end = await attemptOnce(task);
        if (end) return end;
        run.beginAttempt();
    }
}

function createProgress(): CallProgress {
    const stream = createStreamState();
    return {
        avoid: [],
        stream,
        tries: 0,
        begun: 0,
        upstreamFailure: undefined,
        software: undefined,
        relay: undefined,
        lastDetail: "",
    };
}

/** Runs one attempt at one upstream. Returns undefined when the call continues at another one. */
async function attemptOnce(task: CallTask): Promise<CallEnd | undefined> {
    const { ctx, call, run, progress } = task;
    const decision = await ctx.dispatcher.submit(makeTicket(task), run.signal);
    if (decision.isLeft()) return endWithRefusal(task, decision.extract() as Refusal);
    const grant = setPriority(task, decision.extract() as Grant);
    const block = ctx.sendGuard.findBlock(grant, requiredSoftware(task));
    if (block) return declineGrant(task, grant, block);
    const error = recheckKey(ctx, call) ?? checkQuarantine(ctx, call);
    if (run.isCancelled || error) {
        completeGrant(task, grant, "unused");
        return run.isCancelled ? endCancelled(task) : failNotRun(task, error!);
    }
    progress.tries++;
    progress.software = ctx.software.find(grant);
    run.recordGrant(grant);
    const sentAt = ctx.clock.monotonic();
    const { eventCount } = progress.stream;
    const attempt = makeAttempt(task, grant);
    const result = await sendCall(ctx, attempt);
    progress.relay = attempt.relay ?? progress.relay;
    const completed = completeAttempt(task, attempt, result, sentAt);
    recordForCrashGuards(task, grant, result, progress.stream.eventCount > eventCount);
    if (result.kind === "answered") {
        run.waitFor("durability");
        await waitDurable(task);
        result.deliver();
        return makeCallEnd("answered", result.status, progress);
    }
    recordAttempt(task, attempt, result);
    if (run.isCancelled) return endCancelled(task);
    if (decideNext(task, result.end) === "give-up") return endWithFailure(task, result.end);
    // The grant's slot must be free before the call's ticket is submitted again.
    await completed;
    progress.avoid.push(grant.upstream);
    return undefined;
}

/** Sets the priority that the upstream is told, by the rank of the call in the document in force. */
function setPriority({ ctx, call }: CallTask, grant: Grant): Grant {
    const rankCount = ctx.view.routes()?.ranks.count ?? 0;
    return { ...grant, priority: toUpstreamPriority(call.tier, rankCount, ctx.dialect.priorityLevels) };
}

/** Reports the outcome of an attempt to the owner of the queue; finding it out may take a moment where the attempt failed. */
async function completeAttempt(task: CallTask, attempt: Attempt, result: AttemptResult, sentAt: number): Promise<void> {
    const { ctx, call, run, progress } = task;
    const { grant, relay } = attempt;
    const idleMs = ctx.clock.monotonic() - Math.max(sentAt, progress.stream.lastEventAt);
    const outcome = outcomeOf(result, run, idleMs);
    if (result.kind === "answered" || outcome !== "failed" || result.misdirected) {
        return completeGrant(task, grant, outcome, sentAt);
    }
    const { end, connectionEnded = false, isPathFailure = false } = result;
    const mayHaveBeenSent = end !== "not-sent";
    const failure = { isPathFailure, mayHaveBeenSent, isRelayed: relay !== undefined, connectionEnded, sentAt };
    const target = toTarget(call.pool, grant);
    const { outcome: failedOutcome, mayHaveEnded } = await findFailureOutcome(ctx.upstreamHttp, target, failure);
    completeGrant(task, grant, failedOutcome, sentAt, mayHaveEnded);
}

/**
 * Declines a grant for an upstream to which nothing may be sent: the owner of the queue may be cut off from the control
 * processes and grant what all others know to be closed. The call is submitted again; if the owner offers the same
 * upstream again, the call is refused.
 */
async function declineGrant(task: CallTask, grant: Grant, block: SendBlock): Promise<CallEnd | undefined> {
    const { ctx, call, run, progress } = task;
    const isRepeated = progress.avoid.includes(grant.upstream);
    completeGrant(task, grant, "unused");
    const { request } = call.head;
    const { pool } = call;
    recordDecline(ctx, { request, pool, grant, block, outcome: isRepeated ? "refused" : "submitted-again" });
    run.recordStep("grant-unused", `${grant.upstream} is ${block.reason}`);
    if (run.isCancelled) return endCancelled(task);
    if (isRepeated) {
        const detail = "the only upstream that was offered takes no more work";
        return failNotRun(task, new CallError("refused", detail, block.leftMs ?? RETRY_AFTER_LOSS_MS));
    }
    progress.avoid.push(grant.upstream);
    return undefined;
}

function makeAttempt({ ctx, call, run, answer, progress, ticketId }: CallTask, grant: Grant): Attempt {
    const { stream } = progress;
    const canUseAnotherUpstream = call.route.kind === "idempotent" || call.route.resumable;
    const hasAttemptsLeft = progress.begun + 1 < call.route.attempts;
    const minTimeoutMs = call.route.kind === "stream" ? MIN_STALL_MS : MIN_FIRST_BYTE_TIMEOUT_MS;
    const firstByteTimeoutMs = canUseAnotherUpstream && hasAttemptsLeft
        ? Math.max(minTimeoutMs, FIRST_BYTE_TARGET_FACTOR * call.route.targetMs)
        : undefined;
    const tokensPerEvent = tokensPerEventOf(ctx, call);
    const required = requiredSoftware({ call, progress });
    return { call, grant, run, answer, stream, required, firstByteTimeoutMs, ticketId, tokensPerEvent };
}

function decideNext({ ctx, call, progress }: CallTask, end: AttemptEnd) {
    const { kind, resumable, attempts } = call.route;
    const { begun, tries, stream } = progress;
    const isSoftwareKnown = stream.eventCount === 0 || stream.startedBy !== undefined;
    const tryTakeRepeat = (): boolean => ctx.repeats.tryTake(call.pool, ctx.view.entryCount());
    return chooseNextStep({ end, kind, resumable, isSoftwareKnown, begun, attempts, tries, tryTakeRepeat });
}

function recordAttempt(
    { ctx, call, run, progress }: CallTask,
    { grant, relay }: Attempt,
    { end, detail, failure, connectionEnded, isPathFailure }: Extract<AttemptResult, { kind: "ended"; }>,
): void {
    const { upstream } = grant;
    if (end !== "not-sent" && end !== "refused") progress.begun++;
    progress.upstreamFailure = failure ?? progress.upstreamFailure;
    progress.lastDetail = detail;
    const { cancelReason: cancelled } = run;
    run.recordStep("attempt-ended", `${upstream} ${end}: ${detail}`);
    const { tries, begun } = progress;
    const events = progress.stream.eventCount;
    const { fingerprint, pool, route, head: { request, parts } } = call;
    const ageMs = Math.round(run.ageMs());
    ctx.metrics.count("attempts_ended", 1, { pool, end, connection: connectionEnded ? "ended" : "open" });
    ctx.logger.info("attempt-ended", {
        request,
        fingerprint,
        parts: connectionEnded ? describeSharedParts(parts) : undefined,
        upstream,
        software: ctx.software.find(grant),
        end,
        detail,
        cancelled,
        waitedFor: run.waitsFor,
        waitingMs: Math.round(run.waitingMs()),
        connectionEnded,
        isPathFailure,
        relay,
        tries,
        begun,
        attempts: route.attempts,
        repeatsLeft: ctx.repeats.countLeft(pool, ctx.view.entryCount()),
        events,
        ageMs,
        leftMs: Math.round(call.deadlineAt - ctx.clock.monotonic()),
    });
}

/** Lists the ids of the parts of a prompt that other prompts may share: all but the last. */
function describeSharedParts(parts: readonly PromptPart[]): string | undefined {
    const ids = parts.slice(0, -1).map(({ id }) => id);
    if (ids.length === 0) return undefined;
    return ids.slice(0, MAX_LOGGED_PARTS).join(" ") + (ids.length > MAX_LOGGED_PARTS ? " ..." : "");
}

/** @param hasBegun - Whether an event came in this attempt. */
function recordForCrashGuards({ ctx, call }: CallTask, grant: Grant, result: AttemptResult, hasBegun: boolean): void {
    const { fingerprint, pool } = call;
    if (result.kind === "answered") return ctx.crashes.recordServed(fingerprint);
    if (!result.connectionEnded) return;
    const target = toTarget(pool, grant);
    if (!hasBegun) ctx.parts.recordUnanswered(call, target);
    ctx.crashes.recordConnectionEnd(fingerprint, target);
}

/**
 * Returns the outcome to report for an attempt. A disconnected caller reveals nothing about the upstream, unless it had
 * been waiting for it: an unresponsive upstream shows by callers that give up.
 */
function outcomeOf(result: AttemptResult, run: RunningRequest, idleMs: number): Completion["outcome"] {
    if (result.kind === "answered") return "answered";
    if (run.cancelReason === "caller-gone") return idleMs >= UNRESPONSIVE_AFTER_MS ? "failed" : "cancelled";
    if (result.end === "refused") return result.misdirected ? "failed" : "refused";
    if (result.isTurnedAway) return "refused";
    return result.end === "failed" ? "errored" : "failed";
}

async function endWithRefusal(task: CallTask, refusal: Refusal): Promise<CallEnd> {
    const { run } = task;
    run.recordRefusal(refusal.reason, refusal.detail);
    if (run.isCancelled) return endCancelled(task);
    const detail = `${refusal.reason}: ${refusal.detail}`;
    return failNotRun(task, new CallError("refused", detail, refusal.retryAfterMs));
}

/** Ends a call whose caller has disconnected or whose deadline has passed. */
function endCancelled(task: CallTask): CallEnd {
    const { run, progress } = task;
    if (run.cancelReason === "caller-gone") return makeCallEnd("caller-gone", 0, progress);
    const kind = progress.begun > 0 ? "timeout-running" : "timeout-waiting";
    return sendError(task, new CallError(kind, "the call's time is over", RETRY_AFTER_LOSS_MS));
}

/** Waits until the call's start is durable, at most until its answer would be late for its objective. */
async function waitDurable({ ctx, call, progress: { stream } }: CallTask): Promise<void> {
    const { route, arrivedAt, deadlineAt } = call;
    if (stream.startPosition === undefined) return;
    const now = ctx.clock.monotonic();
    const isStream = stream.eventCount > 0;
    const objectiveAt = isStream && route.gapMs !== undefined
        ? stream.lastEventAt + route.gapMs
        : arrivedAt + route.targetMs;
    const limits = { objectiveLeftMs: objectiveAt - now, deadlineLeftMs: deadlineAt - now };
    await ctx.durability.waitDurable(stream.startPosition, limits);
}

/** Ends a call that must not be sent to another upstream, with the best answer available. */
async function endWithFailure(task: CallTask, end: AttemptEnd): Promise<CallEnd> {
    const { answer, progress } = task;
    const { upstreamFailure, begun, lastDetail } = progress;
    if (upstreamFailure && end === "failed" && answer.sentStatus === undefined) {
        await waitDurable(task);
        sendBuffered(answer, upstreamFailure);
        return makeCallEnd("upstream-failure", upstreamFailure.status, progress);
    }
    const kind = begun > 0 ? "upstream-lost" : "refused";
    return sendError(task, new CallError(kind, lastDetail, RETRY_AFTER_LOSS_MS));
}

/**
 * Fails a call that this attempt has not run. The error states that the call has not run only if no earlier upstream
 * may have begun it.
 */
async function failNotRun(task: CallTask, err: CallError): Promise<CallEnd> {
    return task.progress.begun > 0 ? endWithFailure(task, "lost") : sendError(task, err);
}

function sendError({ call, answer, progress }: CallTask, err: CallError): CallEnd {
    const isTruncated = answer.sentStatus !== undefined;
    answer.sendError(err, call.head.request);
    const end = makeCallEnd(isTruncated ? `cut: ${err.kind}` : err.kind, err.status, progress);
    return { ...end, retryAfterMs: isTruncated ? undefined : err.retryAfterMs };
}

function makeCallEnd(outcome: string, status: number, { tries, stream, software, relay }: CallProgress): CallEnd {
    return { outcome, status, attempts: tries, stream, software, relay };
}

function completeGrant(
    { ctx, call, ticketId: request, progress: { stream, tries } }: CallTask,
    grant: Grant,
    outcome: Completion["outcome"],
    sentAt?: number,
    mayHaveEnded?: boolean,
): void {
    const { upstream } = grant;
    const tokensPerEvent = tokensPerEventOf(ctx, call);
    // The pace of a stream whose path was lost meanwhile is not that of its upstream.
    const isPaceKnown = sentAt === undefined || !ctx.upstreamHttp.hadLostPath(toTarget(call.pool, grant), sentAt);
    const gaps = isPaceKnown ? stream.eventCount - 1 : 0;
    const tokenMs = gaps > 0 ? (stream.lastEventAt - stream.firstEventAt) / gaps / tokensPerEvent : undefined;
    ctx.dispatcher.complete({
        request,
        upstream,
        outcome,
        ...(mayHaveEnded ? { mayHaveEnded } : {}),
        firstTokenMs: stream.firstEventMs,
        tokenMs,
        longestGapMs: gaps > 0 && tries === 1 ? stream.longestGapMs : undefined,
        promptTokens: call.head.promptTokens,
        cachedTokens: 0,
        completionTokens: stream.eventCount * tokensPerEvent,
    });
}

function makeTicket({ ctx, call, ticketId: request, progress }: CallTask): Ticket {
    const { route, head } = call;
    const now = ctx.clock.monotonic();
    const tokensPerEvent = tokensPerEventOf(ctx, call);
    return {
        request,
        origin: ctx.self,
        workspace: call.workspace ?? "" as WorkspaceId,
        className: route.name as ClassName,
        tier: call.tier,
        weight: 1,
        pool: call.pool,
        promptTokens: head.promptTokens,
        maxTokens: Math.max(DEFAULT_MAX_TOKENS, head.maxTokens),
        firstTokenMs: route.targetMs,
        tokenMs: route.gapMs === undefined ? DEFAULT_TOKEN_MS : route.gapMs / tokensPerEvent,
        maxWaitMs: MAX_WAIT_RATIO * (call.deadlineAt - call.arrivedAt),
        guaranteedShare: 0,
        ageMs: now - call.arrivedAt,
        prefixes: [],
        parts: head.parts,
        gapMs: route.kind === "stream" ? route.gapMs : undefined,
        bodyBytes: call.body.length,
        canFetch: ctx.view.routes()?.findPool(call.pool)?.engine?.canMove,
        zone: ctx.zone,
        resumable: false,
        repeatable: route.kind === "idempotent",
        avoid: progress.avoid,
        software: requiredSoftware({ call, progress }),
        resumeOffset: progress.stream.eventCount * tokensPerEvent,
    };
}

/** Returns the version of the software that must run the call, since it began the stream; undefined: any. */
function requiredSoftware({ call, progress }: Pick<CallTask, "call" | "progress">): SoftwareVersion | undefined {
    return progress.stream.startedBy ?? call.resumption?.software;
}

function tokensPerEventOf(ctx: CallContext, { pool }: PreparedCall): number {
    return ctx.view.routes()?.findPool(pool)?.engine?.tokensPerEvent ?? 1;
}
