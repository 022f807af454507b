import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { RoutedFleet, RoutedFleetOptions, TestReply } from "../../faultInjection/index.js";
import { PoolId } from "../../ids/index.js";
import { makeDocument, makeRoute } from "../../routing/index.js";

const KEY = "butcher-key";
const POOL = "ledger" as PoolId;
const COLD_RATE_PER_S = 4;
/** Permitted for a short time, while a queue changes owner: the rate of two owners. */
const MAX_RUNS_PER_S = 2 * COLD_RATE_PER_S;
const PARTS = {
    routes: [makeRoute({ kind: "idempotent", attempts: 2, timeoutMs: 8_000, targetMs: 4_000 })],
    pools: [{
        pool: "ledger",
        connections: 500,
        cold: { durationMs: 3_000, requestsPerSecond: COLD_RATE_PER_S + 0.5 },
    }],
};

describe("cold upstreams", () => {
    const fleet = { running: undefined as RoutedFleet | undefined };

    async function startFleet(layout: Partial<RoutedFleetOptions> = {}): Promise<RoutedFleet> {
        const upstreams = Array.from({ length: 4 }, () => ({ slots: 24, workMs: 30, coldMs: 60_000 }));
        const started = new RoutedFleet({ entries: 4, upstreams, queueHosts: true, ...layout });
        fleet.running = started;
        await started.start(makeDocument(PARTS));
        return started;
    }

    /** Sends calls at a constant rate, through all entries in turn. */
    async function sendLoad(running: RoutedFleet, seconds: number, perSecond: number): Promise<Promise<TestReply>[]> {
        const replies: Promise<TestReply>[] = [];
        for (let call = 0; call < seconds * perSecond; call++) {
            replies.push(running.startCall({ entry: call % 4, path: `/orders/${call}`, key: KEY }));
            await running.advance(1_000 / perSecond);
        }
        return replies;
    }

    /** Returns the maximum number of requests that reached any one upstream within a second. */
    function maxRunsPerSecond(running: RoutedFleet): number {
        const counts = running.upstreams.flatMap(({ runs }) =>
            runs.map(({ at }) => runs.filter(other => other.at >= at && other.at < at + 1_000).length)
        );
        return Math.max(0, ...counts);
    }

    afterEach(() => fleet.running?.close());

    it("get no more than their cold rate from all entries together", async () => {
        const running = await startFleet();
        const replies = await sendLoad(running, 6, 60);
        assert.ok(maxRunsPerSecond(running) <= COLD_RATE_PER_S);
        const answered = (await running.run(Promise.all(replies))).filter(({ status }) => status === 200).length;
        assert.ok(answered >= 4 * COLD_RATE_PER_S * 5, `${answered} answered`);
    });

    it("get no more while their queue changes owner", async () => {
        // A new owner does not know what the previous one has just sent, and would send the whole rate again.
        const running = await startFleet();
        const replies = await sendLoad(running, 2, 60);
        await running.killControl(running.queueOwner(POOL));
        replies.push(...await sendLoad(running, 4, 60));
        assert.ok(maxRunsPerSecond(running) <= MAX_RUNS_PER_S);
        await running.run(Promise.all(replies));
    });

    it("get nothing from entries that decide on their own", async () => {
        // Otherwise each entry would send a burst of its own, since it counts only what it sends itself.
        const running = await startFleet();
        for (const number of [0, 1, 2, 3, 4]) running.cutControl(number, true);
        const before = running.upstreams.map(({ runs }) => runs.length);
        const replies = await sendLoad(running, 3, 60);
        assert.deepEqual(running.upstreams.map(({ runs }) => runs.length), before);
        await running.run(Promise.all(replies));
    });

    it("get a zone's calls gradually when the zone is restored", async () => {
        // Upstreams that became cold while their zone was evacuated report it only with their next announcement.
        const upstreams = ["vogar", "keflavik"].map(zone => ({ zone, slots: 24, workMs: 400 }));
        const running = await startFleet({ upstreams });
        assert.equal(await running.submitZoneOrder("zone.evacuate", "vogar"), true);
        const replies = await sendLoad(running, 2, 50);
        assert.equal(running.upstreams[0].runs.length, 0);
        running.upstreams[0].becomeCold(3_000);
        assert.equal(await running.submitZoneOrder("zone.restore", "vogar"), true);
        replies.push(...await sendLoad(running, 2, 50));
        const { runs } = running.upstreams[0];
        assert.ok(runs.length > 0);
        for (const { at } of runs) {
            assert.ok(runs.filter(other => other.at >= at && other.at < at + 1_000).length <= COLD_RATE_PER_S);
        }
        await running.run(Promise.all(replies));
    });
});
