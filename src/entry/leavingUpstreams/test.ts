import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { RoutedFleet, RoutedFleetOptions, sendCalls } from "../../faultInjection/index.js";
import { PoolId } from "../../ids/index.js";
import { DraftDocument, makeDocument, makeRoute } from "../../routing/index.js";

const KEY = "butcher-key";
const POOL = "ledger" as PoolId;
const ROUTE = { kind: "idempotent", attempts: 2, timeoutMs: 4_000, targetMs: 1_000 };
/** Time after which no host sends anything to an upstream that has told one of them that it leaves, in milliseconds. */
const PROPAGATION_MS = 1_000;

describe("an upstream that states in its answers alone that it leaves", () => {
    const fleet = { running: undefined as RoutedFleet | undefined };

    async function startFleet(
        layout: Partial<RoutedFleetOptions> = {},
        route: DraftDocument = {},
    ): Promise<RoutedFleet> {
        const upstreams = Array.from({ length: 3 }, () => ({ slots: 24, workMs: 200 }));
        const started = new RoutedFleet({ entries: 4, upstreams, queueHosts: true, ...layout });
        fleet.running = started;
        await started.start(makeDocument({ routes: [makeRoute({ ...ROUTE, ...route })] }));
        return started;
    }

    function sendLoad(running: RoutedFleet, seconds: number, perSecond?: number, entries?: readonly number[]) {
        return sendCalls(running, { seconds, perSecond, entries, key: KEY });
    }

    afterEach(() => fleet.running?.close());

    it("gets no request from any host once one of them has been told that it leaves", async () => {
        // Otherwise requests would be lost with an upstream whose announcement of its departure is late.
        const running = await startFleet();
        const [leaving] = running.upstreams;
        leaving.stateDeparture();
        await running.run(Promise.all(await sendLoad(running, 1)));
        assert.ok(leaving.arrivals.length > 0);
        await running.advance(PROPAGATION_MS);
        const since = running.clock.monotonic();
        const replies = await running.run(Promise.all(await sendLoad(running, 4)));
        assert.deepEqual(leaving.arrivals.filter(({ at }) => at >= since), []);
        assert.deepEqual(replies.filter(({ status }) => status !== 200), []);
    });

    it("gets none from a host that alone was told and is cut off from all others", async () => {
        // Its statement reaches nobody else; the host that was told still keeps to it.
        const running = await startFleet({}, { keyless: true });
        running.cutEntriesApart();
        const [leaving] = running.upstreams;
        leaving.stateDeparture();
        await running.run(Promise.all(await sendLoad(running, 3, 24, [0])));
        assert.ok(leaving.arrivals.length > 0);
        await running.advance(PROPAGATION_MS);
        const since = running.clock.monotonic();
        await running.run(Promise.all(await sendLoad(running, 4, 24, [0])));
        assert.deepEqual(leaving.arrivals.filter(({ at }) => at >= since), []);
    });

    it("gets none after its queue's owner has ended", async () => {
        // The next owner must not go by an announcement that is older than the statement.
        const running = await startFleet();
        const [leaving] = running.upstreams;
        leaving.stateDeparture();
        await running.run(Promise.all(await sendLoad(running, 1)));
        await running.killControl(running.queueOwner(POOL));
        await running.advance(PROPAGATION_MS);
        const since = running.clock.monotonic();
        await running.run(Promise.all(await sendLoad(running, 4)));
        assert.deepEqual(leaving.arrivals.filter(({ at }) => at >= since), []);
    });

    for (
        const [title, fault] of [["an error", "error"], ["a refusal", "refuse"], [
            "a stream that breaks off",
            "break",
        ]] as const
    ) {
        it(`gets none after ${title} that states it`, async () => {
            const events = fault === "break" ? 8 : 0;
            const upstreams = Array.from({ length: 2 }, () => ({ slots: 24, workMs: 50, events }));
            const kind = fault === "break" ? { kind: "stream", gapMs: 100, resumable: true } : {};
            const running = await startFleet({ upstreams }, kind);
            const [leaving] = running.upstreams;
            leaving.faults.push(fault);
            leaving.stateDeparture();
            while (leaving.faults.length > 0) await running.run(Promise.all(await sendLoad(running, 1, 4)));
            await running.advance(PROPAGATION_MS);
            const reached = leaving.arrivals.length;
            await running.run(Promise.all(await sendLoad(running, 2)));
            assert.equal(leaving.arrivals.length, reached);
        });
    }

    it("gets none after it has answered a query of its queue's owner", async () => {
        // No caller's request has told anybody yet.
        const engine = { kvTokens: 1_000_000, kvBytes: 1, tokensPerEvent: 1, pinMs: 0, canMove: false };
        const pools = [{ pool: "ledger", connections: 100, engine }];
        const running = await startFleet();
        const [leaving] = running.upstreams;
        leaving.stateDeparture();
        await running.replaceDocument(makeDocument({ version: 2, pools, routes: [makeRoute({ ...ROUTE })] }));
        await running.advance(PROPAGATION_MS);
        const reached = leaving.arrivals.length;
        assert.ok(reached > 0);
        await running.run(Promise.all(await sendLoad(running, 2)));
        assert.equal(leaving.arrivals.length, reached);
    });

    it("gets work again as a new incarnation", async () => {
        const upstreams = [{ slots: 24, workMs: 50, crashesOn: "crash", restartMs: 200 }, { slots: 24, workMs: 50 }];
        const running = await startFleet({ upstreams });
        const [leaving] = running.upstreams;
        leaving.stateDeparture();
        await running.run(Promise.all(await sendLoad(running, 1)));
        await running.advance(PROPAGATION_MS);
        await leaving.crash();
        await running.advance(2_000);
        const since = running.clock.monotonic();
        await running.run(Promise.all(await sendLoad(running, 2)));
        assert.ok(leaving.runs.some(({ at }) => at >= since));
    });
});
