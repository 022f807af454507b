import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { RoutedFleet, RoutedFleetOptions, TestReply } from "../../faultInjection/index.js";
import { PoolId } from "../../ids/index.js";
import { CALL_HEADERS } from "../../passthrough/index.js";
import { findHeader, HeaderList } from "../../ports/index.js";
import { DraftDocument, makeDocument, makeRoute } from "../../routing/index.js";

const KEY = "butcher-key";
const OTHER_KEY = "baker-key";
const LEDGER = "ledger" as PoolId;
const STREAM: DraftDocument = {
    kind: "stream",
    resumable: true,
    attempts: 1,
    timeoutMs: 8_000,
    targetMs: 400,
    gapMs: 200,
};
const UPSTREAM = { slots: 8, workMs: 40, events: 12, gapMs: 20 };
/** Upstreams of two versions, one each. */
const MIXED = [{ ...UPSTREAM, software: "1.0" }, { ...UPSTREAM, software: "2.0" }];

describe("a stream that its caller takes up again", () => {
    const fleet = { running: undefined as RoutedFleet | undefined };

    function makeDocumentWith(version: number, route: DraftDocument = {}): DraftDocument {
        const workspaces = [{ workspace: "butcher", keys: [KEY] }, { workspace: "baker", keys: [OTHER_KEY] }];
        return makeDocument({ version, workspaces, routes: [makeRoute({ ...STREAM, ...route })] });
    }

    async function startFleet(
        layout: Partial<RoutedFleetOptions> = {},
        route: DraftDocument = {},
    ): Promise<RoutedFleet> {
        const running = new RoutedFleet({ entries: 3, upstreams: MIXED, queueHosts: true, ...layout });
        fleet.running = running;
        await running.start(makeDocumentWith(1, route));
        await running.advance(3_000);
        return running;
    }

    /** Has a stream break off after two events. */
    async function breakOff(running: RoutedFleet, request: string, entry = 0): Promise<TestReply> {
        for (const { faults } of running.upstreams) faults.splice(0, faults.length, "break");
        const reply = await running.call({ entry, path: "/orders/1", key: KEY, request });
        for (const { faults } of running.upstreams) faults.splice(0);
        assert.equal(countEvents(reply), 2);
        return reply;
    }

    function resume(
        running: RoutedFleet,
        attempts: readonly string[],
        { key = KEY, entry = 1, request = "again", lastEventId = "2" } = {},
    ): Promise<TestReply> {
        const headers: HeaderList = [
            [CALL_HEADERS.lastEventId, lastEventId],
            ...attempts.map(attempt => [CALL_HEADERS.resumes, attempt] as const),
        ];
        return running.call({ entry, path: "/orders/1", key, request, headers });
    }

    function countEvents({ body }: TestReply): number {
        return body.split("\n\n").length - 1;
    }

    /** Returns the software versions named in a stream's events. */
    function listSoftware(...replies: readonly TestReply[]): string[] {
        const events = replies.flatMap(({ body }) => [...body.matchAll(/event: (\S+)/g)]);
        return [...new Set(events.map(([, software]) => software))];
    }

    function countRuns({ upstreams }: RoutedFleet): number {
        return upstreams.reduce((sum, { runs }) => sum + runs.length, 0);
    }

    /** Checks that a try was refused as not run, with a time to come back, and reached no upstream. */
    function assertRefused(running: RoutedFleet, reply: TestReply, runsBefore: number): void {
        assert.equal(reply.status, 503);
        assert.equal(findHeader(reply.headers, CALL_HEADERS.notRun), "1");
        assert.ok(Number(findHeader(reply.headers, "retry-after")) > 0);
        assert.equal(countRuns(running), runsBefore);
    }

    afterEach(() => fleet.running?.close());

    describe("by the attempt that brought its first event", () => {
        it("goes on after the last event, at the version that began it, on each further try", async () => {
            const running = await startFleet();
            const replies = [await breakOff(running, "first")];
            for (const [number, lastEventId] of ["2", "4", "6", "8"].entries()) {
                for (const { faults } of running.upstreams) faults.splice(0, faults.length, "break");
                replies.push(
                    await resume(running, ["first"], {
                        request: `try-${number}`,
                        entry: number % 3,
                        lastEventId,
                    }),
                );
            }
            assert.deepEqual(replies.map(countEvents), [2, 2, 2, 2, 2]);
            assert.equal(listSoftware(...replies).length, 1);
        });

        it("binds nothing where an upstream crashed before any event", async () => {
            const running = await startFleet({}, { attempts: 2 });
            await running.advance(10_000);
            for (const { faults } of running.upstreams) faults.push("lost");
            const [first] = running.upstreams;
            first.faults.splice(0, 1, "lost", "break");
            running.upstreams[1].faults.splice(0, 1, "break");
            const begun = await running.call({ entry: 0, path: "/orders/1", key: KEY, request: "first" });
            for (const { faults } of running.upstreams) faults.splice(0);
            assert.equal(countEvents(begun), 2);
            const rest = await resume(running, ["first"]);
            assert.equal(countEvents(rest), UPSTREAM.events - 2);
            assert.equal(listSoftware(begun, rest).length, 1);
        });
    });

    describe("by anything else", () => {
        const CASES: Readonly<Record<string, readonly string[]>> = {
            "no attempt": [],
            "several attempts": ["first", "second"],
            "an unknown attempt": ["nobody's"],
            "itself": ["again"],
            "an attempt that never had an event": ["empty"],
        };

        for (const [title, attempts] of Object.entries(CASES)) {
            it(`is refused as not run: ${title}`, async () => {
                // Whatever it went on at would be a guess.
                const running = await startFleet();
                await breakOff(running, "first");
                await breakOff(running, "second");
                for (const { faults } of running.upstreams) faults.push("lost");
                await running.call({ entry: 0, path: "/orders/1", key: KEY, request: "empty" });
                for (const { faults } of running.upstreams) faults.splice(0);
                const before = countRuns(running);
                assertRefused(running, await resume(running, attempts), before);
            });
        }

        for (const lastEventId of ["", "x", "-1", "2.5"]) {
            it(`is malformed where the last event's id is ${JSON.stringify(lastEventId)}`, async () => {
                // Failure: the upstream is asked to go on behind no event, and begins anew.
                const running = await startFleet();
                await breakOff(running, "first");
                const before = countRuns(running);
                const reply = await resume(running, ["first"], { lastEventId });
                assert.deepEqual([reply.status, countRuns(running)], [400, before]);
            });
        }

        it("begins where its caller has no event", async () => {
            const running = await startFleet();
            const whole = await running.call({ entry: 0, path: "/orders/1", key: KEY, request: "whole" });
            const reply = await resume(running, ["first"], { lastEventId: "0" });
            assert.deepEqual([reply.status, countEvents(reply)], [200, countEvents(whole)]);
        });

        it("is refused as not run: an attempt of another workspace", async () => {
            const running = await startFleet();
            await breakOff(running, "first");
            const before = countRuns(running);
            assertRefused(running, await resume(running, ["first"], { key: OTHER_KEY }), before);
        });

        it("is refused as not run: an id that was used for streams of two versions", async () => {
            const running = await startFleet();
            const versions: string[] = [];
            while (new Set(versions).size < 2) versions.push(...listSoftware(await breakOff(running, "same")));
            const before = countRuns(running);
            assertRefused(running, await resume(running, ["same"]), before);
        });
    });

    describe("whose pool or route has changed", () => {
        it("stays in the pool that it began in, where a route is split between pools", async () => {
            const targets = [{ pool: "ledger", weight: 50 }, { pool: "draft", weight: 50 }];
            const upstreams = [
                { ...UPSTREAM, software: "1.0" },
                { ...UPSTREAM, software: "1.0", pool: "draft" },
            ];
            const running = await startFleet({ upstreams }, { targets });
            for (let number = 0; number < 8; number++) {
                const begun = await breakOff(running, `first-${number}`);
                const rest = await resume(running, [`first-${number}`], { request: `again-${number}` });
                assert.equal(running.upstreamOf(rest), running.upstreamOf(begun));
            }
        });

        it("is refused where the route no longer leads to that pool, or streams may no longer be taken up", async () => {
            // What the document in force forbids stays forbidden, whatever began before it.
            const running = await startFleet();
            await breakOff(running, "first");
            const before = countRuns(running);
            await running.replaceDocument(makeDocumentWith(2, { targets: [{ pool: "draft", weight: 1 }] }));
            assertRefused(running, await resume(running, ["first"]), before);
            await running.replaceDocument(makeDocumentWith(3, { resumable: false }));
            assertRefused(running, await resume(running, ["first"]), before);
            await running.replaceDocument(makeDocumentWith(4));
            assert.equal((await resume(running, ["first"])).status, 200);
        });
    });

    describe("whose version no longer serves", () => {
        it("is refused at once, and goes on when an upstream of that version is back", async () => {
            const running = await startFleet();
            const begun = await breakOff(running, "first");
            const [version] = listSoftware(begun);
            const number = MIXED.findIndex(({ software }) => software === version);
            await running.announce(number, "leaving");
            await running.advance(200);
            const before = countRuns(running);
            const refused = await resume(running, ["first"]);
            assertRefused(running, refused, before);
            assert.ok(refused.tookMs < 200, `${refused.tookMs} ms`);
            await running.addUpstream({ ...UPSTREAM, software: version });
            await running.advance(200);
            const rest = await resume(running, ["first"]);
            assert.deepEqual(listSoftware(begun, rest), [version]);
        });

        it("is refused where the upstream that began it came back with other software at its id and address", async () => {
            const upstreams = [{ ...UPSTREAM, software: "1.0", restartMs: 100 }];
            const running = await startFleet({ upstreams });
            await breakOff(running, "first");
            const [upstream] = running.upstreams;
            upstream.replaceSoftware("2.0");
            await upstream.crash();
            await running.advance(3_000);
            const before = countRuns(running);
            assertRefused(running, await resume(running, ["first"]), before);
        });

        it("is refused where it began at an upstream of unknown version", async () => {
            const running = await startFleet({ upstreams: [{ ...UPSTREAM, software: undefined }] });
            await breakOff(running, "first");
            const before = countRuns(running);
            assertRefused(running, await resume(running, ["first"]), before);
        });
    });

    describe("after all hosts lost power right after its first event", () => {
        it("goes on, since its start was on disks before its caller had the event", async () => {
            // Nobody would know which version may continue it.
            const running = await startFleet();
            for (const disk of running.disks) disk.syncDurationMs = 20;
            const sent = await running.run(
                running.web.http("10.0.8.2").send({
                    address: { host: "10.0.1.1", port: 8080 },
                    method: "POST",
                    path: "/orders/1",
                    headers: [["host", "shop.example"], [CALL_HEADERS.request, "first"], [
                        "authorization",
                        `Bearer ${KEY}`,
                    ]],
                    body: Buffer.from(""),
                    newConnection: true,
                    connectTimeoutMs: 1_000,
                    headTimeoutMs: 5_000,
                }),
            );
            assert.equal(sent.unsafeCoerce().status, 200);
            for (const number of running.entries.keys()) void running.killEntry(number);
            for (const number of running.controls.keys()) void running.killControl(number);
            await running.advance(1_000);
            await running.run(Promise.all([...running.controls.keys()].map(number => running.startControl(number))));
            await running.run(Promise.all([...running.entries.keys()].map(number => running.startEntry(number))));
            await running.advance(8_000);
            const rest = await resume(running, ["first"], { lastEventId: "1" });
            assert.equal(countEvents(rest), UPSTREAM.events - 1);
        });
    });

    describe("while the host that had it still runs", () => {
        it("goes on elsewhere, and gives its first place back, though that host is cut off from all others", async () => {
            // The queue's owner would count the first place as taken for good, and the old answer could go on beside the new one.
            const upstreams = MIXED.map(upstream => ({ ...upstream, events: 100 }));
            const running = await startFleet({ upstreams });
            const leave = new AbortController();
            const call = { entry: 0, path: "/orders/1", key: KEY, request: "first", signal: leave.signal };
            const pending = running.startCall(call);
            await running.advance(400);
            running.isolateEntry(0, true);
            await running.advance(400);
            leave.abort();
            const begun = await running.run(pending);
            const rest = await resume(running, ["first"], { lastEventId: String(countEvents(begun)) });
            assert.equal(countEvents(begun) + countEvents(rest), 100);
            assert.equal(listSoftware(begun, rest).length, 1);
            running.isolateEntry(0, false);
            await running.advance(3_000);
            const owner = running.queues[running.queueOwner(LEDGER)]!;
            assert.equal(owner.local.countRunning(LEDGER), 0);
        });
    });
});
