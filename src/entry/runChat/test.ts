import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Either, Right } from "purify-ts";
import {
    AttemptBudget,
    Completion,
    DEFAULT_RETRY_LIMITS,
    Dispatcher,
    Grant,
    NoSendGuard,
    Refusal,
    Ticket,
} from "../../dispatch/index.js";
import { HostId, KeyHash, PoolId, RequestId, SoftwareVersion, UpstreamId } from "../../ids/index.js";
import { SilentLogger } from "../../logging/index.js";
import { NoMetrics } from "../../metrics/index.js";
import { HttpResponse, VirtualClock } from "../../ports/index.js";
import { RunningRequest } from "../../request/index.js";
import { makeAnnouncement, SoftwareView, UpstreamRegistry } from "../../upstream/index.js";
import { ChatSink } from "../chatSink/index.js";
import { DEFAULT_ENTRY_LIMITS, EntryContext } from "../entryContext/index.js";
import { HOTEL, SCRIPTED_TOKENS, ScriptedEngines } from "../fixtures/index.js";
import { PreparedChat } from "../prepareChat/index.js";
import { runChat } from "./index.js";

const POOL = "draft" as PoolId;
const ENGINES = ["u1", "u2"];
const WHOLE = Array.from({ length: SCRIPTED_TOKENS }, (_, token) => `t${token} `).join("");
const RUN_TIMEOUT_MS = 60_000;

/** Grants each ticket the first engine that it does not avoid. */
class FirstUntried extends Dispatcher {
    readonly tickets: Ticket[] = [];
    /** Requests whose grant has not been completed. */
    readonly running = new Set<RequestId>();

    async submit(ticket: Ticket): Promise<Either<Refusal, Grant>> {
        this.tickets.push(ticket);
        this.running.add(ticket.request);
        const upstream = (ENGINES.find(id => !ticket.avoid.includes(id as UpstreamId)) ?? ENGINES[0]) as UpstreamId;
        return Right({
            request: ticket.request,
            upstream,
            incarnation: 1,
            software: "1.0" as SoftwareVersion,
            address: { host: upstream, port: 1 },
            priority: 0,
            waitedMs: 0,
            reason: "untried",
        });
    }

    complete({ request }: Completion): void {
        this.running.delete(request);
    }

    progress(): void {}

    onPreempt(): void {}
}

/** Keeps an answer's text, and takes some time for each token. */
class TextSink extends ChatSink {
    text = "";
    end: string | undefined;

    constructor(private readonly clock: VirtualClock, private readonly takesMs: number) {
        super({} as HttpResponse, { request: "r" as RequestId, model: POOL, created: 0 });
    }

    get delivered(): number {
        return this.tokenCount;
    }

    write(text: string, tokens: number): Promise<void> | void {
        this.text += text;
        this.tokenCount += tokens;
        return this.takesMs > 0 ? this.clock.sleep(this.takesMs) : undefined;
    }

    finish(): void {
        this.end = "finished";
    }

    fail({ message }: Error): void {
        this.end = message;
    }
}

describe("runChat", () => {
    /** Runs a chat while some of its tokens come late. */
    async function play(
        pauses: Record<string, number>,
        options: {
            attempts?: number;
            isBudgetSpent?: boolean;
            engines?: string[];
            takesMs?: number;
            preemptAt?: number[];
            breaks?: string[];
            /** Replaces dependencies. */
            ctxParts?: object;
        } = {},
    ) {
        const { attempts = 4, isBudgetSpent = false, engines = ENGINES, takesMs = 0, preemptAt = [], breaks = [] } =
            options;
        const clock = new VirtualClock();
        const registry = new UpstreamRegistry({ clock });
        for (const id of engines) registry.announce(makeAnnouncement({ id }));
        const upstreamHttp = new ScriptedEngines(clock);
        for (const [token, ms] of Object.entries(pauses)) upstreamHttp.pauses.set(token, ms);
        for (const token of breaks) upstreamHttp.breaks.add(token);
        const retryBudget = new AttemptBudget(clock, { ...DEFAULT_RETRY_LIMITS, perSecond: 0 });
        while (isBudgetSpent && retryBudget.tryTake(true));
        const dispatcher = new FirstUntried();
        const ctx = {
            clock,
            upstreamHttp,
            retryBudget,
            dispatcher,
            sendGuard: new NoSendGuard(),
            software: new SoftwareView(registry),
            metrics: new NoMetrics(),
            logger: new SilentLogger(),
            meter: { record: async () => undefined },
            crashGuard: { quarantineLeftMs: () => undefined, recordServed() {}, recordConnectionEnd() {} },
            partGuard: { findQuarantine: () => undefined, recordBegun() {}, recordUnanswered() {} },
            limits: { ...DEFAULT_ENTRY_LIMITS, attempts },
            ...options.ctxParts,
        } as unknown as EntryContext;
        const [classView] = HOTEL.classes;
        const identity = { workspace: HOTEL.id, className: classView.name, tier: classView.tier, pool: POOL };
        const run = new RunningRequest({ ...identity, id: "r" as RequestId, keyHash: "k" as KeyHash }, clock);
        const chat = { model: POOL, messages: [{ role: "user", content: "hello" }], stream: true };
        const prepared = {
            workspace: HOTEL,
            classView,
            pool: POOL,
            chat,
            maxTokens: 10,
            promptTokens: 1,
            prefixes: [],
        };
        const sink = new TextSink(clock, takesMs);
        const self = "entry-1" as HostId;
        for (const ms of preemptAt) clock.after(ms, () => run.cancel("preempted"));
        const running = runChat({ ctx, prepared: prepared as unknown as PreparedChat, run, sink, self });
        const result = await clock.runUntil(running.catch(() => undefined), RUN_TIMEOUT_MS);
        const slots = dispatcher.running.size;
        return { outcome: result?.outcome, text: sink.text, end: sink.end, runs: upstreamHttp.runs, slots };
    }

    describe("an engine that falls silent in the middle of an answer", () => {
        it("is left for another one that can go on", async () => {
            const { outcome, text, runs } = await play({ "0:3": 9_000 });
            assert.deepEqual([outcome, text, runs], ["answered", WHOLE, ["u1 from 0", "u2 from 3"]]);
        });

        it("is waited for where no attempts are left", async () => {
            // A stall would end an answer that has nowhere to go.
            const { outcome, text, runs } = await play({ "0:3": 9_000, "1:5": 9_000 }, { attempts: 2 });
            assert.deepEqual([outcome, text, runs], ["answered", WHOLE, ["u1 from 0", "u2 from 3"]]);
        });

        it("is waited for where the retry budget is spent", async () => {
            // Of many answers that stall at once, those for which no retry is left would be lost.
            const { outcome, text, runs } = await play({ "0:3": 9_000 }, { isBudgetSpent: true });
            assert.deepEqual([outcome, text, runs], ["answered", WHOLE, ["u1 from 0"]]);
        });

        it("is waited for where no other one runs its software", async () => {
            // An answer would be stopped without anything that could continue it.
            const { outcome, text, runs } = await play({ "0:3": 9_000 }, { engines: ["u1"] });
            assert.deepEqual([outcome, text, runs], ["answered", WHOLE, ["u1 from 0"]]);
        });

        it("is given up after the limit for its first token", async () => {
            // A connection that is lost without a reset would hold its caller for good.
            const { outcome, end } = await play({ "0:3": 600_000 }, { attempts: 1 });
            assert.deepEqual([outcome, end], ["partly-run", "1 upstreams failed"]);
        });
    });

    it("does not take a caller that reads slowly for an engine that is silent", async () => {
        // A slow caller's answer would be moved, and lost once no attempts are left.
        const { outcome, text, runs } = await play({}, { takesMs: 4_000 });
        assert.deepEqual([outcome, text, runs], ["answered", WHOLE, ["u1 from 0"]]);
    });

    it("does not count preemptions as attempts at upstreams that failed", async () => {
        // An answer that has given way to others a few times would be lost with the first engine that fails it.
        const { outcome, text, runs } = await play({}, { preemptAt: [30, 50, 70], breaks: ["3:3"] });
        assert.deepEqual([outcome, text, runs.at(-1)], ["answered", WHOLE, "u2 from 3"]);
        assert.equal(runs.length, 5);
    });

    describe("an error that no code expects", () => {
        const throwing = (): never => {
            throw new Error("by the test");
        };
        const parts: readonly (readonly [string, object])[] = [
            ["before sending", { crashGuard: { quarantineLeftMs: throwing } }],
            ["while it is sent", { upstreamHttp: { send: throwing } }],
            ["behind the answer", { crashGuard: { quarantineLeftMs: () => undefined, recordServed: throwing } }],
            ["in a metric", { metrics: { histogram: throwing, count: throwing } }],
        ];
        for (const [name, ctxParts] of parts) {
            it(`keeps no slot: ${name}`, async () => {
                // Failure: the slot of a chat counts as taken for good.
                const { outcome, slots } = await play({}, { ctxParts });
                assert.deepEqual([outcome, slots], [undefined, 0]);
            });
        }
    });
});
