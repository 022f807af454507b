import { Completion, Grant, Refusal, Ticket } from "../../dispatch/index.js";
import { HostId, UpstreamId } from "../../ids/index.js";
import { EngineUsage, Outcome } from "../../protocol/index.js";
import { CallerError } from "../callerError/index.js";
import { ChatSink } from "../chatSink/index.js";
import { EngineEnd, EngineStreamError } from "../engineStream/index.js";
import { EntryContext } from "../entryContext/index.js";
import { PreparedChat } from "../prepareChat/index.js";
import { toRefusalError } from "../refusalError/index.js";
import { CancelReason, RunningRequest } from "../runningRequest/index.js";
import { ChatAttempt, sendChat } from "../sendChat/index.js";

const RETRY_AFTER_FAILURE_MS = 1_000;

/** How a chat ended. */
export interface ChatEnd {
    readonly outcome: Outcome;
    /** Prompt and completion tokens that its workspace is billed for. */
    readonly billedTokens: number;
}

/** How a chat stands between its attempts. */
interface ChatState {
    readonly avoid: UpstreamId[];
    attempts: number;
    mayHaveRun: boolean;
    firstTokenAtMs?: number;
}

/**
 * Brings a chat to its final answer: waits for a grant, streams from the upstream, and after a failure, a stall or a preemption goes
 * on elsewhere with the next token.
 *
 * Guards against a retry storm: attempts beyond the first come out of a budget that grows with first attempts, so that a
 * pool that fails as a whole gets little more work than before.
 */
export async function runChat(
    ctx: EntryContext,
    prepared: PreparedChat,
    run: RunningRequest,
    sink: ChatSink,
    self: HostId,
): Promise<ChatEnd> {
    const state: ChatState = { avoid: [], attempts: 0, mayHaveRun: false };
    for (;;) {
        run.beginAttempt();
        const decision = await ctx.dispatcher.submit(makeTicket(prepared, run, sink, state, self), run.signal);
        if (decision.isLeft()) {
            return failChat(ctx, prepared, run, sink, refusalFor(run, decision.extract() as Refusal, state));
        }
        const grant = decision.extract() as Grant;
        run.noteGrant(grant);
        ctx.metrics.histogram("wait_ms", grant.waitedMs, tagsOf(run));
        const attempt = await runAttempt(ctx, prepared, run, grant, sink, state);
        if (attempt.result.isRight()) {
            return finishChat(ctx, run, sink, state, attempt.result.extract() as EngineEnd);
        }
        const err = attempt.result.extract() as EngineStreamError;
        run.note("attempt-failed", `${grant.upstream} with ${sink.tokens} tokens delivered: ${err.message}`);
        if (run.isCancelled) return failChat(ctx, prepared, run, sink, cancelError(run.cancelReason!, state));
        if (run.cancelReason === "preempted") continue;
        if (err.reason === "rejected") return failChat(ctx, prepared, run, sink, rejectedError(err));
        state.avoid.push(grant.upstream);
        if (state.attempts < ctx.limits.attempts && ctx.retries.tryTake(true)) continue;
        return failChat(ctx, prepared, run, sink, upstreamError(state));
    }
}

async function runAttempt(
    ctx: EntryContext,
    prepared: PreparedChat,
    run: RunningRequest,
    grant: Grant,
    sink: ChatSink,
    state: ChatState,
): Promise<ChatAttempt> {
    if (state.attempts++ === 0) ctx.retries.noteFirstAttempt();
    const sentAtMs = run.ageMs();
    const attempt = await sendChat(ctx, prepared, run, grant, sink);
    state.mayHaveRun ||= attempt.mayHaveRun;
    if (attempt.firstTokenMs !== undefined && state.firstTokenAtMs === undefined) {
        const firstAtMs = sentAtMs + attempt.firstTokenMs;
        run.history.firstTokenMs = firstAtMs;
        state.firstTokenAtMs = firstAtMs;
        ctx.metrics.histogram("first_token_ms", firstAtMs, tagsOf(run));
    }
    if (attempt.tokenMs !== undefined) ctx.metrics.histogram("token_ms", attempt.tokenMs, tagsOf(run));
    ctx.dispatcher.complete(describeAttempt(run, grant, attempt, prepared));
    return attempt;
}

function describeAttempt(run: RunningRequest, grant: Grant, attempt: ChatAttempt, prepared: PreparedChat): Completion {
    const usage = attempt.result.map(end => end.usage).toMaybe().extract() as EngineUsage | undefined;
    const stopped = run.cancelReason !== undefined && run.cancelReason !== "stalled";
    const failed = stopped ? "cancelled" : "failed";
    return {
        request: run.identity.id,
        upstream: grant.upstream,
        outcome: attempt.result.isRight() ? "answered" : failed,
        firstTokenMs: attempt.firstTokenMs,
        tokenMs: attempt.tokenMs,
        promptTokens: usage?.prompt_tokens ?? prepared.promptTokens,
        cachedTokens: usage?.cached_tokens ?? 0,
        completionTokens: attempt.tokens,
    };
}

function makeTicket(
    prepared: PreparedChat,
    run: RunningRequest,
    sink: ChatSink,
    state: ChatState,
    self: HostId,
): Ticket {
    const { classView, workspace } = prepared;
    return {
        request: run.identity.id,
        origin: self,
        workspace: workspace.id,
        className: classView.name,
        tier: classView.tier,
        weight: workspace.weight,
        pool: prepared.pool,
        promptTokens: prepared.promptTokens,
        maxTokens: prepared.maxTokens,
        firstTokenMs: classView.firstTokenMs,
        tokenMs: classView.tokenMs,
        maxWaitMs: classView.maxWaitMs,
        guaranteedShare: classView.guaranteedShare,
        ageMs: run.ageMs(),
        prefixes: prepared.prefixes,
        resumable: true,
        repeatable: true,
        avoid: state.avoid,
        resumeOffset: sink.tokens,
    };
}

/** The usage is on another host before the caller sees the last event. */
async function finishChat(
    ctx: EntryContext,
    run: RunningRequest,
    sink: ChatSink,
    state: ChatState,
    end: EngineEnd,
): Promise<ChatEnd> {
    await recordUsage(ctx, run, end.usage.prompt_tokens, sink.tokens);
    const cached_tokens = state.attempts === 1 ? end.usage.cached_tokens : 0;
    sink.finish(end.finishReason, { ...end.usage, completion_tokens: sink.tokens, cached_tokens });
    return { outcome: "answered", billedTokens: end.usage.prompt_tokens + sink.tokens };
}

/** A caller that got part of a streamed answer is billed for that part. */
async function failChat(
    ctx: EntryContext,
    prepared: PreparedChat,
    run: RunningRequest,
    sink: ChatSink,
    err: CallerError,
): Promise<ChatEnd> {
    sink.fail(err);
    if (sink.delivered === 0) return { outcome: err.outcome, billedTokens: 0 };
    await recordUsage(ctx, run, prepared.promptTokens, sink.delivered);
    return { outcome: err.outcome, billedTokens: prepared.promptTokens + sink.delivered };
}

function recordUsage(ctx: EntryContext, run: RunningRequest, promptTokens: number, tokens: number): Promise<void> {
    const { workspace, pool, className } = run.identity;
    return ctx.meter.record({
        workspace,
        pool,
        class: className,
        requests: 1,
        prompt_tokens: promptTokens,
        completion_tokens: tokens,
    });
}

function refusalFor(run: RunningRequest, refusal: Refusal, state: ChatState): CallerError {
    run.noteRefusal(refusal.reason, refusal.detail);
    if (run.isCancelled) return cancelError(run.cancelReason!, state);
    return toRefusalError(refusal, outcomeOf(state));
}

function cancelError(reason: CancelReason, state: ChatState): CallerError {
    if (reason === "key-withdrawn") {
        return new CallerError(
            401,
            "key-withdrawn",
            "the key was withdrawn while the request was under way",
            outcomeOf(state),
        );
    }
    const message = reason === "stopping" ? "this host stopped before the answer was whole" : "the caller has gone";
    return new CallerError(503, reason, message, outcomeOf(state), RETRY_AFTER_FAILURE_MS);
}

function rejectedError(err: EngineStreamError): CallerError {
    return new CallerError(
        400,
        "upstream-rejected",
        `the engine does not take this request (${err.message})`,
        "partly-run",
    );
}

function upstreamError(state: ChatState): CallerError {
    const message = `${state.attempts} upstreams failed`;
    return new CallerError(502, "upstream-failed", message, outcomeOf(state), RETRY_AFTER_FAILURE_MS);
}

/** "Not run" is said only while no byte of any attempt can have left. */
function outcomeOf(state: ChatState): Outcome {
    return state.mayHaveRun ? "partly-run" : "not-run";
}

function tagsOf(run: RunningRequest): { workspace: string; class: string; } {
    return { workspace: run.identity.workspace, class: run.identity.className };
}
