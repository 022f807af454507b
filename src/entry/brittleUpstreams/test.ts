import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { RoutedFleet, RoutedFleetOptions, sendCalls } from "../../faultInjection/index.js";
import { PoolId } from "../../ids/index.js";
import { DraftDocument, makeDocument, makeRoute } from "../../routing/index.js";

const KEY = "butcher-key";
const POOL = "ledger" as PoolId;
const ROUTE = { kind: "idempotent", attempts: 2, timeoutMs: 4_000, targetMs: 1_000 };
/** Number of calls that a brittle upstream can turn away within a second, and room that it has then. */
const REJECTION_LIMIT = 10;
const ROOM = 8;
/** Time from when they say so until they have less room, in seconds. */
const NOTICE_S = 3;
/** Calls a second for which the room of all upstreams together is a quarter too small, and for which it suffices. */
const OVERLOAD_PER_S = 150;
const LOAD_PER_S = 90;
const LOW_LOAD_PER_S = 45;

describe("upstreams that are brittle", () => {
    const fleet = { running: undefined as RoutedFleet | undefined };

    async function startFleet(
        layout: Partial<RoutedFleetOptions> = {},
        route: DraftDocument = {},
    ): Promise<RoutedFleet> {
        const upstreams = Array.from({ length: 3 }, () => ({ slots: 24, workMs: 200, restartMs: 3_000 }));
        const started = new RoutedFleet({ entries: 4, upstreams, queueHosts: true, ...layout });
        fleet.running = started;
        await started.start(makeDocument({ routes: [makeRoute({ ...ROUTE, ...route })] }));
        await started.advance(10_000);
        return started;
    }

    function sendLoad(running: RoutedFleet, seconds: number, perSecond: number) {
        return sendCalls(running, { seconds, perSecond, key: KEY });
    }

    /** Has the upstreams say that they are brittle, and have less room some seconds later; until then they serve all. */
    async function becomeBrittle(
        running: RoutedFleet,
        limit: number,
        room = ROOM,
        perSecond = LOAD_PER_S,
    ): Promise<void> {
        for (const upstream of running.upstreams) upstream.becomeBrittle(limit);
        const replies = await running.run(Promise.all(await sendLoad(running, NOTICE_S, perSecond)));
        assert.deepEqual(replies.filter(({ status }) => status !== 200), []);
        for (const upstream of running.upstreams) upstream.becomeBrittle(limit, room);
    }

    function countFalls(running: RoutedFleet): number {
        return running.upstreams.reduce((sum, { crashes }) => sum + crashes.length, 0);
    }

    /** Returns the share of calls that were answered. */
    async function answeredShare(running: RoutedFleet, replies: readonly Promise<{ status: number; }>[]) {
        const settled = await running.run(Promise.all(replies));
        return settled.filter(({ status }) => status === 200).length / settled.length;
    }

    afterEach(() => fleet.running?.close());

    it("do not fall over under more calls than they have room for", async () => {
        // Calls that they turn away come back to them within milliseconds, until they have turned away too many.
        const running = await startFleet();
        await becomeBrittle(running, REJECTION_LIMIT);
        const during = await sendLoad(running, 10, OVERLOAD_PER_S);
        const share = await answeredShare(running, during);
        assert.equal(countFalls(running), 0);
        assert.ok(share > 0.6, `${share} of the calls answered`);
    });

    it("serve what they have room for", async () => {
        const running = await startFleet();
        await becomeBrittle(running, REJECTION_LIMIT);
        const replies = await sendLoad(running, 8, LOAD_PER_S);
        assert.equal(await answeredShare(running, replies), 1);
        assert.equal(countFalls(running), 0);
    });

    it("do not fall over while their queue changes owner", async () => {
        // A new owner of the queue has not been told, and does not know how much room they have.
        const running = await startFleet();
        await becomeBrittle(running, REJECTION_LIMIT);
        const replies = await sendLoad(running, 4, OVERLOAD_PER_S);
        for (let round = 0; round < 2; round++) {
            await running.killControl(running.queueOwner(POOL));
            replies.push(...await sendLoad(running, 4, OVERLOAD_PER_S));
        }
        await running.run(Promise.all(replies));
        assert.equal(countFalls(running), 0);
    });

    it("do not fall over by the calls of hosts that decide on their own", async () => {
        const running = await startFleet({}, { keyless: true });
        await becomeBrittle(running, REJECTION_LIMIT);
        const replies = await sendLoad(running, 3, LOAD_PER_S);
        running.cutEntriesApart();
        replies.push(...await sendLoad(running, 8, OVERLOAD_PER_S));
        await running.run(Promise.all(replies));
        assert.equal(countFalls(running), 0);
    });

    for (const limit of [0, 1, 1_000_000]) {
        it(`do not fall over, and go on serving, with a limit of ${limit}`, async () => {
            const running = await startFleet();
            await becomeBrittle(running, limit, 24, LOW_LOAD_PER_S);
            const replies = await sendLoad(running, 6, LOW_LOAD_PER_S);
            assert.equal(await answeredShare(running, replies), 1);
            assert.equal(countFalls(running), 0);
        });
    }

    it("get their usual share again once their answers no longer say it", async () => {
        const running = await startFleet();
        await becomeBrittle(running, 1_000);
        await running.run(Promise.all(await sendLoad(running, 3, OVERLOAD_PER_S)));
        for (const upstream of running.upstreams) upstream.becomeBrittle(undefined);
        await running.run(Promise.all(await sendLoad(running, 2, OVERLOAD_PER_S)));
        const replies = await sendLoad(running, 3, OVERLOAD_PER_S);
        assert.equal(await answeredShare(running, replies), 1);
    });
});
