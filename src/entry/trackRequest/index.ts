import { KeyHash, PoolId, RequestId } from "../../ids/index.js";
import { HttpRequest } from "../../ports/index.js";
import { Outcome } from "../../protocol/index.js";
import { RunningRequest } from "../../request/index.js";
import { ClassView, WorkspaceView } from "../../workspace/index.js";
import { EntryContext } from "../entryContext/index.js";

/** What is known of a request that was found good. */
export interface TrackedRequest {
    readonly id: RequestId;
    readonly keyHash: KeyHash;
    readonly workspace: WorkspaceView;
    readonly classView: ClassView;
    readonly pool: PoolId;
}

/** What became of a request. */
export interface RequestEnd {
    readonly outcome: Outcome;
    /** Tokens of its answer. */
    readonly tokens: number;
}

/**
 * Runs a request under the registry's eyes: it is cancelled when its caller goes or its key is withdrawn, and its end is
 * noted, counted and logged.
 *
 * @param work - Brings the request to its final answer.
 */
export async function trackRequest(
    ctx: EntryContext,
    req: HttpRequest,
    { id, keyHash, workspace, classView, pool }: TrackedRequest,
    work: (run: RunningRequest) => Promise<RequestEnd>,
): Promise<void> {
    const identity = { id, keyHash, workspace: workspace.id, className: classView.name, tier: classView.tier, pool };
    const run = new RunningRequest(identity, ctx.clock);
    ctx.requests.add(run);
    req.closed.addEventListener("abort", () => run.cancel("caller-gone"));
    // The key may have been withdrawn while the body was read.
    if (!ctx.control.findWorkspace(keyHash)) run.cancel("key-withdrawn");
    try {
        noteEnd(ctx, run, await work(run));
    }
    finally {
        ctx.requests.finish(run);
    }
}

function noteEnd(ctx: EntryContext, run: RunningRequest, { outcome, tokens }: RequestEnd): void {
    const { id, workspace, className, pool } = run.identity;
    const tags = { workspace, class: className };
    run.noteEnd(outcome);
    ctx.metrics.histogram("total_ms", run.ageMs(), tags);
    ctx.metrics.count("requests", 1, { ...tags, outcome });
    ctx.logger.info("request-ended", { request: id, ...tags, pool, outcome, tokens, ms: Math.round(run.ageMs()) });
}
