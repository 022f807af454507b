import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { CallFault } from "../../emulator/index.js";
import { RoutedFleet, RoutedFleetOptions, TestCall, TestReply } from "../../faultInjection/index.js";
import { PoolId } from "../../ids/index.js";
import { CALL_HEADERS } from "../../passthrough/index.js";
import { findHeader, HeaderList } from "../../ports/index.js";

const KEY = "butcher-key";

function makeDocument(version = 1, parts: Record<string, unknown> = {}): unknown {
    const route = {
        host: "shop.example",
        timeoutMs: 2_000,
        targetMs: 300,
        tier: 1,
        attempts: 2,
        resumable: false,
        keyless: false,
        targets: [{ pool: "ledger", weight: 1 }],
    };
    return {
        version,
        routes: [
            { ...route, name: "orders", pathPrefix: "/orders/", kind: "once" },
            { ...route, name: "status", pathPrefix: "/status/", kind: "idempotent" },
            { ...route, name: "open", pathPrefix: "/open/", kind: "idempotent", keyless: true },
            { ...route, name: "sheets", pathPrefix: "/sheets/", kind: "stream", gapMs: 100 },
            { ...route, name: "notes", pathPrefix: "/notes/", kind: "stream", gapMs: 100, resumable: true },
        ],
        pools: [{ pool: "ledger", connections: 100 }],
        limits: { headerBytes: 16_384, bodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        workspaces: [{ workspace: "butcher", keys: [KEY] }],
        ...parts,
    };
}

describe("routed calls", () => {
    let fleet: RoutedFleet;

    async function startFleet(layout: Partial<RoutedFleetOptions> = {}): Promise<void> {
        fleet = new RoutedFleet(layout);
        await fleet.start(makeDocument());
    }

    /** Counts how often a call ran, on all upstreams together. */
    function countRuns(request: string): number {
        return fleet.upstreams.flatMap(({ runs }) => runs).filter(run => run.request === request).length;
    }

    /** Makes the next call to each upstream fail. */
    function injectFault(fault: CallFault): void {
        for (const upstream of fleet.upstreams) upstream.faults.push(fault);
    }

    afterEach(() => fleet.close());

    it("pass through with path, body and the workspace of their key", async () => {
        await startFleet();
        const reply = await fleet.call({ entry: 0, path: "/orders/7?x=%20", body: "a roast", key: KEY });
        assert.equal(reply.status, 200);
        const [run] = fleet.upstreams.flatMap(({ runs }) => runs);
        assert.deepEqual([run.path, run.body, run.workspace], ["/orders/7?x=%20", "a roast", "butcher"]);
        assert.ok(!JSON.stringify(run.headers).includes(KEY));
    });

    it("are refused without a route, a key or a known key", async () => {
        await startFleet();
        const statusOf = async (path: string, key?: string) => (await fleet.call({ entry: 0, path, key })).status;
        assert.deepEqual([
            await statusOf("/nowhere/", KEY),
            await statusOf("/orders/1"),
            await statusOf("/orders/1", "x"),
        ], [
            404,
            401,
            401,
        ]);
        assert.equal(await statusOf("/open/1"), 200);
    });

    describe("an entry that starts while the control lease is held by a process that is not a seed", () => {
        it("discovers the holder through any other control process", async () => {
            // Failure: after a power cut no caller is served, though all processes run. Entries know three control processes from
            // their settings, a fourth was elected, and the three redirect to a host to which no entry has a link.
            await startFleet();
            for (const number of [0, 1, 2, 3, 4]) await fleet.killControl(number);
            await fleet.killEntry(0);
            for (const number of [4, 3, 2]) await fleet.run(fleet.startControl(number));
            await fleet.advance(200);
            await fleet.run(fleet.startEntry(0));
            await fleet.advance(6_000);
            while (fleet.holder() < 3) {
                await fleet.killControl(fleet.holder());
                await fleet.run(fleet.startControl(2));
                await fleet.advance(6_000);
            }
            assert.equal((await fleet.call({ entry: 0, path: "/orders/1", key: KEY })).status, 200);
        });
    });

    describe("a call that arrives before the first document", () => {
        const PATIENT: HeaderList = [["x-sequoiamux-deadline-ms", "4000"]];

        it("waits for the document where all processes have just restarted", async () => {
            // Failure: after a power loss, callers that retry once are refused, though everything works shortly afterwards. The entry
            // accepts connections before the control processes have elected a holder, and refuses calls without a document.
            await startFleet();
            for (const number of [0, 1, 2, 3, 4]) await fleet.killControl(number);
            await fleet.killEntry(0);
            for (const number of [0, 1, 2, 3, 4]) await fleet.run(fleet.startControl(number));
            await fleet.run(fleet.startEntry(0));
            const reply = await fleet.call({ entry: 0, path: "/orders/1", key: KEY, headers: PATIENT });
            assert.equal(reply.status, 200);
        });

        it("is refused with a retry time after a third of its deadline", async () => {
            await startFleet();
            for (const number of [0, 1, 2, 3, 4]) await fleet.killControl(number);
            await fleet.killEntry(0);
            await fleet.run(fleet.startEntry(0));
            const headers: HeaderList = [["x-sequoiamux-deadline-ms", "900"]];
            const reply = await fleet.call({ entry: 0, path: "/orders/1", key: KEY, headers, request: "early" });
            assert.equal(reply.status, 503);
            assert.ok(reply.tookMs >= 300 && reply.tookMs < 350, `${reply.tookMs} ms`);
            assert.notEqual(findHeader(reply.headers, "retry-after"), undefined);
            assert.equal(countRuns("early"), 0);
        });

        it("is refused immediately by an entry that had a document and has lost contact with control", async () => {
            await startFleet();
            for (const number of [0, 1, 2, 3, 4]) await fleet.killControl(number);
            await fleet.advance(10_000);
            const reply = await fleet.call({ entry: 0, path: "/orders/1", key: KEY, headers: PATIENT });
            assert.equal(reply.status, 503);
            assert.ok(reply.tookMs < 50, `${reply.tookMs} ms`);
        });
    });

    describe("a call that runs once at most", () => {
        it("is not resent after a lost answer, and its caller gets an error immediately", async () => {
            // Failure: a customer is charged twice. The ledger runs an order and its answer is lost; the entry assumes that the order
            // has not run and sends it to the next ledger.
            await startFleet();
            injectFault("lost");
            const reply = await fleet.call({ entry: 0, path: "/orders/1", key: KEY, request: "roast" });
            assert.equal(reply.status, 502);
            assert.equal(countRuns("roast"), 1);
            assert.ok(reply.tookMs < 200, `${reply.tookMs} ms`);
            assert.equal(findHeader(reply.headers, CALL_HEADERS.notRun), undefined);
        });

        it("goes to another upstream after a refusal", async () => {
            await startFleet();
            await fleet.advance(10_000);
            fleet.upstreams[0].faults.push("refuse");
            const replies = [0, 1].map(() => fleet.startCall({ entry: 0, path: "/orders/1", key: KEY }));
            const settled = await fleet.run(Promise.all(replies));
            assert.deepEqual(settled.map(({ status }) => status), [200, 200]);
        });

        it("passes the upstream's own error on unchanged", async () => {
            await startFleet();
            injectFault("error");
            const reply = await fleet.call({ entry: 0, path: "/orders/1", key: KEY, request: "roast" });
            assert.deepEqual([reply.status, countRuns("roast")], [500, 1]);
            assert.match(reply.body, /^failed by upstream-/);
        });
    });

    describe("a repeatable call", () => {
        for (const fault of ["lost", "error", "crossed"] as const) {
            it(`goes to another upstream after an answer that is ${fault}`, async () => {
                await startFleet();
                await fleet.advance(10_000);
                fleet.upstreams[0].faults.push(fault);
                const replies = [0, 1].map(() => fleet.startCall({ entry: 0, path: "/status/1", key: KEY }));
                const settled = await fleet.run(Promise.all(replies));
                assert.deepEqual(settled.map(({ status }) => status), [200, 200]);
            });
        }

        it("is not reported as not run where its key is withdrawn between two attempts", async () => {
            // Otherwise the refusal would state that nothing ran, though the first upstream has run the call.
            await startFleet({ upstreams: [{ workMs: 400 }, { workMs: 400 }] });
            await fleet.advance(10_000);
            injectFault("lost");
            const pending = fleet.startCall({ entry: 0, path: "/status/1", key: KEY, request: "look" });
            await fleet.advance(100);
            await fleet.replaceDocument(
                makeDocument(2, { workspaces: [{ workspace: "butcher", keys: ["another-key"] }] }),
            );
            const reply = await fleet.run(pending);
            assert.equal(countRuns("look"), 1);
            assert.equal(reply.status, 502);
            assert.equal(findHeader(reply.headers, CALL_HEADERS.notRun), undefined);
        });
    });

    describe("streams", () => {
        const STREAMS = [{ events: 6 }, { events: 6 }];
        const WHOLE = Array.from({ length: 6 }, (_, at) => `id: ${at + 1}\nevent: 1.0\ndata: event ${at + 1}\n\n`).join(
            "",
        );

        it("arrive complete", async () => {
            await startFleet({ upstreams: STREAMS });
            const reply = await fleet.call({ entry: 0, path: "/sheets/1", key: KEY });
            assert.deepEqual([reply.status, reply.body, reply.isWhole], [200, WHOLE, true]);
        });

        it("resume at another upstream where permitted, without a gap or a duplicate", async () => {
            // Failure: a caller receives half a summary twice, or one with a gap. The engine breaks off within an event, and the next one
            // resumes after the last event id that it was sent.
            await startFleet({ upstreams: STREAMS });
            await fleet.advance(10_000);
            injectFault("break");
            const reply = await fleet.call({ entry: 0, path: "/notes/1", key: KEY });
            assert.equal(reply.isWhole, false);
            const second = await fleet.call({ entry: 0, path: "/notes/2", key: KEY });
            assert.deepEqual([second.body, second.isWhole], [WHOLE, true]);
        });

        it("go on at another upstream behind garbage, without a gap or a duplicate", async () => {
            // Failure: a caller receives a piece that no run made, and an answer that ends as complete.
            await startFleet({ upstreams: STREAMS });
            await fleet.advance(10_000);
            fleet.upstreams[0].faults.push("garble");
            const replies = [0, 1].map(number => fleet.startCall({ entry: 0, path: `/notes/${number}`, key: KEY }));
            const settled = await fleet.run(Promise.all(replies));
            assert.deepEqual(settled.map(({ body, isWhole }) => [body, isWhole]), [[WHOLE, true], [WHOLE, true]]);
        });

        it("are cut behind garbage where they may not be resumed", async () => {
            // Failure: a caller receives a piece that no run made, and an answer that ends as complete.
            await startFleet({ upstreams: STREAMS });
            injectFault("garble");
            const reply = await fleet.call({ entry: 0, path: "/sheets/1", key: KEY });
            assert.deepEqual([WHOLE.startsWith(reply.body), reply.isWhole], [true, false]);
        });

        it("are cut where the upstream that should resume begins anew", async () => {
            // Failure: the joint repeats pieces that the caller has.
            await startFleet({ upstreams: STREAMS });
            await fleet.advance(10_000);
            for (const { faults } of fleet.upstreams) faults.push("break", "begin-anew");
            const [first, second] = [0, 1].map(number =>
                fleet.startCall({ entry: 0, path: `/notes/${number}`, key: KEY })
            );
            const settled = await fleet.run(Promise.all([first, second]));
            for (const { body, isWhole } of settled) assert.deepEqual([WHOLE.startsWith(body), isWhole], [true, false]);
        });

        it("are cut where the engine that should resume fails, whichever engine breaks off", async () => {
            // Failure: a caller mistakes half of a brief for the whole. An engine crashes while it streams, the engine that should resume
            // answers with an error, and the text of that error is appended to the stream, though the answer is not a stream.
            await startFleet({ upstreams: STREAMS });
            await fleet.advance(10_000);
            for (const [breaking, failing] of [[0, 1], [1, 0]]) {
                fleet.upstreams[breaking].faults.push("break");
                fleet.upstreams[failing].faults.push("error");
                const reply = await fleet.call({ entry: 0, path: "/notes/1", key: KEY });
                assert.equal(reply.isWhole, false);
                assert.doesNotMatch(reply.body, /failed by/);
                await fleet.advance(3_000);
            }
        });

        it("are cut where they may not be resumed, so that a caller does not mistake a part for the whole", async () => {
            await startFleet({ upstreams: STREAMS });
            injectFault("break");
            const reply = await fleet.call({ entry: 0, path: "/sheets/1", key: KEY, request: "sheet" });
            assert.deepEqual([reply.isWhole, countRuns("sheet")], [false, 1]);
        });

        it("end at the upstream soon after their caller has disconnected", async () => {
            await startFleet({ upstreams: [{ events: 1_000 }] });
            const leave = new AbortController();
            const pending = fleet.startCall({ entry: 0, path: "/sheets/1", key: KEY, signal: leave.signal });
            await fleet.advance(200);
            leave.abort();
            await fleet.run(pending);
            await fleet.advance(300);
            const next = await fleet.call({
                entry: 0,
                path: "/sheets/2",
                key: KEY,
                headers: [["x-sequoiamux-deadline-ms", "100"]],
            });
            assert.equal(next.status, 200);
        });
    });

    describe("prompts whose parts are in an engine's cache", () => {
        const PROMPTS = Array.from(
            { length: 8 },
            (_, at) => [{ id: `shared${at}`, tokens: 9_000 }, { id: `own${at}`, tokens: 500 }],
        );
        const ENGINE = { kvTokens: 1_000_000, kvBytes: 1, tokensPerEvent: 1, pinMs: 0, canMove: false };

        it("go to that engine though the queue's owner has never sent them there", async () => {
            // Failure: after a restart of all entries, short prompts wait behind long documents for seconds. Engines prefill again what
            // other engines have in their caches, since the new owner of the queue does not know what was sent where before.
            fleet = new RoutedFleet({ upstreams: [{}, { holds: PROMPTS.flat() }] });
            await fleet.start(makeDocument(1, { pools: [{ pool: "ledger", connections: 100, engine: ENGINE }] }));
            for (const parts of PROMPTS) {
                const prefix = parts.map(({ id, tokens }) => `${id}:${tokens}`).join(",");
                const headers: HeaderList = [[CALL_HEADERS.parts, prefix], [CALL_HEADERS.tokens, "9500,1"]];
                const reply = await fleet.call({ entry: 0, path: "/status/1", key: KEY, headers });
                assert.equal(fleet.upstreamOf(reply), "upstream-1");
            }
        });
    });

    describe("the owner of a queue that is briefly unresponsive", () => {
        it("does not count calls that were reassigned and completed meanwhile", async () => {
            // Failure: after a short pause of one host, engines become idle one after another, and the others are overloaded until callers
            // give up. An entry reassigns its running calls to the next owner of the queue, and they end there; the first owner, once back,
            // never learns that they have ended, and considers their engines full or unresponsive.
            const POOL = "ledger" as PoolId;
            await startFleet({ entries: 3, upstreams: [{ workMs: 400, slots: 16 }, { workMs: 400, slots: 16 }] });
            const [first] = fleet.entries;
            const owner = [0, 1, 2].find(number => `entry-${number}` === first!.dispatcher.ownerOf(POOL))!;
            const other = (owner + 1) % 3;
            const addressOf = (number: number): string => `10.0.1.${number + 1}`;
            const call = () => fleet.startCall({ entry: other, path: "/status/1", key: KEY });
            const calls = Array.from({ length: 4 }, call);
            await fleet.advance(50);
            fleet.fabric.isolate(addressOf(owner), [addressOf(other)], true);
            calls.push(call());
            await fleet.advance(300);
            fleet.fabric.isolate(addressOf(owner), [addressOf(other)], false);
            const replies = await fleet.run(Promise.all(calls));
            assert.deepEqual(replies.map(({ status }) => status), [200, 200, 200, 200, 200]);
            await fleet.advance(3_000);
            assert.equal(fleet.entries[owner]!.local.countRunning(POOL), 0);
        });
    });

    describe("an entry that stops", () => {
        const CALLERS = "10.0.1.1:8080";

        it("refuses a call on an open connection once it has stopped accepting", async () => {
            // Failure: a stream is cut. Its request comes on a connection that is still open seconds after SIGTERM, is sent to an
            // upstream, and the process exits in the middle of its answer.
            await startFleet();
            const handler = fleet.web.servers.get(CALLERS)!;
            const drained = fleet.entries[0]!.drain(5_000);
            await fleet.advance(510);
            fleet.web.servers.set(CALLERS, handler);
            const reply = await fleet.call({ entry: 0, path: "/sheets/1", key: KEY, request: "late" });
            const header = (name: string): string | undefined => findHeader(reply.headers, name);
            assert.equal(countRuns("late"), 0);
            assert.deepEqual(
                [reply.status, header(CALL_HEADERS.notRun), header("connection"), header("retry-after")],
                [503, "1", "close", "0.100"],
            );
            fleet.web.servers.delete(CALLERS);
            await fleet.run(drained);
        });
    });

    describe("a call that comes shortly before a stopping entry stops accepting", () => {
        const STREAM_MS = 1_000;
        const GAP_MS = 100;

        async function callWhileDraining(request: string, graceMs: number): Promise<TestReply> {
            const upstream = { events: STREAM_MS / GAP_MS, gapMs: GAP_MS, slots: 20 };
            await startFleet({ upstreams: [upstream, upstream] });
            const call = { entry: 0, path: "/sheets/1", key: KEY };
            await fleet.run(Promise.all(Array.from({ length: 10 }, () => fleet.startCall(call))));
            const drained = fleet.entries[0]!.drain(graceMs);
            await fleet.advance(450);
            const reply = await fleet.call({ ...call, request });
            await fleet.run(drained);
            return reply;
        }

        it("is refused where calls of its route last longer than the grace that is left", async () => {
            // Failure: a stream is cut at the exit, though another host could have run it.
            const { status, headers } = await callWhileDraining("long", STREAM_MS / 2);
            const header = (name: string): string | undefined => findHeader(headers, name);
            assert.deepEqual([status, header(CALL_HEADERS.notRun), header("connection")], [503, "1", "close"]);
            assert.equal(countRuns("long"), 0);
        });

        it("is refused where its grant comes too late", async () => {
            // Failure: a call that has waited for an upstream is sent just before the exit, and its answer is cut.
            await startFleet({ upstreams: [{ events: STREAM_MS / GAP_MS, gapMs: GAP_MS, slots: 1 }] });
            const call = { path: "/sheets/1", key: KEY };
            for (let i = 0; i < 10; i++) await fleet.call({ ...call, entry: 0 });
            const running = fleet.startCall({ ...call, entry: 1 });
            await fleet.advance(50);
            const drained = fleet.entries[0]!.drain(STREAM_MS);
            const reply = await fleet.call({ ...call, entry: 0, request: "granted-late" });
            assert.deepEqual([reply.status, findHeader(reply.headers, CALL_HEADERS.notRun)], [503, "1"]);
            assert.equal(countRuns("granted-late"), 0);
            await fleet.run(Promise.all([running, drained]));
        });

        it("is run where calls of its route end in time", async () => {
            const { status, isWhole } = await callWhileDraining("short", 2 * STREAM_MS);
            assert.deepEqual([status, isWhole], [200, true]);
        });
    });

    describe("the end of a drain's grace", () => {
        const BALANCER_MS = 500;
        const GRACE_MS = 500;

        /** Drains entry 0 while a call is under way. Returns the call's reply, and whether it came before the drain's end. */
        async function endDrainBeside(call: TestCall): Promise<TestReply & { readonly isInTime: boolean; }> {
            const pending = fleet.startCall(call);
            await fleet.advance(50);
            const exitAt = fleet.clock.monotonic() + BALANCER_MS + GRACE_MS;
            const drained = fleet.entries[0]!.drain(GRACE_MS);
            const reply = await fleet.run(pending);
            const isInTime = fleet.clock.monotonic() < exitAt;
            await fleet.run(drained);
            return { ...reply, isInTime };
        }

        it("refuses a call that waits for an upstream", async () => {
            // Failure: a caller whose call was never sent gets a closed connection, and may not send the call again.
            await startFleet({ upstreams: [{ slots: 1, workMs: 60_000 }] });
            const first = fleet.startCall({ entry: 1, path: "/orders/1", key: KEY });
            await fleet.advance(50);
            const { status, headers, isInTime } = await endDrainBeside({ entry: 0, path: "/orders/2", key: KEY });
            assert.deepEqual([status, findHeader(headers, CALL_HEADERS.notRun), isInTime], [503, "1", true]);
            await fleet.run(first);
        });

        it("refuses a call that waits for the first document", async () => {
            // Failure: a caller gets a closed connection, as its call is not among the running ones yet.
            await startFleet();
            for (const number of [0, 1, 2, 3, 4]) await fleet.killControl(number);
            await fleet.killEntry(0);
            await fleet.run(fleet.startEntry(0));
            const { status, headers, isInTime } = await endDrainBeside({ entry: 0, path: "/open/1" });
            assert.deepEqual([status, findHeader(headers, CALL_HEADERS.notRun), isInTime], [503, "1", true]);
        });

        it("tells the caller of a running call without an answer that it may have run", async () => {
            await startFleet({ upstreams: [{ workMs: 60_000 }] });
            const { status, headers, isInTime } = await endDrainBeside({ entry: 0, path: "/orders/1", key: KEY });
            assert.deepEqual([status, findHeader(headers, CALL_HEADERS.notRun), isInTime], [502, undefined, true]);
        });

        it("lets a stream go on that has begun", async () => {
            await startFleet({ upstreams: [{ events: 6, gapMs: 170 }, { events: 6, gapMs: 170 }] });
            const reply = await endDrainBeside({ entry: 0, path: "/sheets/1", key: KEY });
            assert.deepEqual([reply.isWhole, reply.isInTime], [true, true]);
        });
    });

    describe("the drain of an entry", () => {
        /** Drains entry 0 while a call is running. Returns when the drain had ended and when the call had, in milliseconds. */
        async function drainBeside(
            call: Promise<unknown>,
        ): Promise<{ readonly drainedAt: number; readonly endedAt: number; }> {
            const now = (): number => fleet.clock.monotonic();
            const drained = fleet.entries[0]!.drain(5_000).then(isClean => {
                assert.ok(isClean);
                return now();
            });
            const [drainedAt, endedAt] = await fleet.run(Promise.all([drained, call.then(now)]));
            return { drainedAt, endedAt };
        }

        it("waits for a call that waits for the first document", async () => {
            // Failure: a caller gets a closed connection. Its call is not among the running ones while it waits for the first document.
            await startFleet();
            for (const number of [0, 1, 2, 3, 4]) await fleet.killControl(number);
            await fleet.killEntry(0);
            await fleet.run(fleet.startEntry(0));
            const headers: HeaderList = [["x-sequoiamux-deadline-ms", "30000"]];
            const pending = fleet.startCall({ entry: 0, path: "/open/1", headers });
            await fleet.advance(50);
            const { drainedAt, endedAt } = await drainBeside(pending);
            assert.equal((await pending).status, 503);
            assert.ok(drainedAt >= endedAt, `drained ${endedAt - drainedAt} ms before the answer`);
        });

        it("waits until the last bytes of an answer have left", async () => {
            // Failure: an answer to a slow reader is cut. The call counts as ended when its last bytes are handed to the connection.
            await startFleet({ upstreams: [{ events: 6 }, { events: 6 }] });
            const pending = fleet.startCall({ entry: 0, path: "/sheets/1", key: KEY });
            await fleet.advance(40);
            const [caller, entry] = ["10.0.8.1", "10.0.1.1"];
            fleet.fabric.isolate(entry, [caller], true);
            fleet.clock.after(2_000, () => fleet.fabric.isolate(entry, [caller], false));
            const { drainedAt, endedAt } = await drainBeside(pending);
            assert.ok((await pending).isWhole);
            assert.ok(drainedAt >= endedAt, `drained ${endedAt - drainedAt} ms before the answer had come`);
        });
    });

    describe("time", () => {
        it("ends each call as soon as its route's timeout expires", async () => {
            await startFleet({ upstreams: [{ workMs: 60_000 }] });
            const reply = await fleet.call({ entry: 0, path: "/orders/1", key: KEY });
            assert.equal(reply.status, 504);
            assert.ok(reply.tookMs >= 2_000 && reply.tookMs < 2_100, `${reply.tookMs} ms`);
        });
    });

    describe("keys", () => {
        it("are refused everywhere soon after they are withdrawn, also at an entry that is cut off", async () => {
            // A key is withdrawn from a caller that is still connected. One entry is cut off from all control processes at that time and
            // does not learn of it, so it must stop accepting keys on its own.
            await startFleet();
            fleet.fabric.isolate("10.0.1.1", [1, 2, 3, 4, 5].map(number => `10.0.0.${number}`), true);
            assert.equal(await fleet.replaceDocument(makeDocument(2, { workspaces: [] }), 1), true);
            await fleet.advance(4_100);
            assert.equal((await fleet.call({ entry: 0, path: "/orders/1", key: KEY })).status, 503);
            assert.equal((await fleet.call({ entry: 1, path: "/orders/1", key: KEY })).status, 401);
            assert.equal((await fleet.call({ entry: 0, path: "/open/1" })).status, 200);
        });
    });

    describe("leaving upstreams", () => {
        it("get no more work once a control process has acknowledged that they leave, whichever process is lost then", async () => {
            // Failure: an engine announces that it leaves and gets an acknowledgement, and the control process that sent it is lost
            // immediately afterwards. Entries that it had not notified continue to send to an engine that is about to end.
            await startFleet();
            assert.equal(await fleet.announce(0, "leaving", 4), true);
            await fleet.killControl(4);
            for (let i = 0; i < 10; i++) {
                const reply = await fleet.call({ entry: i % 2, path: "/status/1", key: KEY });
                assert.equal(fleet.upstreamOf(reply), "upstream-1");
            }
        });

        it("get no more work though the owner of the queue is cut off from control and does not know that they leave", async () => {
            // Failure: an engine that was given notice still gets calls seconds later. The entry that owns the pool's queue is cut off from
            // all control processes and grants that engine to other entries; these know that the engine leaves, but do not check the
            // grant against what they know of the upstream.
            await startFleet({ entries: 3 });
            const [first] = fleet.entries;
            const owner = [0, 1, 2].find(number =>
                `entry-${number}` === first!.dispatcher.ownerOf("ledger" as PoolId)
            )!;
            const controls = [1, 2, 3, 4, 5].map(number => `10.0.0.${number}`);
            fleet.fabric.isolate(`10.0.1.${owner + 1}`, controls, true);
            assert.equal(await fleet.announce(0, "leaving"), true);
            await fleet.advance(100);
            for (let i = 0; i < 6; i++) {
                const reply = await fleet.call({ entry: (owner + 1 + i % 2) % 3, path: "/orders/1", key: KEY });
                assert.equal(fleet.upstreamOf(reply), "upstream-1");
            }
        });

        it("are refused by a control process that can reach no other process", async () => {
            await startFleet();
            const others = [1, 2, 3, 4].map(number => `10.0.0.${number}`).concat(["10.0.1.1", "10.0.1.2"]);
            fleet.fabric.isolate("10.0.0.5", others, true);
            assert.equal(await fleet.announce(0, "leaving", 4), false);
        });
    });

    describe("with queues owned by control hosts", () => {
        const POOL = "ledger" as PoolId;
        const OPEN = { path: "/open/1", method: "GET" };

        async function startOwned(entries = 3): Promise<void> {
            await startFleet({ entries, queueHosts: true });
        }

        it("are granted by one owner on a control host, and by no entry", async () => {
            await startOwned();
            const owners = [0, 1, 2].map(entry => fleet.queueOwner(POOL, entry));
            assert.ok(owners[0] >= 0);
            assert.deepEqual(owners, [owners[0], owners[0], owners[0]]);
            for (const entry of [0, 1, 2]) assert.equal((await fleet.call({ ...OPEN, entry })).status, 200);
            assert.deepEqual(fleet.entries.flatMap(entry => entry!.local.pools()), []);
            assert.deepEqual(fleet.queues.flatMap(queues => queues!.local.pools()), [POOL]);
        });

        it("are served within the owner's reply timeout when it freezes, and without delay from then on", async () => {
            // An owner's machine is frozen: its connections stay open, and it sends nothing. Each call may wait for it once.
            await startOwned();
            await fleet.call({ ...OPEN, entry: 0 });
            fleet.cutControl(fleet.queueOwner(POOL), true);
            const first = await fleet.call({ ...OPEN, entry: 0 });
            const second = await fleet.call({ ...OPEN, entry: 0 });
            assert.deepEqual([first.status, second.status], [200, 200]);
            assert.ok(first.tookMs < 200 && second.tookMs < 50, `${first.tookMs} ms, ${second.tookMs} ms`);
        });

        it("are served when two control hosts are lost at once, the owner among them", async () => {
            await startOwned();
            await fleet.call({ ...OPEN, entry: 0 });
            const owner = fleet.queueOwner(POOL);
            await Promise.all([fleet.killControl(owner), fleet.killControl((owner + 1) % 5)]);
            for (const entry of [0, 1, 2]) {
                const { status, tookMs } = await fleet.call({ ...OPEN, entry });
                assert.equal(status, 200);
                assert.ok(tookMs < 400, `${tookMs} ms`);
            }
        });

        it("are owned by an entry while no control host answers, and by a control host again after that", async () => {
            // All control processes are killed at once and restarted seconds later. Calls that need no key continue meanwhile, in one queue.
            await startOwned();
            for (const number of [0, 1, 2, 3, 4]) await fleet.killControl(number);
            await fleet.advance(500);
            for (const entry of [0, 1, 2]) assert.equal((await fleet.call({ ...OPEN, entry })).status, 200);
            assert.equal(fleet.queueOwner(POOL), -1);
            for (const number of [0, 1, 2, 3, 4]) await fleet.run(fleet.startControl(number));
            await fleet.advance(6_000);
            assert.ok(fleet.queueOwner(POOL) >= 0);
            assert.equal((await fleet.call({ ...OPEN, entry: 1 })).status, 200);
        });

        it("share the retry budget among entries only", async () => {
            await startOwned(2);
            assert.equal(fleet.entries[0]!.control.entries().length, 7);
            assert.equal(fleet.entries[0]!.entryCounter.count(), 2);
        });
    });
});
