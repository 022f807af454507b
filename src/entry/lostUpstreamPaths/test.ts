import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { EmulatedCallUpstreamOptions } from "../../emulator/index.js";
import { RecordingLogger, RoutedFleet, TestReply } from "../../faultInjection/index.js";
import { PoolId } from "../../ids/index.js";
import { CALL_HEADERS } from "../../passthrough/index.js";
import { findHeader, PathLoss } from "../../ports/index.js";
import { DraftDocument, makeDocument, makeRoute } from "../../routing/index.js";

const KEY = "butcher-key";
const POOL = "ledger" as PoolId;
/** Time after its start in which an entry repeats few calls, in milliseconds. */
const BUDGET_WINDOW_MS = 10_000;
/** Time after the loss from which the rule counts, and time for which the loss lasts, in milliseconds. */
const CONTACT_MS = 3_000;
const LOSS_MS = 9_000;
/** Time after the loss from which all calls are served: the goal. */
const DETECTION_MS = 1_000;
const CALLS_PER_S = 28;
/** The rule: hosts without paths serve this share of what the others serve, or at most so many calls fail, and one in so many. */
const MIN_SERVED_SHARE = 2 / 3;
const MAX_FAILED = 10;
const CALLS_PER_FURTHER_FAILURE = 50;

const LOSSES: readonly PathLoss[] = ["silent", "reset", "refuse"];
const CALL_KINDS: Readonly<Record<string, DraftDocument>> = {
    "calls that must not be repeated": { kind: "once", timeoutMs: 2_000, targetMs: 400 },
    "repeatable calls": { kind: "idempotent", attempts: 2, timeoutMs: 2_000, targetMs: 400 },
    "streams": { kind: "stream", timeoutMs: 4_000, targetMs: 600, gapMs: 400 },
};
const CUT_HOSTS: Readonly<Record<string, readonly number[]>> = {
    "one host": [2],
    "most of a zone": [0, 1, 3, 5],
    "a whole zone": [0, 1, 2],
};

/** A first try of a caller. */
interface FirstTry {
    readonly entry: number;
    readonly isServed: boolean;
}

describe("hosts that lose their paths to all upstreams", () => {
    async function startFleet(route: DraftDocument): Promise<RoutedFleet> {
        const events = route.kind === "stream" ? 10 : 0;
        const upstreams = Array.from({ length: 6 }, () => ({ slots: 12, workMs: 80, gapMs: 30, events }));
        const entryZones = ["sohar", "sohar", "sohar", "barka", "barka", "muscat", "muscat"];
        const started = new RoutedFleet({ entries: 7, entryZones, upstreams, queueHosts: true });
        await started.start(makeDocument({ routes: [makeRoute(route)] }));
        await started.advance(BUDGET_WINDOW_MS);
        return started;
    }

    async function sendFirstTry(running: RoutedFleet, entry: number, path: string): Promise<FirstTry> {
        const { status, isWhole } = await running.startCall({ entry, path, key: KEY });
        return { entry, isServed: status === 200 && isWhole };
    }

    /** Sends calls to all entries in turn, each once. */
    async function sendFirstTries(running: RoutedFleet, ms: number, name: string): Promise<Promise<FirstTry>[]> {
        const tries: Promise<FirstTry>[] = [];
        for (let call = 0; call < ms * CALLS_PER_S / 1_000; call++) {
            const entry = call % running.entries.length;
            tries.push(sendFirstTry(running, entry, `/orders/${name}-${call}`));
            await running.advance(1_000 / CALLS_PER_S);
        }
        return tries;
    }

    /** Returns how the rule is broken; undefined where it holds. */
    function findBreach(tries: readonly FirstTry[], cut: readonly number[]): string | undefined {
        const countServed = (some: readonly FirstTry[]): number => some.filter(({ isServed }) => isServed).length;
        const there = tries.filter(({ entry }) => cut.includes(entry));
        const others = tries.filter(({ entry }) => !cut.includes(entry));
        const failed = tries.length - countServed(tries);
        const share = (countServed(there) / there.length) / (countServed(others) / others.length);
        const isServed = share >= MIN_SERVED_SHARE || failed <= MAX_FAILED + tries.length / CALLS_PER_FURTHER_FAILURE;
        if (isServed && countServed(others) >= MIN_SERVED_SHARE * others.length) return undefined;
        return `${countServed(there)} of ${there.length}, others ${countServed(others)} of ${others.length}`;
    }

    /** Has hosts lose their paths and get them back, under calls of one kind; returns how the rule is broken meanwhile and after. */
    async function loseAndRestore(route: DraftDocument, cut: readonly number[], loss: PathLoss): Promise<string[]> {
        const running = await startFleet(route);
        const before = await sendFirstTries(running, 2_000, "before");
        for (const entry of cut) running.loseUpstreamPaths(entry, loss);
        const first = await sendFirstTries(running, DETECTION_MS, "first");
        const early = await sendFirstTries(running, CONTACT_MS - DETECTION_MS, "early");
        const during = await sendFirstTries(running, LOSS_MS - CONTACT_MS, "during");
        for (const entry of cut) running.restoreUpstreamPaths(entry);
        const after = await sendFirstTries(running, 4_000, "after");
        await running.run(Promise.all([...before, ...first]));
        const triesDuring = await running.run(Promise.all(during));
        const triesAfter = await running.run(Promise.all(after));
        const breaches = [
            ["during", findBreach(triesDuring, cut)],
            ["after", findBreach(triesAfter, cut)],
            ["from a second on", describeFailures([...await running.run(Promise.all(early)), ...triesDuring])],
            ["after, the goal", describeFailures(triesAfter)],
        ];
        if (route.kind !== "idempotent") checkRunOnce(running);
        await running.close();
        return breaches.filter(([, breach]) => breach !== undefined).map(([when, breach]) => `${when}: ${breach}`);
    }

    /** Returns how many tries failed; undefined where none did. */
    function describeFailures(tries: readonly FirstTry[]): string | undefined {
        const failed = tries.filter(({ isServed }) => !isServed).length;
        return failed === 0 ? undefined : `${failed} of ${tries.length} failed`;
    }

    function checkRunOnce(running: RoutedFleet): void {
        const runs = running.upstreams.flatMap(upstream => upstream.runs.map(({ request }) => request));
        assert.equal(new Set(runs).size, runs.length, "a call ran twice");
    }

    for (const loss of LOSSES) {
        it(`serve first tries as the other hosts do, where connections are lost like this: ${loss}`, async () => {
            // A host that knows no other way than its own paths answers each call with 503.
            const breaches: string[] = [];
            for (const [hosts, cut] of Object.entries(CUT_HOSTS)) {
                for (const [calls, route] of Object.entries(CALL_KINDS)) {
                    const found = await loseAndRestore(route, cut, loss);
                    breaches.push(...found.map(breach => `${hosts}, ${calls}, ${breach}`));
                }
            }
            assert.deepEqual(breaches, []);
        });
    }

    describe("with what they find out of upstreams", () => {
        const fleet = { running: undefined as RoutedFleet | undefined };

        async function start(route: DraftDocument, upstream: Partial<EmulatedCallUpstreamOptions> = {}) {
            const logger = new RecordingLogger();
            const upstreams = Array.from({ length: 4 }, () => ({ slots: 12, workMs: 300, ...upstream }));
            const running = new RoutedFleet({ entries: 4, upstreams, queueHosts: true, logger });
            fleet.running = running;
            await running.start(makeDocument({ routes: [makeRoute(route)] }));
            await running.advance(BUDGET_WINDOW_MS);
            return { running, logger };
        }

        afterEach(() => fleet.running?.close());

        for (const loss of LOSSES) {
            it(`have none of them rest or quarantined that other hosts reach: ${loss}`, async () => {
                // One host's loss would otherwise keep upstreams, and requests, from all hosts.
                const { running, logger } = await start({ kind: "idempotent", attempts: 2, timeoutMs: 2_000 });
                const tries = await sendFirstTries(running, 2_000, "before");
                running.loseUpstreamPaths(1, loss);
                tries.push(...await sendFirstTries(running, 4_000, "during"));
                running.restoreUpstreamPaths(1);
                tries.push(...await sendFirstTries(running, 4_000, "after"));
                await running.run(Promise.all(tries));
                assert.deepEqual(logger.list("upstream-rested"), []);
                assert.deepEqual(logger.list("request-quarantined"), []);
                const findings = logger.list("upstream-probed").map(({ finding }) => finding);
                assert.deepEqual(findings.filter(finding => finding === "crashed"), []);
                // Kept connections live on under refusals, so that nothing need be found out.
                if (loss === "refuse") return;
                assert.ok(logger.list("path-lost").length > 0);
                assert.ok(logger.list("paths-restored").length > 0);
            });
        }

        it("do not keep upstreams looking busy with calls that hang on a lost path", async () => {
            // The owner of the queue would avoid upstreams that show no progress until the deadlines of these calls.
            const { running } = await start({ kind: "stream", timeoutMs: 20_000 }, { events: 400, gapMs: 30 });
            const owner = running.queues[running.queueOwner(POOL)]!;
            const hung = Array.from({ length: 6 }, () => running.startCall({ entry: 1, path: "/orders/1", key: KEY }));
            const others = Array.from(
                { length: 3 },
                () => running.startCall({ entry: 0, path: "/orders/1", key: KEY }),
            );
            await running.advance(1_000);
            assert.equal(owner.local.countRunning(POOL), hung.length + others.length);
            running.loseUpstreamPaths(1, "silent");
            await running.advance(1_500);
            assert.equal(owner.local.countRunning(POOL), others.length);
            await running.run(Promise.all([...hung, ...others]));
            assert.equal(owner.local.countRunning(POOL), 0);
        });

        it("still have a request quarantined that crashes upstreams", async () => {
            // Its crashes reach the host through a relay, and its own connections prove nothing.
            const crashing = "a deadly order";
            const { running, logger } = await start({ kind: "once" }, { crashesOn: crashing, restartMs: 1_000 });
            running.loseUpstreamPaths(1, "silent");
            await running.run(Promise.all(await sendFirstTries(running, 1_000, "before")));
            for (let attempt = 0; attempt < 6; attempt++) {
                await running.call({ entry: 1, path: "/orders/deadly", key: KEY, body: crashing });
                await running.advance(200);
            }
            assert.ok(logger.list("request-quarantined").length > 0);
            const crashes = running.upstreams.reduce((sum, upstream) => sum + upstream.crashes.length, 0);
            assert.ok(crashes <= 4, `${crashes} crashes`);
        });

        it("tell their callers the truth while relays are lost one after the other", async () => {
            // A relay may have sent a request before it was lost.
            const { running } = await start({ kind: "once", timeoutMs: 2_000 });
            running.loseUpstreamPaths(0, "refuse");
            const replies: Promise<TestReply>[] = [];
            for (let call = 0; call < 60; call++) {
                const request = `order-${call}`;
                replies.push(running.startCall({ entry: 0, path: "/orders/1", key: KEY, request }));
                await running.advance(50);
                if (call % 20 === 10) await running.killEntry(1 + Math.floor(call / 20));
            }
            const answered = await running.run(Promise.all(replies));
            const runs = running.upstreams.flatMap(upstream => upstream.runs.map(({ request }) => request));
            assert.equal(new Set(runs).size, runs.length, "a call ran twice");
            for (const [call, { status, headers }] of answered.entries()) {
                const isNotRun = findHeader(headers, CALL_HEADERS.notRun) === "1" || status === 503;
                if (isNotRun) assert.ok(!runs.includes(`order-${call}`), `order-${call} has run`);
            }
            assert.ok(answered.filter(({ status }) => status === 200).length > 40);
        });

        it("cost callers of a path that comes and goes no more than those of a lost one", async () => {
            const { running } = await start({ kind: "once", timeoutMs: 2_000, targetMs: 500 }, { workMs: 60 });
            const tries: Promise<FirstTry>[] = [];
            for (let round = 0; round < 8; round++) {
                if (round % 2 === 0) running.loseUpstreamPaths(1, "silent");
                else running.restoreUpstreamPaths(1);
                tries.push(...await sendFirstTries(running, 1_000, `round-${round}`));
            }
            const failed = (await running.run(Promise.all(tries))).filter(({ isServed }) => !isServed);
            // What was on its way when the path went is lost, and nothing else.
            assert.ok(failed.length <= 4, `${failed.length} of ${tries.length} failed`);
        });
    });
});
