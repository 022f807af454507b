import { KeyHash, PoolId, RequestId } from "../../ids/index.js";
import { HttpRequest } from "../../ports/index.js";
import { Outcome } from "../../protocol/index.js";
import { RunningRequest } from "../../request/index.js";
import { ClassView, WorkspaceView } from "../../workspace/index.js";
import { EntryContext } from "../entryContext/index.js";

/** Identity of a validated request, its workspace and its service class. */
export interface TrackedRequest {
    readonly id: RequestId;
    readonly keyHash: KeyHash;
    readonly workspace: WorkspaceView;
    readonly classView: ClassView;
    readonly pool: PoolId;
}

/** Result of a request. */
export interface RequestResult {
    readonly outcome: Outcome;
    /** Number of tokens of its answer. */
    readonly tokens: number;
}

/**
 * Runs a request that is registered while it runs: it is cancelled when its caller disconnects or its key is withdrawn, and its
 * result is recorded, counted and logged.
 *
 * @param work - Runs the request to its final answer.
 */
export async function trackRequest(
    ctx: EntryContext,
    req: HttpRequest,
    { id, keyHash, workspace, classView, pool }: TrackedRequest,
    work: (run: RunningRequest) => Promise<RequestResult>,
): Promise<void> {
    const identity = { id, keyHash, workspace: workspace.id, className: classView.name, tier: classView.tier, pool };
    const run = new RunningRequest(identity, ctx.clock);
    ctx.requests.add(run);
    req.closed.addEventListener("abort", () => run.cancel("caller-gone"));
    // The key may have been withdrawn while the body was read.
    if (!ctx.control.findWorkspace(keyHash)) run.cancel("key-withdrawn");
    try {
        recordEnd(ctx, run, await work(run));
    }
    finally {
        ctx.requests.finish(run);
    }
}

function recordEnd(ctx: EntryContext, run: RunningRequest, { outcome, tokens }: RequestResult): void {
    const { id, workspace, className, pool } = run.identity;
    const tags = { workspace, class: className };
    run.recordEnd(outcome);
    ctx.metrics.histogram("total_ms", run.ageMs(), tags);
    ctx.metrics.count("requests", 1, { ...tags, outcome });
    ctx.logger.info("request-ended", { request: id, ...tags, pool, outcome, tokens, ms: Math.round(run.ageMs()) });
}
