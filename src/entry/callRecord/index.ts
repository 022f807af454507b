import { Either, Left, Right } from "purify-ts";
import { WorkspaceId } from "../../ids/index.js";
import { BeginCallResult, CallAnswer, FinishCallCommand } from "../../ledger/index.js";
import { RunningRequest } from "../../request/index.js";
import { UsageSum } from "../../usage/index.js";
import { PeerIdentity } from "../../wire/index.js";
import { CallerError } from "../callerError/index.js";
import { EntryContext } from "../entryContext/index.js";
import { CallIdentity } from "../prepareService/index.js";

/** Result of `openCall`: a record opened by this request, or the recorded answer of an earlier one. */
export type OpenedCall =
    | { readonly kind: "opened"; readonly record: CallRecord; }
    | { readonly kind: "answered"; readonly answer: CallAnswer; };

/** Interval at which a request that joined a running call checks for its answer, in milliseconds. */
const JOIN_POLL_MS = 100;
const JOIN_RETRY_AFTER_MS = 1_000;
const CONTROL_RETRY_AFTER_MS = 1_000;
/** Ten minutes of attempts: longer than the control processes are without a majority. */
const MAX_FINISH_ATTEMPTS = 1_200;
const FINISH_RETRY_DELAY_MS = 500;

/**
 * The record of one non-repeatable call in the control log.
 *
 * Prevents a call from running twice: a caller that lost its answer resends the call through another host, while the first
 * request may be queued, running, or done. The record is committed before the call may be sent, and only the request that opened it
 * sends the call; all others join it. If the host ends in between, the record becomes "unknown" and is never opened
 * again.
 */
export class CallRecord {
    constructor(
        private readonly ctx: EntryContext,
        private readonly workspace: WorkspaceId,
        private readonly call: CallIdentity,
        private readonly run: RunningRequest,
    ) {}

    /**
     * Closes the record. While the control log can't be reached, this is retried in the background; until it succeeds, a
     * resend finds the call running and does not run it again.
     */
    async finish(outcome: FinishCallCommand["outcome"], answer?: CallAnswer): Promise<void> {
        const command: FinishCallCommand = {
            kind: "call.finish",
            workspace: this.workspace,
            key: this.call.key,
            request: this.run.identity.id,
            outcome,
            answer,
            usage: outcome === "answered" ? this.describeUsage() : undefined,
        };
        if (await this.tryFinish(command)) return;
        this.ctx.logger.warn("call-record-late", { request: this.run.identity.id, outcome });
        void this.retryFinish(command);
    }

    private describeUsage(): UsageSum {
        const { workspace, pool, className } = this.run.identity;
        const line = { workspace, pool, class: className, requests: 1, prompt_tokens: 0, completion_tokens: 0 };
        return { window: this.ctx.meter.currentWindow(), line };
    }

    private async retryFinish(command: FinishCallCommand): Promise<void> {
        for (let i = 0; i < MAX_FINISH_ATTEMPTS; i++) {
            await this.ctx.clock.sleep(FINISH_RETRY_DELAY_MS);
            if (await this.tryFinish(command)) return;
        }
        this.ctx.logger.error("call-record-left-open", { request: this.run.identity.id });
    }

    private async tryFinish(command: FinishCallCommand): Promise<boolean> {
        const result = await this.ctx.control.command(command, this.ctx.limits.commandMs);
        return result.isRight();
    }
}

/**
 * Opens the record of a call, or joins the existing one and waits for its answer.
 *
 * @param maxWaitMs - Maximum age of the request while it waits for the answer of a call that is already running, in milliseconds.
 */
export async function openCall(
    ctx: EntryContext,
    workspace: WorkspaceId,
    call: CallIdentity,
    run: RunningRequest,
    self: PeerIdentity,
    maxWaitMs: number,
): Promise<Either<CallerError, OpenedCall>> {
    const record = new CallRecord(ctx, workspace, call, run);
    for (;;) {
        const begun = await ctx.control.command({
            kind: "call.begin",
            workspace,
            key: call.key,
            digest: call.digest,
            request: run.identity.id,
            host: self.host,
            incarnation: self.incarnation,
        }, ctx.limits.commandMs);
        if (begun.isLeft()) {
            // The record may have been opened nevertheless. Nothing was sent, so it can be closed as not run.
            void record.finish("not-run");
            return Left(
                new CallerError(
                    503,
                    "control-unreachable",
                    "the call could not be recorded",
                    "not-run",
                    CONTROL_RETRY_AFTER_MS,
                ),
            );
        }
        const result = begun.extract() as BeginCallResult;
        if (result.state === "opened") return Right({ kind: "opened", record });
        if (result.state === "answered") return Right({ kind: "answered", answer: result.answer });
        if (result.state !== "running") return Left(joinError(result.state));
        if (run.ageMs() >= maxWaitMs || run.isCancelled) return Left(stillRunningError());
        run.recordStep("joined", `${result.request} on ${result.host}`);
        await ctx.clock.sleep(JOIN_POLL_MS);
    }
}

function joinError(state: "unknown" | "mismatch"): CallerError {
    if (state === "mismatch") {
        return new CallerError(422, "idempotency-key-reused", "the idempotency key came before with another call");
    }
    const message = "the call with this idempotency key may have run, and its answer is lost; it is not run again";
    return new CallerError(409, "outcome-unknown", message, "unknown");
}

function stillRunningError(): CallerError {
    const message = "the call with this idempotency key is still under way; send it again to get its answer";
    return new CallerError(409, "still-running", message, "unknown", JOIN_RETRY_AFTER_MS);
}
