import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Left, Right } from "purify-ts";
import { Grant } from "../../dispatch/index.js";
import { ClassName, KeyHash, PoolId, RequestId, UpstreamId, WorkspaceId } from "../../ids/index.js";
import { SilentLogger } from "../../logging/index.js";
import { NoMetrics } from "../../metrics/index.js";
import { HttpError, VirtualClock } from "../../ports/index.js";
import { RunningRequest } from "../../request/index.js";
import { CallAnswer } from "../callAnswer/index.js";
import { CallContext } from "../callContext/index.js";
import { PreparedCall } from "../prepareCall/index.js";
import { RepeatBudget } from "../repeatBudget/index.js";
import { runCall } from "./index.js";

const POOL = "ledger" as PoolId;
const REQUEST = "r" as RequestId;
const DEADLINE_MS = 60_000;
const WINDOW_MS = 10_000;

/** What becomes of each try: how long its grant takes, and whether it may have reached its upstream. */
interface ScriptedTry {
    readonly waitMs: number;
    readonly isSent: boolean;
}

/** Runs a call that no upstream answers. */
async function play(tries: readonly ScriptedTry[], slack: number) {
    const clock = new VirtualClock();
    const repeats = new RepeatBudget(clock, { ratio: 0.2, windowMs: WINDOW_MS, slack }, () => 1);
    await clock.advance(WINDOW_MS);
    for (let i = 0; i < 50; i++) repeats.recordRequest(POOL);
    let grants = 0;
    let sends = 0;
    const ctx = {
        clock,
        repeats,
        random: { id: () => `ticket-${grants}` },
        metrics: new NoMetrics(),
        logger: new SilentLogger(),
        view: { routes: () => undefined },
        dialect: { priorityLevels: 1, writeHead: () => [] },
        dispatcher: {
            submit: async () => {
                await clock.sleep(tries[Math.min(grants, tries.length - 1)].waitMs);
                return Right({ upstream: `u${++grants}` as UpstreamId, waitedMs: 0, priority: 0 } as Grant);
            },
            complete: () => undefined,
        },
        upstreamHttp: {
            send: async () => Left(new HttpError("closed", tries[sends++].isSent, "by the test")),
            findFailureCause: async () => "upstream",
            hadLostPath: () => false,
        },
        sendGuard: { findBlock: () => undefined },
        software: { find: () => undefined },
        crashes: { quarantineLeftMs: () => undefined, recordConnectionEnd: () => undefined },
        parts: { findQuarantine: () => undefined, recordUnanswered: () => undefined },
        durations: { usualMs: () => undefined },
        timeLeftMs: () => Number.POSITIVE_INFINITY,
    } as unknown as CallContext;
    const now = clock.monotonic();
    const route = { name: "orders", kind: "idempotent", attempts: 5, targetMs: 100 };
    const head = { request: REQUEST, parts: [], promptTokens: 0, maxTokens: 0 };
    const call = {
        route,
        pool: POOL,
        head,
        body: Buffer.alloc(0),
        method: "GET",
        arrivedAt: now,
        deadlineAt: now + DEADLINE_MS,
    };
    const identity = { id: REQUEST, workspace: "" as WorkspaceId, className: "orders" as ClassName, pool: POOL };
    const run = new RunningRequest({ ...identity, tier: 0, keyHash: "k" as KeyHash }, clock);
    const answer = { sentStatus: undefined, sendError: () => undefined } as unknown as CallAnswer;
    const ended = runCall(ctx, call as unknown as PreparedCall, run, answer);
    const end = await clock.runUntil(ended, DEADLINE_MS);
    return { end, sends, grants, budget: repeats.describe(POOL) };
}

describe("runCall", () => {
    describe("a retry of which nothing was sent", () => {
        it("leaves its permit to the next try, and counts once", async () => {
            const tries = [true, false, true, true, true].map(isSent => ({ waitMs: 0, isSent }));
            const { sends, budget } = await play(tries, 50);
            assert.equal(sends, 5);
            assert.equal(budget.repeats, 3);
            assert.equal(budget.reserved, 0);
        });

        it("ends the call if the permit has lapsed by the next try", async () => {
            // Failure: the call asks for grants without end, since a try that was not sent needs no retry.
            const tries = [
                { waitMs: 0, isSent: true },
                { waitMs: 0, isSent: false },
                { waitMs: WINDOW_MS + 1, isSent: true },
            ];
            const { end, sends, grants, budget } = await play(tries, 0);
            assert.equal(end.outcome, "upstream-lost");
            assert.deepEqual({ sends, grants }, { sends: 2, grants: 3 });
            assert.equal(budget.reserved, 0);
        });
    });
});
