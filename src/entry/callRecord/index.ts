import { Either, Left, Right } from "purify-ts";
import { WorkspaceId } from "../../ids/index.js";
import { BeginCallResult, CallAnswer, FinishCallCommand } from "../../ledger/index.js";
import { RunningRequest } from "../../request/index.js";
import { UsageSum } from "../../usage/index.js";
import { PeerIdentity } from "../../wire/index.js";
import { CallerError } from "../callerError/index.js";
import { EntryContext } from "../entryContext/index.js";
import { CallIdentity } from "../prepareService/index.js";

/** A record that this request has open, or the answer that an earlier one got. */
export type OpenedCall =
    | { readonly kind: "opened"; readonly record: CallRecord; }
    | { readonly kind: "answered"; readonly answer: CallAnswer; };

const JOIN_PAUSE_MS = 100;
const RETRY_JOIN_MS = 1_000;
const RETRY_CONTROL_MS = 1_000;
/** Ten minutes: longer than control processes are without a majority. */
const FINISH_TRIES = 1_200;
const FINISH_PAUSE_MS = 500;

/**
 * The record of one non-repeatable call in the control log.
 *
 * Guards against a call that runs twice: a caller that lost its answer sends the call again through another host, while
 * the first may be queued, running, or done. The record is committed before the call may leave, and only the request that
 * opened it sends the call; all others join it. A host that ends in between leaves the record "unknown", which
 * nobody opens again.
 */
export class CallRecord {
    constructor(
        private readonly ctx: EntryContext,
        private readonly workspace: WorkspaceId,
        private readonly call: CallIdentity,
        private readonly run: RunningRequest,
    ) {}

    /**
     * Closes the record. When the control log can't be reached this goes on in the background: until it is done, a resend
     * finds the call running, and never runs it again.
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
        void this.keepTrying(command);
    }

    private describeUsage(): UsageSum {
        const { workspace, pool, className } = this.run.identity;
        const line = { workspace, pool, class: className, requests: 1, prompt_tokens: 0, completion_tokens: 0 };
        return { window: this.ctx.meter.presentWindow(), line };
    }

    private async keepTrying(command: FinishCallCommand): Promise<void> {
        for (let i = 0; i < FINISH_TRIES; i++) {
            await this.ctx.clock.sleep(FINISH_PAUSE_MS);
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
 * Opens the record of a call, or joins the one that is there and waits for its answer.
 *
 * @param maxWaitMs - How long to wait for the answer of a call that runs already.
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
            // The record may have been opened all the same; nothing was sent, so it can go.
            void record.finish("not-run");
            return Left(
                new CallerError(
                    503,
                    "control-unreachable",
                    "the call could not be recorded",
                    "not-run",
                    RETRY_CONTROL_MS,
                ),
            );
        }
        const result = begun.extract() as BeginCallResult;
        if (result.state === "opened") return Right({ kind: "opened", record });
        if (result.state === "answered") return Right({ kind: "answered", answer: result.answer });
        if (result.state !== "running") return Left(joinError(result.state));
        if (run.ageMs() >= maxWaitMs || run.isCancelled) return Left(stillRunning());
        run.note("joined", `${result.request} on ${result.host}`);
        await ctx.clock.sleep(JOIN_PAUSE_MS);
    }
}

function joinError(state: "unknown" | "mismatch"): CallerError {
    if (state === "mismatch") {
        return new CallerError(422, "idempotency-key-reused", "the idempotency key came before with another call");
    }
    const message = "the call with this idempotency key may have run, and its answer is lost; it is not run again";
    return new CallerError(409, "outcome-unknown", message, "unknown");
}

function stillRunning(): CallerError {
    const message = "the call with this idempotency key is still under way; send it again to get its answer";
    return new CallerError(409, "still-running", message, "unknown", RETRY_JOIN_MS);
}
