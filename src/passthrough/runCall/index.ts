import {
    findFailureOutcome,
    Grant,
    GrantScope,
    recordDecline,
    Refusal,
    SendBlock,
    toTarget,
} from "../../dispatch/index.js";
import { HostId, RequestId, SoftwareVersion } from "../../ids/index.js";
import { RunningRequest } from "../../request/index.js";
import { PromptPart } from "../../upstream/index.js";
import { Attempt, AttemptResult, SilenceWatch } from "../attempt/index.js";
import { CallAnswer } from "../callAnswer/index.js";
import { CallContext } from "../callContext/index.js";
import { CallError, makeStoppingError } from "../callError/index.js";
import {
    CallProgress,
    CallTask,
    completeGrant,
    createProgress,
    GrantEnd,
    HeldGrant,
    makeTicket,
    MoveGrant,
    requiredSoftware,
    returnGrant,
    tokensPerEventOf,
} from "../callTask/index.js";
import { AttemptEnd, chooseNextStep, NextStep } from "../nextStep/index.js";
import { checkQuarantine, PreparedCall, recheckKey } from "../prepareCall/index.js";
import { recordInternalError } from "../recordInternalError/index.js";
import {
    describeBudget,
    readBudget,
    recordRepeatDecided,
    recordRepeatDenied,
    recordRepeatSent,
} from "../recordRepeat/index.js";
import { sendBuffered } from "../relayAnswer/index.js";
import { RepeatPermit } from "../repeatPermit/index.js";
import { sendCall } from "../sendCall/index.js";
import { StallMove } from "../stallMove/index.js";
import { mayEndInTime } from "../stopMargin/index.js";
import { StreamState } from "../streamState/index.js";
import { toUpstreamPriority } from "../upstreamPriority/index.js";

/** Retry delay after the loss of an upstream, in milliseconds: the others of the pool continue to serve. */
const RETRY_AFTER_LOSS_MS = 100;
/** Pause of a call that has left a silent upstream before it tries again, in milliseconds. */
const MOVED_RETRY_PAUSE_MS = 100;
/** Without data for this long when its caller disconnects, an upstream counts as unresponsive, in milliseconds. */
const UNRESPONSIVE_AFTER_MS = 1_500;
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
    /** What the promise that the call has not run rests on; undefined where there is no promise. */
    readonly notRun?: NotRunBasis;
}

/** Why a call can't have run: in each try it was not sent, or its upstream refused it. */
export interface NotRunBasis {
    /** Number of tries in which nothing was sent. */
    readonly unsent: number;
    /** Number of tries that were refused by their upstream. */
    readonly refusals: number;
}

/** How an attempt left its call: `end` when it has its final answer, otherwise the grant that it goes on with, if it holds one. */
interface AttemptOutcome {
    readonly end?: CallEnd;
    readonly next?: MoveGrant;
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
    const grants = new GrantScope(ctx.dispatcher);
    const progress = createProgress();
    ctx.repeats.recordRequest(call.pool);
    try {
        return await runAttempts({ ctx: { ...ctx, dispatcher: grants }, call, run, answer, progress });
    }
    finally {
        progress.permit?.release();
        progress.move?.repeat.release();
        void progress.reported.finally(() => grants.close());
    }
}

async function runAttempts(task: CallTask): Promise<CallEnd> {
    let next: MoveGrant | undefined;
    for (;;) {
        const outcome = await attemptOnce(task, next);
        if (outcome.end) return outcome.end;
        next = outcome.next;
        task.run.beginAttempt();
    }
}

/**
 * Runs one attempt at one upstream.
 *
 * @param moved - The grant for it, if the call has moved off another upstream; otherwise one is requested.
 */
async function attemptOnce(task: CallTask, moved: MoveGrant | undefined): Promise<AttemptOutcome> {
    if (!moved) return requestGrant(task);
    task.progress.move = undefined;
    recordRepeatDecided(task, "stalled");
    holdPermit(task, moved.repeat);
    return sendGranted(task, moved);
}

async function requestGrant(task: CallTask): Promise<AttemptOutcome> {
    const { ctx, call, run } = task;
    const ticketId = ctx.random.id() as RequestId;
    const decision = await ctx.dispatcher.submit(makeTicket(task, ticketId), run.signal);
    if (decision.isLeft()) return endOrWait(task, () => endWithRefusal(task, decision.extract() as Refusal));
    const held = { ticketId, grant: decision.extract() as Grant };
    const block = ctx.sendGuard.findBlock(held.grant, requiredSoftware(task));
    if (block) return declineGrant(task, held, block);
    const error = recheckKey(ctx, call) ?? checkQuarantine(ctx, call) ?? checkStop(task);
    if (!run.isCancelled && !error) return sendGranted(task, held);
    returnGrant(task, held);
    return { end: run.isCancelled ? endCancelled(task) : await failNotRun(task, error!) };
}

/** Checks again whether the call may end before a planned stop does: it may have waited for its grant. */
function checkStop({ ctx, call, progress }: CallTask): CallError | undefined {
    const isRefused = progress.begun === 0 && !mayEndInTime(ctx, call);
    return isRefused ? makeStoppingError(false) : undefined;
}

async function sendGranted(task: CallTask, { ticketId, grant: unranked }: HeldGrant): Promise<AttemptOutcome> {
    const { ctx, run, progress } = task;
    const grant = setPriority(task, unranked);
    if (!tryUsePermit(task)) {
        returnGrant(task, { ticketId, grant });
        return goOn(task, progress.lastSentEnd);
    }
    progress.tries++;
    progress.software = ctx.software.find(grant);
    run.recordGrant(grant);
    recordRepeatSent(task, grant);
    const sentAt = ctx.clock.monotonic();
    const { eventCount } = progress.stream;
    const move = new StallMove(task, grant);
    const attempt = makeAttempt(task, { ticketId, grant }, move);
    const result = await sendCall(ctx, attempt).finally(() => progress.move = move.end());
    const next = progress.move;
    progress.relay = attempt.relay ?? progress.relay;
    progress.reported = completeAttempt(task, attempt, result, sentAt);
    recordForCrashGuards(task, grant, result, progress.stream.eventCount > eventCount);
    if (result.kind === "ended" && result.end === "not-sent") progress.permit?.restore();
    if (result.kind === "answered") {
        returnMove(task);
        run.waitFor("durability");
        run.hasAnswerBegun = true;
        await waitDurable(task);
        result.deliver();
        return { end: makeCallEnd("answered", result.status, progress) };
    }
    recordAttempt(task, attempt, result);
    if (result.isUnsendable) {
        returnMove(task);
        return { end: await failNotRun(task, new CallError("malformed", result.detail)) };
    }
    if (run.isCancelled) {
        returnMove(task);
        return { end: endCancelled(task) };
    }
    progress.avoid.push(grant.upstream);
    if (next) {
        progress.hasMoved = true;
        return { next };
    }
    const outcome = await goOn(task, result.end);
    // The owner of the queue must know how the attempt ended before it chooses another upstream.
    if (!outcome.end) await progress.reported;
    return outcome;
}

/** Ends a call after an attempt, or lets it go on at another upstream. */
async function goOn(task: CallTask, end: AttemptEnd): Promise<AttemptOutcome> {
    const step = await awaitNextStep(task, end);
    if (task.run.isCancelled) return { end: endCancelled(task) };
    return step === "give-up" ? { end: await endWithFailure(task, end) } : {};
}

/** Whether a call may be sent now: it has reached no upstream, or has a permit for a repeat, which is thereby used. */
function tryUsePermit({ progress }: CallTask): boolean {
    return progress.sentTo.length === 0 || (progress.permit?.tryUse() ?? false);
}

function holdPermit({ progress }: CallTask, permit: RepeatPermit): void {
    progress.permit?.release();
    progress.permit = permit;
}

/**
 * Prevents a call from ending because its upstream was silent for a moment: once it has left that upstream, it tries again until its time is
 * over.
 */
async function endOrWait(task: CallTask, end: () => Promise<CallEnd>): Promise<AttemptOutcome> {
    const { ctx, run, progress } = task;
    if (!progress.hasMoved) return { end: await end() };
    await ctx.clock.sleep(MOVED_RETRY_PAUSE_MS, run.signal);
    if (progress.pendingRepeat) progress.pendingRepeat.pausedMs += MOVED_RETRY_PAUSE_MS;
    return run.isCancelled ? { end: endCancelled(task) } : {};
}

/** Decides how a call goes on; one that has left a silent upstream waits until it may be sent again. */
async function awaitNextStep(task: CallTask, end: AttemptEnd): Promise<NextStep> {
    const { ctx, run, progress } = task;
    if (!progress.hasMoved) return decideNext(task, end);
    for (;;) {
        await ctx.clock.sleep(MOVED_RETRY_PAUSE_MS, run.signal);
        const step = run.isCancelled ? "give-up" : decideNext(task, end);
        if (step !== "later") return step;
    }
}

/** Returns the grant for another upstream, where the call needs none any more. */
function returnMove(task: CallTask): void {
    const { progress } = task;
    const { move } = progress;
    if (!move) return;
    progress.move = undefined;
    move.repeat.release();
    returnGrant(task, move);
}

/** Sets the priority that the upstream is told, by the rank of the call in the document in force. */
function setPriority({ ctx, call }: CallTask, grant: Grant): Grant {
    const rankCount = ctx.view.routes()?.ranks.count ?? 0;
    return { ...grant, priority: toUpstreamPriority(call.tier, rankCount, ctx.dialect.priorityLevels) };
}

/** Reports the outcome of an attempt to the owner of the queue; finding it out may take a moment where the attempt failed. */
async function completeAttempt(task: CallTask, attempt: Attempt, result: AttemptResult, sentAt: number): Promise<void> {
    const { ctx, call, run, progress } = task;
    const idleMs = ctx.clock.monotonic() - Math.max(sentAt, progress.stream.lastEventAt);
    const outcome = outcomeOf(result, run, idleMs);
    const ended = { stream: { ...progress.stream }, tries: progress.tries };
    try {
        const end = findGrantEnd(task, attempt, result, { outcome, sentAt });
        completeGrant(task, attempt, end instanceof Promise ? await end : end, ended, sentAt);
    }
    catch (err) {
        // The call's other grants end with it, and so does this one.
        recordInternalError(ctx, call.head.request, err);
    }
}

function findGrantEnd(
    { ctx, call }: CallTask,
    { grant, relay }: Attempt,
    result: AttemptResult,
    { outcome, sentAt }: Pick<GrantEnd, "outcome"> & { readonly sentAt: number; },
): Promise<GrantEnd> | GrantEnd {
    if (result.kind === "answered" || outcome !== "failed" || result.misdirected) return { outcome };
    const { end, connectionEnded = false, isPathFailure = false, isUpstreamFault = false } = result;
    if (isUpstreamFault) return { outcome };
    const mayHaveBeenSent = end !== "not-sent";
    const failure = { isPathFailure, mayHaveBeenSent, isRelayed: relay !== undefined, connectionEnded, sentAt };
    return findFailureOutcome(ctx.upstreamHttp, toTarget(call.pool, grant), failure);
}

/**
 * Declines a grant for an upstream to which nothing may be sent: the owner of the queue may be cut off from the control
 * processes and grant what all others know to be closed. The call is submitted again; if the owner offers the same
 * upstream again, the call is refused.
 */
async function declineGrant(task: CallTask, held: HeldGrant, block: SendBlock): Promise<AttemptOutcome> {
    const { ctx, call, run, progress } = task;
    const { grant } = held;
    const isRepeated = progress.avoid.includes(grant.upstream);
    returnGrant(task, held);
    const { request } = call.head;
    const { pool } = call;
    recordDecline(ctx, { request, pool, grant, block, outcome: isRepeated ? "refused" : "submitted-again" });
    run.recordStep("grant-unused", `${grant.upstream} is ${block.reason}`);
    if (run.isCancelled) return { end: endCancelled(task) };
    if (isRepeated) {
        const detail = "the only upstream that was offered takes no more work";
        const error = new CallError("refused", detail, block.leftMs ?? RETRY_AFTER_LOSS_MS);
        return endOrWait(task, () => failNotRun(task, error));
    }
    progress.avoid.push(grant.upstream);
    return {};
}

function makeAttempt(task: CallTask, { ticketId, grant }: HeldGrant, silence: SilenceWatch): Attempt {
    const { ctx, call, run, answer, progress: { stream } } = task;
    const tokensPerEvent = tokensPerEventOf(ctx, call);
    return { call, grant, run, answer, stream, required: requiredSoftware(task), silence, ticketId, tokensPerEvent };
}

function decideNext(task: CallTask, end: AttemptEnd): NextStep {
    const { call, progress } = task;
    const { kind, resumable, attempts } = call.route;
    const { begun, tries, stream, hasMoved: mayWait } = progress;
    const isSoftwareKnown = stream.eventCount === 0 || stream.startedBy !== undefined;
    const tryTakeRepeat = (): boolean => tryReserveRepeat(task, end);
    return chooseNextStep({ end, kind, resumable, isSoftwareKnown, begun, attempts, tries, mayWait, tryTakeRepeat });
}

/** Reserves the repeat that follows an attempt. */
function tryReserveRepeat(task: CallTask, end: AttemptEnd): boolean {
    const { ctx, call } = task;
    const permit = ctx.repeats.tryReserve(call.pool);
    if (!permit) {
        recordRepeatDenied(task, end);
        return false;
    }
    holdPermit(task, permit);
    recordRepeatDecided(task, end);
    return true;
}

function recordAttempt(
    task: CallTask,
    { grant, relay, connection, reply }: Attempt,
    { end, detail, failure, connectionEnded, isPathFailure }: Extract<AttemptResult, { kind: "ended"; }>,
): void {
    const { ctx, call, run, progress } = task;
    const { upstream } = grant;
    if (end !== "not-sent" && end !== "refused") progress.begun++;
    const sentBefore = progress.sentTo.filter(earlier => earlier === upstream).length;
    if (end !== "not-sent") {
        progress.sentTo.push(upstream);
        progress.lastSentEnd = end;
    }
    if (end === "refused") progress.refusals++;
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
        sentBefore,
        connectionUses: connection?.earlierRequests,
        sentOnConnection: connection?.hasCarried,
        status: reply?.status,
        names: reply?.names,
        statesNotRun: reply?.statesNotRun,
        tries,
        begun,
        attempts: route.attempts,
        ...describeBudget(readBudget(task), "budget"),
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
function outcomeOf(result: AttemptResult, run: RunningRequest, idleMs: number): GrantEnd["outcome"] {
    if (result.kind === "answered") return "answered";
    if (run.cancelReason === "caller-gone") return idleMs >= UNRESPONSIVE_AFTER_MS ? "failed" : "cancelled";
    if (run.cancelReason === "stopping") return "cancelled";
    if (result.isUnsendable) return "unused";
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
    if (run.cancelReason === "stopping") return sendError(task, makeStoppingError(progress.begun > 0));
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
    if (isTruncated) return end;
    const { tries, refusals } = progress;
    const notRun = err.notRun ? { refusals, unsent: tries - refusals } : undefined;
    return { ...end, retryAfterMs: err.retryAfterMs, notRun };
}

function makeCallEnd(outcome: string, status: number, { tries, stream, software, relay }: CallProgress): CallEnd {
    return { outcome, status, attempts: tries, stream, software, relay };
}
