import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { EmulatedCallUpstreamOptions } from "../../emulator/index.js";
import { RecordingLogger, RoutedFleet, RoutedFleetOptions, TestReply } from "../../faultInjection/index.js";
import { PoolId } from "../../ids/index.js";
import { DraftDocument, makeDocument, makeRoute } from "../../routing/index.js";

const KEY = "butcher-key";
const POOL = "ledger" as PoolId;
/** Time after its start in which an entry repeats few calls, in milliseconds. */
const BUDGET_WINDOW_MS = 10_000;
const EVENTS = 40;
const WHOLE = Array.from({ length: EVENTS }, (_, at) => at + 1);
const UPSTREAM: Partial<EmulatedCallUpstreamOptions> = { slots: 24, workMs: 60, gapMs: 40 };
const STREAMING: Partial<EmulatedCallUpstreamOptions> = { ...UPSTREAM, events: EVENTS };
const ROUTE: DraftDocument = { attempts: 2, timeoutMs: 12_000, targetMs: 400 };
const STREAM: DraftDocument = { ...ROUTE, kind: "stream", resumable: true, gapMs: 200 };
const IDEMPOTENT: DraftDocument = { ...ROUTE, kind: "idempotent" };

describe("calls whose upstream is sound and only silent", () => {
    let fleet: RoutedFleet;

    async function startFleet(route: DraftDocument, layout: Partial<RoutedFleetOptions>, ageMs = BUDGET_WINDOW_MS) {
        fleet = new RoutedFleet({ entries: 1, queueHosts: true, ...layout });
        await fleet.start(makeDocument({ routes: [makeRoute(route)] }));
        await fleet.advance(ageMs);
    }

    /** Starts calls and lets them come to their upstreams. */
    async function startCalls(count: number, name = "call"): Promise<Promise<TestReply>[]> {
        const replies = Array.from(
            { length: count },
            (_, number) =>
                fleet.startCall({ entry: 0, path: `/orders/${number}`, key: KEY, request: `${name}-${number}` }),
        );
        await fleet.advance(400);
        return replies;
    }

    /** Returns the number of the upstream that ran a call last; -1 where none did. */
    function upstreamOf(request: string): number {
        const startOf = ({ runs }: typeof fleet.upstreams[number]): number =>
            Math.max(-1, ...runs.filter(run => run.request === request).map(({ at }) => at));
        const starts = fleet.upstreams.map(startOf);
        const last = Math.max(...starts);
        return last < 0 ? -1 : starts.indexOf(last);
    }

    function countRuns(): number {
        return fleet.upstreams.reduce((sum, { runs }) => sum + runs.length, 0);
    }

    function listEvents({ body }: TestReply): number[] {
        return [...body.matchAll(/id: (\d+)\n/g)].map(([, id]) => Number(id));
    }

    async function checkWhole(replies: Promise<TestReply>[]): Promise<void> {
        for (const [number, reply] of (await fleet.run(Promise.all(replies))).entries()) {
            assert.deepEqual([reply.status, reply.isWhole], [200, true], `call ${number}: ${reply.body.slice(0, 80)}`);
            if (reply.body.startsWith("id: ")) assert.deepEqual(listEvents(reply), WHOLE, `call ${number}`);
        }
        await fleet.advance(1_000);
        for (const queue of fleet.queues) assert.equal(queue!.local.countRunning(POOL), 0, "a grant is still held");
        for (const entry of fleet.entries) assert.deepEqual([...entry!.dispatcher.listRunning()], []);
    }

    afterEach(() => fleet.close());

    describe("streams", () => {
        it("end whole where their second upstream falls silent too, and no attempts are left", async () => {
            // A stall would end a stream that has nowhere to go.
            await startFleet(STREAM, { upstreams: [STREAMING, STREAMING] });
            const replies = await startCalls(1);
            const first = upstreamOf("call-0");
            fleet.upstreams[first].fallSilent(6_000);
            await fleet.advance(2_200);
            assert.equal(upstreamOf("call-0"), 1 - first);
            fleet.upstreams[1 - first].fallSilent(3_500);
            await checkWhole(replies);
            assert.equal(countRuns(), 2);
        });

        it("end whole where more of them stall at once than may be repeated", async () => {
            // A stall would end each stream for which the repeats budget has nothing left.
            await startFleet(STREAM, { upstreams: [STREAMING, STREAMING, STREAMING] }, 0);
            const replies = await startCalls(30);
            for (const upstream of fleet.upstreams.slice(0, 2)) upstream.fallSilent(3_000);
            await checkWhole(replies);
            assert.ok(countRuns() <= 30 + 6, `${countRuns()} runs`);
        });

        it("end whole where all upstreams are silent at the same time, for longer than a stall", async () => {
            // Each stream would be cut at its second upstream, which is no better than the first.
            await startFleet(STREAM, { upstreams: [STREAMING, STREAMING, STREAMING] });
            const replies = await startCalls(12);
            for (const upstream of fleet.upstreams) upstream.fallSilent(4_000);
            await checkWhole(replies);
        });

        it("end whole where the only other upstream asks this host to back off", async () => {
            // A stream that was turned away there would be cut, though the upstream that it left takes it again soon.
            await startFleet(STREAM, { upstreams: [STREAMING, STREAMING] });
            const replies = await startCalls(1);
            const first = upstreamOf("call-0");
            fleet.upstreams[1 - first].turnAway("20");
            fleet.upstreams[first].fallSilent(8_000);
            await checkWhole(replies);
            assert.equal(countRuns(), 2);
        });

        it("end whole where the upstreams to which they move turn them away until the repeats budget is spent", async () => {
            // A stream would be cut with seconds left, though the upstream that it left is sound.
            await startFleet(STREAM, { upstreams: [STREAMING, STREAMING, STREAMING] }, 0);
            const replies = await startCalls(20);
            const [silent, ...others] = fleet.upstreams;
            silent.fallSilent(2_500);
            for (const { faults } of others) faults.push(...Array.from({ length: 10 }, () => "refuse" as const));
            await checkWhole(replies);
        });

        it("end whole where the only other upstream has no free slot", async () => {
            // A stall would end a stream whose new ticket waits until it is refused.
            await startFleet(STREAM, { upstreams: [{ ...STREAMING, slots: 1 }, { ...STREAMING, slots: 1 }] });
            const replies = await startCalls(2);
            for (const upstream of fleet.upstreams) upstream.fallSilent(8_500);
            await checkWhole(replies);
            assert.equal(countRuns(), 2);
        });

        it("have no owner of a queue suspected that lets their tickets wait", async () => {
            // Another owner would decide on them without knowing what runs, and upstreams that are full would turn them away.
            const logger = new RecordingLogger();
            const upstreams = [{ ...STREAMING, slots: 1 }, { ...STREAMING, slots: 1 }];
            await startFleet(STREAM, { upstreams, logger });
            const replies = await startCalls(2);
            for (const upstream of fleet.upstreams) upstream.fallSilent(8_500);
            await checkWhole(replies);
            assert.deepEqual(logger.list("queue-owner-suspected"), []);
        });

        it("end whole where the only other upstream states that it is about to end", async () => {
            // The grant for it must not be used, and the stream would end with its refusal.
            await startFleet(STREAM, { upstreams: [STREAMING, STREAMING] });
            const replies = await startCalls(1);
            const first = upstreamOf("call-0");
            fleet.upstreams[first].fallSilent(8_000);
            fleet.upstreams[1 - first].stateDeparture();
            await checkWhole([...replies, ...await startCalls(1, "other")]);
        });

        it("stay where they are when the silence ends while they wait for another upstream", async () => {
            // A stream would be read in again elsewhere after its own upstream has gone on.
            const slow = { ...STREAMING, slots: 1, gapMs: 80 };
            await startFleet(STREAM, { upstreams: [{ ...STREAMING, slots: 1 }, slow] });
            const replies = await startCalls(2);
            fleet.upstreams[0].fallSilent(1_900);
            await checkWhole(replies);
            assert.equal(countRuns(), 2);
        });
    });

    for (
        const [calls, route, upstream] of [
            ["repeatable calls", IDEMPOTENT, UPSTREAM],
            ["streams without a first event", STREAM, STREAMING],
        ] as const
    ) {
        describe(calls, () => {
            it("are answered where more of them are late at once than may be repeated", async () => {
                // A late first byte would end each call for which the repeats budget has nothing left.
                await startFleet(route, { upstreams: [upstream, upstream, upstream] }, 0);
                for (const each of fleet.upstreams) each.fallSilent(4_000);
                await checkWhole(await startCalls(30));
                assert.ok(countRuns() <= 30 + 6, `${countRuns()} runs`);
            });

            it("are answered where the only other upstream has no free slot", async () => {
                // A late first byte would end a call whose new ticket waits until it is refused.
                await startFleet(route, { upstreams: [{ ...upstream, slots: 1 }, { ...upstream, slots: 1 }] });
                for (const each of fleet.upstreams) each.fallSilent(9_000);
                await checkWhole(await startCalls(2));
                assert.equal(countRuns(), 2);
            });

            it("are answered where the only other upstream turns them away", async () => {
                // A call that was turned away there would end, though the upstream that it left takes it again soon.
                await startFleet(route, { upstreams: [upstream, upstream] });
                for (const each of fleet.upstreams) each.fallSilent(8_000);
                const replies = await startCalls(1);
                fleet.upstreams[1 - upstreamOf("call-0")].turnAway("20");
                await checkWhole(replies);
                assert.equal(countRuns(), 2);
            });
        });
    }

    it("are asked for once at most where they may run only once", async () => {
        await startFleet({ ...ROUTE, kind: "once" }, { upstreams: [UPSTREAM, UPSTREAM] });
        for (const upstream of fleet.upstreams) upstream.fallSilent(5_000);
        await checkWhole(await startCalls(6));
        assert.equal(countRuns(), 6);
    });
});
