import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Either, Left, Right } from "purify-ts";
import { Completion, Grant, Ticket } from "../../dispatch/index.js";
import { PoolNumberings } from "../../eventStream/index.js";
import { ClassName, KeyHash, PoolId, RequestId, UpstreamId, WorkspaceId } from "../../ids/index.js";
import { SilentLogger } from "../../logging/index.js";
import { NoMetrics } from "../../metrics/index.js";
import { HeldBytes, HttpError, HttpReply, VirtualClock } from "../../ports/index.js";
import { RunningRequest } from "../../request/index.js";
import { CallAnswer } from "../callAnswer/index.js";
import { CallContext } from "../callContext/index.js";
import { NativeDialect } from "../nativeDialect/index.js";
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

/** A dependency of a call, by name, and its methods. */
type Dependencies = Record<string, Record<string, (...args: never[]) => unknown>>;

/** Makes one call of a method throw, of all calls of all methods of some dependencies. */
class ThrowingSteps {
    private steps = 0;
    thrownIn: string | undefined;

    /** @param throwsAt - Number of the call that throws, from 1. */
    constructor(private readonly throwsAt: number) {}

    wrap<Wrapped extends object>(name: string, dependency: Wrapped): Wrapped {
        return new Proxy(dependency, {
            get: (target, property) => {
                const value: unknown = Reflect.get(target, property);
                if (typeof value !== "function") return value;
                return (...args: unknown[]): unknown => {
                    if (++this.steps === this.throwsAt) {
                        this.thrownIn = `${name}.${String(property)}`;
                        throw new Error(`by the test, in ${this.thrownIn}`);
                    }
                    return Reflect.apply(value as () => unknown, target, args);
                };
            },
        });
    }
}

const STREAM_HEADERS = [["transfer-encoding", "chunked"], ["content-type", "text/event-stream"], [
    "x-sequoiamux-request",
    REQUEST,
], [
    "x-sequoiamux-signature",
    "u",
]] as const;

/** What the upstream does in each try: breaks off within the stream, answers with a failure, or serves the call. */
const UPSTREAM_REPLIES: readonly (() => Either<HttpError, HttpReply>)[] = [
    () => Right(makeReply(200, ["id: 1\ndata: a\n\n", "id: 2\nda"])),
    () => Left(new HttpError("closed", true, "by the test")),
    () => Right(makeReply(200, ["id: 2\ndata: b\n\n"])),
];

function makeReply(status: number, parts: readonly string[]): HttpReply {
    const body = (async function*(): AsyncGenerator<Uint8Array> {
        for (const part of parts) yield Buffer.from(part);
    })();
    return { status, headers: STREAM_HEADERS, body, reset: () => undefined };
}

/** Runs a call that is resumed twice; one step throws. Returns what was not given back. */
async function playWithError(throwsAt: number): Promise<{ thrownIn?: string; open: string[]; reserved: number; }> {
    const clock = new VirtualClock();
    const repeats = new RepeatBudget(clock, { ratio: 0.2, windowMs: WINDOW_MS, slack: 50 }, () => 1);
    await clock.advance(WINDOW_MS);
    for (let i = 0; i < 50; i++) repeats.recordRequest(POOL);
    const steps = new ThrowingSteps(throwsAt);
    const open = new Map<string, string>();
    let tickets = 0;
    let sends = 0;
    const dependencies: Dependencies = {
        random: { id: () => `ticket-${++tickets}` },
        metrics: new NoMetrics() as never,
        logger: new SilentLogger() as never,
        view: { routes: () => undefined, isFresh: () => true },
        upstreamHttp: {
            send: async () => UPSTREAM_REPLIES[sends++](),
            findFailureCause: async () => "upstream",
            hadLostPath: () => false,
        },
        sendGuard: { findBlock: () => undefined, recordAnswer: () => undefined },
        software: { find: () => "1", isMixed: () => false, hasOther: () => true },
        crashes: {
            quarantineLeftMs: () => undefined,
            recordConnectionEnd: () => undefined,
            recordServed: () => undefined,
        },
        parts: { findQuarantine: () => undefined, recordUnanswered: () => undefined, recordBegun: () => undefined },
        durations: { usualMs: () => undefined },
        time: { now: () => 0 },
        starts: { recordStart: () => 1 },
        streams: { record: () => 1, report: () => undefined },
        durability: { waitDurable: async () => undefined },
        dialect: new NativeDialect() as never,
        answer: {
            write: async () => undefined,
            sendHead: () => undefined,
            end: () => undefined,
            sendError: () => undefined,
        },
    };
    const wrapped = Object.fromEntries(
        Object.entries(dependencies).map(([name, each]) => [name, steps.wrap(name, each)]),
    );
    const ctx = {
        ...wrapped,
        clock,
        repeats,
        numberings: new PoolNumberings(),
        heldBytes: new HeldBytes(),
        dispatcher: {
            submit: async ({ request }: Ticket) => {
                open.set(request, `u${open.size + 1}`);
                return Right({ upstream: open.get(request) as UpstreamId, waitedMs: 0, priority: 0 } as Grant);
            },
            complete: ({ request, upstream }: Completion) => {
                if (open.get(request) === upstream) open.delete(request);
            },
            progress: () => undefined,
        },
        timeLeftMs: () => Number.POSITIVE_INFINITY,
    } as unknown as CallContext;
    const now = clock.monotonic();
    const route = {
        name: "letters",
        kind: "stream",
        resumable: true,
        attempts: 5,
        targetMs: 100,
        gapMs: 100,
        timeoutMs: 1_000,
    };
    const head = { request: REQUEST, parts: [], headers: [], promptTokens: 0, maxTokens: 0 };
    const times = { arrivedAt: now, deadlineAt: now + DEADLINE_MS };
    const call = {
        route,
        head,
        pool: POOL,
        body: Buffer.alloc(0),
        method: "GET",
        path: "/",
        sharedParts: [],
        ...times,
    };
    const identity = { id: REQUEST, workspace: "" as WorkspaceId, className: "letters" as ClassName, pool: POOL };
    const run = new RunningRequest({ ...identity, tier: 0, keyHash: "k" as KeyHash }, clock);
    const ended = runCall(ctx, call as unknown as PreparedCall, run, wrapped.answer as unknown as CallAnswer);
    await clock.runUntil(ended.catch(() => undefined), DEADLINE_MS);
    await clock.advance(1_000);
    return { thrownIn: steps.thrownIn, open: [...open.keys()], reserved: repeats.describe(POOL).reserved };
}

describe("runCall", () => {
    describe("an error that no code expects", () => {
        it("keeps no grant and no permit, whichever step throws", async () => {
            // Failure: the slot of a call counts as taken for good, and as many errors as there are slots end the service of a pool.
            const thrownIn: string[] = [];
            for (let throwsAt = 1;; throwsAt++) {
                const { open, reserved, ...played } = await playWithError(throwsAt);
                assert.deepEqual({ open, reserved }, { open: [], reserved: 0 }, played.thrownIn);
                if (played.thrownIn === undefined) break;
                thrownIn.push(played.thrownIn);
            }
            const steps = [
                "upstreamHttp.send",
                "dialect.writeHead",
                "dialect.readReply",
                "answer.write",
                "metrics.count",
            ];
            for (const step of steps) assert.ok(thrownIn.includes(step), step);
        });
    });

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
