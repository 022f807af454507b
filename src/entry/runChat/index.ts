import {
    Completion,
    CompletionOutcome,
    findFailureOutcome,
    Grant,
    GrantScope,
    Refusal,
    Ticket,
    toTarget,
} from "../../dispatch/index.js";
import { HostId, SoftwareVersion, UpstreamId } from "../../ids/index.js";
import { EngineUsage, Outcome } from "../../protocol/index.js";
import { RunningRequest } from "../../request/index.js";
import { HoldLimits } from "../../usage/index.js";
import { CallerError } from "../callerError/index.js";
import { ChatSink } from "../chatSink/index.js";
import { checkGrant } from "../checkGrant/index.js";
import { EngineStreamEnd, EngineStreamError } from "../engineStream/index.js";
import { EntryContext } from "../entryContext/index.js";
import { PreparedChat } from "../prepareChat/index.js";
import { makeCancelError, makeQuarantineError, makeRejectionError, makeUpstreamError } from "../requestErrors/index.js";
import { ChatAttempt, sendChat } from "../sendChat/index.js";
import { toRefusalError } from "../toRefusalError/index.js";

/** Result of a chat. */
export interface ChatResult {
    readonly outcome: Outcome;
    /** Number of prompt and completion tokens billed to the workspace. */
    readonly billedTokens: number;
}

/** Options of `runChat`. */
export interface ChatOptions {
    readonly ctx: EntryContext;
    readonly prepared: PreparedChat;
    readonly run: RunningRequest;
    readonly sink: ChatSink;
    /** The host that holds the caller's connection. */
    readonly self: HostId;
}

/**
 * Runs a chat to its final answer: waits for a grant, streams from the upstream, and after a failure, a stall or a
 * preemption continues on another upstream with the next token.
 *
 * @example
 * const { outcome } = await runChat({ ctx, prepared, run, sink, self });
 */
export async function runChat(options: ChatOptions): Promise<ChatResult> {
    const grants = new GrantScope(options.ctx.dispatcher);
    const task = new ChatTask({ ...options, ctx: { ...options.ctx, dispatcher: grants } });
    try {
        return await task.run();
    }
    finally {
        grants.close();
        task.releaseAttempt();
    }
}

class ChatTask {
    /** Upstreams that failed this chat. */
    private readonly avoid: UpstreamId[] = [];
    private attemptCount = 0;
    /** Number of attempts that were stopped for more urgent requests: they say nothing about their upstreams. */
    private preemptionCount = 0;
    private mayHaveRun = false;
    /** Whether a further attempt has been taken from the budget and not been made. */
    private hasReservedAttempt = false;
    /** Version of the software that began the answer; undefined before its first token, or where it is unknown. */
    private software: SoftwareVersion | undefined;

    constructor(private readonly options: ChatOptions) {}

    async run(): Promise<ChatResult> {
        const { ctx, prepared, run } = this.options;
        for (;;) {
            run.beginAttempt();
            const decision = await ctx.dispatcher.submit(this.makeTicket(), run.signal);
            if (decision.isLeft()) return this.fail(this.describeRefusal(decision.extract() as Refusal));
            const grant = decision.extract() as Grant;
            const leftMs = ctx.crashGuard.quarantineLeftMs(prepared.fingerprint)
                ?? ctx.partGuard.findQuarantine(prepared)?.leftMs;
            if (leftMs !== undefined) return this.releaseUnused(grant, leftMs);
            const check = checkGrant(ctx, run, grant, this.avoid, this.failureOutcome(), this.software);
            if (check === "declined") continue;
            if (check !== "usable") return this.fail(check);
            const attempt = await this.attempt(grant);
            if (attempt.result.isRight()) return this.finish(attempt.result.extract() as EngineStreamEnd);
            const err = this.handleFailure(grant, attempt.result.extract() as EngineStreamError);
            if (err) return this.fail(err);
        }
    }

    /** Gives back an attempt that was reserved and not made. */
    releaseAttempt(): void {
        if (this.hasReservedAttempt) this.options.ctx.retryBudget.giveBack();
        this.hasReservedAttempt = false;
    }

    private async attempt(grant: Grant): Promise<ChatAttempt> {
        const { ctx, prepared, run, sink } = this.options;
        run.recordGrant(grant);
        ctx.metrics.histogram("wait_ms", grant.waitedMs, this.tags());
        if (this.attemptCount++ === 0) ctx.retryBudget.recordFirstAttempt();
        const sentAtMs = run.ageMs();
        const tokensBefore = sink.tokens;
        const isStart = tokensBefore === 0;
        const onSilence = (software: SoftwareVersion | undefined): boolean => this.reserveMove(grant, software);
        const attempt = await sendChat(ctx, prepared, run, grant, sink, onSilence, this.software);
        if (isStart) this.software = attempt.software;
        this.mayHaveRun ||= attempt.mayHaveRun;
        this.recordTimes(attempt, sentAtMs);
        this.updateCrashGuards(grant, attempt, sink.tokens > tokensBefore);
        ctx.dispatcher.complete(this.makeCompletion(grant, attempt, await this.findOutcome(grant, attempt)));
        return attempt;
    }

    /** @param hasBegun - Whether tokens came in this attempt. */
    private updateCrashGuards(grant: Grant, { result }: ChatAttempt, hasBegun: boolean): void {
        const { ctx: { crashGuard, partGuard }, prepared } = this.options;
        const { fingerprint, pool } = prepared;
        if (hasBegun) partGuard.recordBegun(prepared);
        result.ifRight(() => crashGuard.recordServed(fingerprint));
        result.ifLeft(({ connectionEnded }) => {
            if (!connectionEnded) return;
            const target = toTarget(pool, grant);
            if (!hasBegun) partGuard.recordUnanswered(prepared, target);
            crashGuard.recordConnectionEnd(fingerprint, target);
        });
    }

    private findOutcome(grant: Grant, attempt: ChatAttempt): Promise<CompletionOutcome> | CompletionOutcome {
        const { ctx, prepared, run } = this.options;
        const outcome = outcomeOf(attempt, run);
        const err = attempt.result.swap().toMaybe().extract();
        if (!err || outcome !== "failed") return { outcome };
        const { connectionEnded, isPathFailure } = err;
        const { mayHaveRun: mayHaveBeenSent, isRelayed, sentAt } = attempt;
        const failure = { isPathFailure, mayHaveBeenSent, isRelayed, connectionEnded, sentAt };
        return findFailureOutcome(ctx.upstreamHttp, toTarget(prepared.pool, grant), failure);
    }

    /** Returns a grant unused because the chat's content was quarantined meanwhile, and fails the chat. */
    private releaseUnused(grant: Grant, leftMs: number): Promise<ChatResult> {
        const { ctx, prepared, run } = this.options;
        ctx.dispatcher.complete({
            request: run.identity.id,
            upstream: grant.upstream,
            outcome: "unused",
            promptTokens: prepared.promptTokens,
            cachedTokens: 0,
            completionTokens: 0,
        });
        return this.fail(makeQuarantineError(leftMs, this.failureOutcome()));
    }

    /**
     * Decides whether to retry after a failed attempt.
     *
     * Prevents retry storms: attempts beyond the first consume a budget that grows with first attempts, so that a pool that
     * fails as a whole gets little more work than before.
     *
     * @returns The final error; undefined to make another attempt.
     */
    private handleFailure(grant: Grant, err: EngineStreamError): CallerError | undefined {
        const { run, sink } = this.options;
        run.recordStep("attempt-failed", `${grant.upstream} with ${sink.tokens} tokens delivered: ${err.message}`);
        if (run.isCancelled) return makeCancelError(run.cancelReason!, this.failureOutcome());
        if (sink.tokens > 0 && this.software === undefined) {
            return makeUpstreamError(this.attemptCount, this.failureOutcome());
        }
        if (run.cancelReason === "preempted") {
            this.preemptionCount++;
            return undefined;
        }
        if (err.reason === "rejected") return makeRejectionError(err);
        this.avoid.push(grant.upstream);
        if (!this.reserveAttempt()) return makeUpstreamError(this.attemptCount, this.failureOutcome());
        this.hasReservedAttempt = false;
        return undefined;
    }

    /**
     * Reserves the attempt with which the chat moves off a silent upstream.
     *
     * Prevents silence from ending an answer: the upstream may go on at any time, and is left only if the chat can go on elsewhere.
     *
     * @param software - Version of the software that began the answer; undefined where none has, or where it is unknown.
     */
    private reserveMove({ upstream }: Grant, software: SoftwareVersion | undefined): boolean {
        const { ctx, prepared, sink } = this.options;
        const isMovable = software === undefined
            ? sink.tokens === 0
            : ctx.software.hasOther(prepared.pool, upstream, software);
        return isMovable && this.reserveAttempt();
    }

    /** Takes a further attempt from the budget, unless one is reserved; false when it must not be made. */
    private reserveAttempt(): boolean {
        const { limits, retryBudget } = this.options.ctx;
        if (this.hasReservedAttempt) return true;
        const mayTryAgain = this.attemptCount - this.preemptionCount < limits.attempts;
        this.hasReservedAttempt = mayTryAgain && retryBudget.tryTake(true);
        return this.hasReservedAttempt;
    }

    private describeRefusal(refusal: Refusal): CallerError {
        const { run } = this.options;
        run.recordRefusal(refusal.reason, refusal.detail);
        if (run.isCancelled) return makeCancelError(run.cancelReason!, this.failureOutcome());
        const isUnfinished = this.software !== undefined && refusal.reason === "no-upstream";
        if (isUnfinished) return makeUpstreamError(this.attemptCount, this.failureOutcome());
        return toRefusalError(refusal, this.failureOutcome());
    }

    /** Completes the answer. The usage is durable before the last event is sent to the caller, unless that takes too long. */
    private async finish({ usage, finishReason }: EngineStreamEnd): Promise<ChatResult> {
        const { run, sink } = this.options;
        run.hasAnswerBegun = true;
        await this.recordUsage(usage.prompt_tokens, sink.tokens);
        // After a resume the engine counts cached tokens of a prompt that includes part of the answer.
        const cached_tokens = this.attemptCount === 1 ? usage.cached_tokens : 0;
        sink.finish(finishReason, { ...usage, completion_tokens: sink.tokens, cached_tokens });
        return { outcome: "answered", billedTokens: usage.prompt_tokens + sink.tokens };
    }

    /** Sends the final error immediately. A caller that received part of a streamed answer is billed for that part. */
    private async fail(err: CallerError): Promise<ChatResult> {
        const { prepared, sink } = this.options;
        const recorded = sink.delivered > 0 && this.recordUsage(prepared.promptTokens, sink.delivered);
        sink.fail(err);
        await recorded;
        if (sink.delivered === 0) return { outcome: err.outcome, billedTokens: 0 };
        return { outcome: err.outcome, billedTokens: prepared.promptTokens + sink.delivered };
    }

    private recordUsage(promptTokens: number, tokens: number): Promise<void> {
        const { workspace, pool, className } = this.options.run.identity;
        const line = {
            workspace,
            pool,
            class: className,
            requests: 1,
            prompt_tokens: promptTokens,
            completion_tokens: tokens,
        };
        return this.options.ctx.meter.record(line, this.describeHoldLimits(tokens));
    }

    /** A chat's objective is the time that its class allows for the first token and for each further one. */
    private describeHoldLimits(tokens: number): HoldLimits {
        const { prepared: { classView }, run } = this.options;
        const objectiveMs = classView.firstTokenMs + tokens * classView.tokenMs;
        return { objectiveLeftMs: objectiveMs - run.ageMs(), deadlineLeftMs: Number.POSITIVE_INFINITY };
    }

    /** Returns "not-run" only while no byte of any attempt can have been sent. */
    private failureOutcome(): Outcome {
        return this.mayHaveRun ? "partly-run" : "not-run";
    }

    private recordTimes({ firstTokenMs, tokenMs }: ChatAttempt, sentAtMs: number): void {
        const { ctx, run } = this.options;
        if (firstTokenMs !== undefined && run.history.firstTokenMs === undefined) {
            run.history.firstTokenMs = sentAtMs + firstTokenMs;
            ctx.metrics.histogram("first_token_ms", run.history.firstTokenMs, this.tags());
        }
        if (tokenMs !== undefined) ctx.metrics.histogram("token_ms", tokenMs, this.tags());
    }

    private tags(): { workspace: string; class: string; } {
        const { workspace, className } = this.options.run.identity;
        return { workspace, class: className };
    }

    private makeCompletion(
        grant: Grant,
        attempt: ChatAttempt,
        { outcome, mayHaveEnded }: CompletionOutcome,
    ): Completion {
        const { ctx, prepared, run } = this.options;
        const isPaceKnown = !ctx.upstreamHttp.hadLostPath(toTarget(prepared.pool, grant), attempt.sentAt);
        const usage = attempt.result.map(end => end.usage).toMaybe().extract() as EngineUsage | undefined;
        return {
            request: run.identity.id,
            upstream: grant.upstream,
            outcome,
            ...(mayHaveEnded ? { mayHaveEnded } : {}),
            firstTokenMs: attempt.firstTokenMs,
            tokenMs: isPaceKnown ? attempt.tokenMs : undefined,
            promptTokens: usage?.prompt_tokens ?? prepared.promptTokens,
            cachedTokens: usage?.cached_tokens ?? 0,
            completionTokens: attempt.tokens,
        };
    }

    private makeTicket(): Ticket {
        const { prepared, run, sink, self } = this.options;
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
            avoid: this.avoid,
            ...(this.software === undefined ? {} : { software: this.software }),
            resumeOffset: sink.tokens,
        };
    }
}

function outcomeOf({ result, isTurnedAway }: ChatAttempt, { cancelReason }: RunningRequest): Completion["outcome"] {
    if (result.isRight()) return "answered";
    if (cancelReason !== undefined && cancelReason !== "stalled") return "cancelled";
    return isTurnedAway ? "refused" : "failed";
}
