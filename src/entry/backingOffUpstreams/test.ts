import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { RoutedFleet, RoutedFleetOptions, sendCalls } from "../../faultInjection/index.js";
import { PoolId } from "../../ids/index.js";
import { CALL_HEADERS } from "../../passthrough/index.js";
import { findHeader } from "../../ports/index.js";
import { DraftDocument, makeDocument, makeRoute } from "../../routing/index.js";

const KEY = "butcher-key";
const POOL = "ledger" as PoolId;
const ROUTE = { kind: "idempotent", attempts: 2, timeoutMs: 4_000, targetMs: 1_000 };
/** Time after its start in which an entry repeats few calls, in milliseconds. */
const BUDGET_WINDOW_MS = 10_000;
const BACK_OFF_MS = 3_000;
/** Time after an answer in which requests that had been granted before may still arrive, in milliseconds. */
const IN_FLIGHT_MS = 500;
/** Number of requests that may reach an upstream from one host within a back-off. */
const MAX_REQUESTS_WITHIN = 2;

describe("an upstream that asks a host to back off", () => {
    const fleet = { running: undefined as RoutedFleet | undefined };

    async function startFleet(
        layout: Partial<RoutedFleetOptions> = {},
        route: DraftDocument = {},
    ): Promise<RoutedFleet> {
        const upstreams = Array.from({ length: 3 }, () => ({ slots: 24, workMs: 200 }));
        const started = new RoutedFleet({ entries: 4, upstreams, queueHosts: true, ...layout });
        fleet.running = started;
        await started.start(makeDocument({ routes: [makeRoute({ ...ROUTE, ...route })] }));
        await started.advance(BUDGET_WINDOW_MS);
        return started;
    }

    function sendLoad(running: RoutedFleet, seconds: number, perSecond?: number, entries?: readonly number[]) {
        return sendCalls(running, { seconds, perSecond, entries, key: KEY });
    }

    /** Returns the maximum number of requests that one host sent to an upstream within a back-off that it was asked for. */
    function maxRequestsWithin(running: RoutedFleet, upstream: number): number {
        const { arrivals } = running.upstreams[upstream];
        const counts = arrivals.map(asked =>
            arrivals.filter(({ from, at }) =>
                from === asked.from && at > asked.at + IN_FLIGHT_MS && at < asked.at + BACK_OFF_MS
            ).length
        );
        return Math.max(0, ...counts);
    }

    afterEach(() => fleet.running?.close());

    it("gets no request from a host within the time for which it asked that host to back off", async () => {
        // Otherwise an overloaded upstream would go on to spend its time on turning requests away.
        const running = await startFleet();
        running.upstreams[0].turnAway(String(BACK_OFF_MS / 1_000));
        const replies = await running.run(Promise.all(await sendLoad(running, 9)));
        assert.ok(running.upstreams[0].arrivals.length > 0);
        assert.ok(
            maxRequestsWithin(running, 0) <= MAX_REQUESTS_WITHIN,
            `${maxRequestsWithin(running, 0)} requests within a back-off`,
        );
        assert.deepEqual(replies.filter(({ status }) => status !== 200), []);
    });

    it("gets none from hosts that were asked before its queue's owner ended", async () => {
        // The next owner has not been told, and would grant what the previous one would not.
        const running = await startFleet();
        running.upstreams[0].turnAway("3");
        for (let round = 0; round < 2; round++) {
            await running.run(Promise.all(await sendLoad(running, 2)));
            await running.killControl(running.queueOwner(POOL));
            await running.run(Promise.all(await sendLoad(running, 2)));
        }
        assert.ok(maxRequestsWithin(running, 0) <= MAX_REQUESTS_WITHIN, `${maxRequestsWithin(running, 0)} requests`);
    });

    it("gets none from hosts that decide on their own", async () => {
        // A host that is cut off from all others keeps to what it was told itself.
        const running = await startFleet({}, { keyless: true });
        running.cutEntriesApart();
        running.upstreams[0].turnAway("3");
        const replies = await running.run(Promise.all(await sendLoad(running, 8)));
        assert.ok(running.upstreams[0].arrivals.length > 0);
        assert.ok(maxRequestsWithin(running, 0) <= MAX_REQUESTS_WITHIN, `${maxRequestsWithin(running, 0)} requests`);
        assert.ok(replies.filter(({ status }) => status === 200).length > replies.length / 2);
    });

    it("has calls that must not be repeated run by another upstream", async () => {
        // Its answer says that it has not run them.
        const running = await startFleet({}, { kind: "once" });
        running.upstreams[0].turnAway("3");
        const replies = await running.run(Promise.all(await sendLoad(running, 4)));
        assert.deepEqual(replies.filter(({ status }) => status !== 200), []);
        const runs = running.upstreams.flatMap(upstream => upstream.runs.map(({ request }) => request));
        assert.equal(new Set(runs).size, runs.length);
    });

    it("gets its requests back one after the other when the back-off ends", async () => {
        // Otherwise all calls that waited for the only upstream would reach it at the same moment.
        const running = await startFleet({ entries: 1, upstreams: [{ slots: 24, workMs: 100 }] });
        const [upstream] = running.upstreams;
        upstream.turnAway("0.8");
        await running.run(running.startCall({ entry: 0, path: "/orders/first", key: KEY }));
        upstream.turnAway(undefined);
        const askedAt = upstream.arrivals.at(-1)!.at;
        const replies = Array.from(
            { length: 12 },
            (_, call) => running.startCall({ entry: 0, path: `/orders/${call}`, key: KEY }),
        );
        const answered = await running.run(Promise.all(replies));
        assert.deepEqual(answered.filter(({ status }) => status !== 200), []);
        const sinceEndMs = upstream.runs.map(({ at }) => at - askedAt - 800);
        assert.ok(sinceEndMs[0] >= 0 && sinceEndMs[0] < 100, `${sinceEndMs[0]} ms after the end`);
        assert.equal(sinceEndMs.filter(ms => ms < 100).length, 1);
        assert.equal(sinceEndMs.filter(ms => ms < 200).length, 3);
        assert.equal(sinceEndMs.filter(ms => ms < 300).length, 7);
    });

    it("serves a call that waits for the end also after its queue's owner has ended", async () => {
        // The next owner must know of the back-off: it would grant what the host may not use, and the call would be refused.
        const route = { timeoutMs: 8_000, targetMs: 6_000 };
        const running = await startFleet({ entries: 1, upstreams: [{ slots: 24, workMs: 100 }] }, route);
        const [upstream] = running.upstreams;
        upstream.turnAway("2");
        const first = running.startCall({ entry: 0, path: "/orders/first", key: KEY });
        await running.advance(100);
        upstream.turnAway(undefined);
        await running.run(running.killControl(running.queueOwner(POOL)));
        const second = running.startCall({ entry: 0, path: "/orders/second", key: KEY });
        const replies = await running.run(Promise.all([first, second]));
        assert.deepEqual(replies.map(({ status }) => status), [200, 200]);
        assert.equal(upstream.arrivals.length, 3);
    });

    it("has calls refused at once, with the time of its end, where they cannot wait for that", async () => {
        // Otherwise they would wait for nothing, or their callers would come back too early.
        const running = await startFleet({ entries: 1, upstreams: [{ slots: 24, workMs: 100 }] });
        running.upstreams[0].turnAway("20");
        await running.run(running.startCall({ entry: 0, path: "/orders/first", key: KEY }));
        await running.advance(1_000);
        const reply = await running.run(running.startCall({ entry: 0, path: "/orders/second", key: KEY }));
        assert.equal(reply.status, 503);
        assert.equal(findHeader(reply.headers, CALL_HEADERS.notRun), "1");
        assert.ok(reply.tookMs < 50, `after ${reply.tookMs} ms`);
        const retryAfterS = Number(findHeader(reply.headers, "retry-after"));
        assert.ok(retryAfterS > 18.5 && retryAfterS < 19.1, `retry after ${retryAfterS} s`);
        assert.equal(running.upstreams[0].arrivals.length, 1);
    });

    it("serves other hosts meanwhile", async () => {
        // Only the hosts that were asked must back off.
        const running = await startFleet({ entries: 2, upstreams: [{ slots: 24, workMs: 100 }] });
        running.upstreams[0].turnAway("20");
        await running.run(running.startCall({ entry: 0, path: "/orders/first", key: KEY }));
        running.upstreams[0].turnAway(undefined);
        const reply = await running.run(running.startCall({ entry: 1, path: "/orders/second", key: KEY }));
        assert.equal(reply.status, 200);
    });

    it("gets its usual requests after an unreadable time or one of 0", async () => {
        const running = await startFleet();
        for (const value of ["soon", "-3", "", "0"]) {
            running.upstreams[0].turnAway(value);
            await running.run(Promise.all(await sendLoad(running, 1)));
        }
        running.upstreams[0].turnAway(undefined);
        await running.run(Promise.all(await sendLoad(running, 2)));
        assert.ok(running.upstreams[0].runs.length > 0);
    });
});
