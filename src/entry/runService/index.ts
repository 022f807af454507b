import { Completion, findFailureOutcome, Grant, GrantScope, Refusal, Ticket, toTarget } from "../../dispatch/index.js";
import { UpstreamId } from "../../ids/index.js";
import { Outcome } from "../../protocol/index.js";
import { RunningRequest } from "../../request/index.js";
import { PeerIdentity } from "../../wire/index.js";
import { CallerError } from "../callerError/index.js";
import { CallRecord, openCall } from "../callRecord/index.js";
import { checkGrant } from "../checkGrant/index.js";
import { EntryContext } from "../entryContext/index.js";
import { PreparedService } from "../prepareService/index.js";
import { makeCancelError, makeQuarantineError, makeUpstreamError } from "../requestErrors/index.js";
import { sendService, ServiceAnswer, ServiceCallError } from "../sendService/index.js";
import { toRefusalError } from "../toRefusalError/index.js";

/** Final result of a service call. */
export type ServiceResult =
    | { readonly kind: "answer"; readonly answer: ServiceAnswer; readonly replayed: boolean; }
    | { readonly kind: "error"; readonly err: CallerError; };

/**
 * Runs a service call to its final answer. A non-repeatable call is sent only once; any other may be retried on another
 * upstream after a failure.
 */
export async function runService(
    ctx: EntryContext,
    prepared: PreparedService,
    run: RunningRequest,
    self: PeerIdentity,
): Promise<ServiceResult> {
    const grants = new GrantScope(ctx.dispatcher);
    try {
        return await runWith({ ...ctx, dispatcher: grants }, prepared, run, self);
    }
    finally {
        grants.close();
    }
}

async function runWith(
    ctx: EntryContext,
    prepared: PreparedService,
    run: RunningRequest,
    self: PeerIdentity,
): Promise<ServiceResult> {
    if (!prepared.call) return runRepeatable(ctx, prepared, run, self);
    const waitMs = prepared.classView.maxWaitMs;
    const opened = await openCall(ctx, prepared.workspace.id, prepared.call, run, self, waitMs);
    if (opened.isLeft()) return errorResult(opened.extract() as CallerError);
    const call = opened.unsafeCoerce();
    if (call.kind === "answered") return { kind: "answer", answer: call.answer, replayed: true };
    try {
        return await runOnce(ctx, prepared, run, self, call.record);
    }
    catch (err) {
        await call.record.finish("unknown");
        throw err;
    }
}

/** Runs a non-repeatable call. The answer is committed before it is returned, so that a resend gets the same answer. */
async function runOnce(
    ctx: EntryContext,
    prepared: PreparedService,
    run: RunningRequest,
    self: PeerIdentity,
    record: CallRecord,
): Promise<ServiceResult> {
    const avoid: UpstreamId[] = [];
    let failures = 0;
    for (;;) {
        const decision = await ctx.dispatcher.submit(makeTicket(prepared, run, self, avoid), run.signal);
        if (decision.isLeft()) {
            await record.finish("not-run");
            return errorResult(describeRefusal(run, decision.extract() as Refusal, false));
        }
        const grant = decision.extract() as Grant;
        const check = checkGrant(ctx, run, grant, avoid, "not-run");
        if (check === "declined") continue;
        if (check !== "usable") {
            await record.finish("not-run");
            return errorResult(check);
        }
        const blockedBy = checkBeforeSend(ctx, prepared, run);
        if (blockedBy) {
            completeGrant(ctx, run, grant, "unused");
            await record.finish("not-run");
            return errorResult(blockedBy);
        }
        run.mustFinish = true;
        const result = await sendGranted(ctx, prepared, run, grant);
        if (result.isRight()) {
            const answer = result.unsafeCoerce();
            await record.finish("answered", answer);
            return { kind: "answer", answer, replayed: false };
        }
        const err = result.extract() as ServiceCallError;
        if (err.mayHaveRun) {
            await record.finish("unknown");
            return errorResult(lostAnswerError());
        }
        run.mustFinish = false;
        avoid.push(grant.upstream);
        if (++failures < ctx.limits.attempts) continue;
        await record.finish("not-run");
        return errorResult(makeUpstreamError(failures, "not-run"));
    }
}

async function runRepeatable(
    ctx: EntryContext,
    prepared: PreparedService,
    run: RunningRequest,
    self: PeerIdentity,
): Promise<ServiceResult> {
    const avoid: UpstreamId[] = [];
    let mayHaveRun = false;
    let failures = 0;
    ctx.retryBudget.recordFirstAttempt();
    for (;;) {
        const decision = await ctx.dispatcher.submit(makeTicket(prepared, run, self, avoid), run.signal);
        if (decision.isLeft()) return errorResult(describeRefusal(run, decision.extract() as Refusal, mayHaveRun));
        const grant = decision.extract() as Grant;
        const check = checkGrant(ctx, run, grant, avoid, failureOutcome(mayHaveRun));
        if (check === "declined") continue;
        if (check !== "usable") return errorResult(check);
        const leftMs = ctx.crashGuard.quarantineLeftMs(prepared.fingerprint);
        if (leftMs !== undefined) {
            completeGrant(ctx, run, grant, "unused");
            return errorResult(makeQuarantineError(leftMs, failureOutcome(mayHaveRun)));
        }
        const result = await sendGranted(ctx, prepared, run, grant);
        if (result.isRight()) return { kind: "answer", answer: result.unsafeCoerce(), replayed: false };
        mayHaveRun ||= (result.extract() as ServiceCallError).mayHaveRun;
        if (run.isCancelled) return errorResult(cancelError(run, failureOutcome(mayHaveRun)));
        avoid.push(grant.upstream);
        const mayRetry = ++failures < ctx.limits.attempts && ctx.retryBudget.tryTake(true);
        if (!mayRetry) return errorResult(makeUpstreamError(failures, failureOutcome(mayHaveRun)));
    }
}

/** Returns the error for a call that must not be sent, cancelled or quarantined, while no byte of it has been sent; undefined when it may be sent. */
function checkBeforeSend(
    ctx: EntryContext,
    { fingerprint }: PreparedService,
    run: RunningRequest,
): CallerError | undefined {
    if (run.isCancelled) return cancelError(run, "not-run");
    const leftMs = ctx.crashGuard.quarantineLeftMs(fingerprint);
    return leftMs === undefined ? undefined : makeQuarantineError(leftMs, "not-run");
}

async function sendGranted(ctx: EntryContext, prepared: PreparedService, run: RunningRequest, grant: Grant) {
    run.recordGrant(grant);
    ctx.metrics.histogram("wait_ms", grant.waitedMs, {
        workspace: run.identity.workspace,
        class: run.identity.className,
    });
    const sentAt = ctx.clock.monotonic();
    let isRelayed = false;
    const result = await sendService(ctx, prepared, run, grant, () => isRelayed = true);
    const { fingerprint, pool } = prepared;
    const target = toTarget(pool, grant);
    if (result.isRight()) {
        completeGrant(ctx, run, grant, outcomeOf(result.unsafeCoerce()));
        ctx.crashGuard.recordServed(fingerprint);
        return result;
    }
    const { message, mayHaveRun: mayHaveBeenSent, connectionEnded, isPathFailure, isTurnedAway } = result
        .extract() as ServiceCallError;
    run.recordStep("attempt-failed", `${grant.upstream}: ${message}`);
    if (isTurnedAway) {
        completeGrant(ctx, run, grant, "refused");
        return result;
    }
    if (connectionEnded) ctx.crashGuard.recordConnectionEnd(fingerprint, target);
    const failure = { isPathFailure, mayHaveBeenSent, isRelayed, connectionEnded, sentAt };
    const { outcome, mayHaveEnded } = await findFailureOutcome(ctx.upstreamHttp, target, failure);
    completeGrant(ctx, run, grant, outcome, mayHaveEnded);
    return result;
}

function outcomeOf({ isTurnedAway }: ServiceAnswer): Completion["outcome"] {
    return isTurnedAway ? "refused" : "answered";
}

function completeGrant(
    ctx: EntryContext,
    run: RunningRequest,
    grant: Grant,
    outcome: Completion["outcome"],
    mayHaveEnded?: boolean,
): void {
    ctx.dispatcher.complete({
        ...(mayHaveEnded ? { mayHaveEnded } : {}),
        request: run.identity.id,
        upstream: grant.upstream,
        outcome,
        promptTokens: 0,
        cachedTokens: 0,
        completionTokens: 0,
    });
}

function makeTicket(
    { classView, workspace, pool, call }: PreparedService,
    run: RunningRequest,
    self: PeerIdentity,
    avoid: readonly UpstreamId[],
): Ticket {
    return {
        request: run.identity.id,
        origin: self.host,
        workspace: workspace.id,
        className: classView.name,
        tier: classView.tier,
        weight: workspace.weight,
        pool,
        promptTokens: 0,
        maxTokens: 1,
        firstTokenMs: classView.firstTokenMs,
        tokenMs: classView.tokenMs,
        maxWaitMs: classView.maxWaitMs,
        guaranteedShare: classView.guaranteedShare,
        ageMs: run.ageMs(),
        prefixes: [],
        resumable: false,
        repeatable: call === undefined,
        avoid,
        resumeOffset: 0,
    };
}

function errorResult(err: CallerError): ServiceResult {
    return { kind: "error", err };
}

function describeRefusal(run: RunningRequest, refusal: Refusal, mayHaveRun: boolean): CallerError {
    run.recordRefusal(refusal.reason, refusal.detail);
    const outcome = failureOutcome(mayHaveRun);
    return run.isCancelled ? cancelError(run, outcome) : toRefusalError(refusal, outcome);
}

function cancelError(run: RunningRequest, outcome: Outcome): CallerError {
    return makeCancelError(run.cancelReason!, outcome);
}

function failureOutcome(mayHaveRun: boolean): Outcome {
    return mayHaveRun ? "unknown" : "not-run";
}

function lostAnswerError(): CallerError {
    const message = "the call was sent and its answer is lost; it is not run again under this idempotency key";
    return new CallerError(502, "outcome-unknown", message, "unknown");
}
