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
/** Time span over which a limit is checked, in milliseconds: short bursts are permitted. */
const SPAN_MS = 4_000;
/** Time after which all hosts respect a limit that an upstream has set, in milliseconds. */
const PROPAGATION_MS = 1_000;

describe("an upstream that sets a request limit", () => {
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

    /** Returns the maximum number of requests that reached an upstream within any span that starts at or after a time. */
    function maxRunsInSpan(running: RoutedFleet, upstream: number, since: number): number {
        const times = running.upstreams[upstream].runs.map(({ at }) => at).filter(at => at >= since);
        return Math.max(0, ...times.map(first => times.filter(at => at >= first && at < first + SPAN_MS).length));
    }

    /** Returns the number of requests permitted within a span: the limit with room for short bursts. */
    function maxPermitted(perSecond: number): number {
        return 1.5 * perSecond * SPAN_MS / 1_000 + 5;
    }

    afterEach(() => fleet.running?.close());

    for (const limit of [1, 2.5]) {
        it(`gets no more than its ${limit} a second from all entries together`, async () => {
            // Otherwise an overloaded upstream would get its usual share, whatever limit it sets.
            const running = await startFleet();
            await running.run(Promise.all(await sendLoad(running, 2)));
            running.upstreams[0].advertiseRequestLimit(limit);
            const since = running.clock.monotonic() + PROPAGATION_MS;
            const replies = await sendLoad(running, 12);
            assert.ok(running.upstreams[0].runs.length > 0);
            assert.ok(
                maxRunsInSpan(running, 0, since) <= maxPermitted(limit),
                `${maxRunsInSpan(running, 0, since)} in 4 s`,
            );
            const answered = (await running.run(Promise.all(replies))).filter(({ status }) => status === 200).length;
            assert.equal(answered, replies.length);
        });
    }

    it("gets no more while its queue changes owner", async () => {
        // A new owner of the queue has not received the limits that the previous owner received.
        const running = await startFleet();
        running.upstreams[0].advertiseRequestLimit(1);
        await running.run(Promise.all(await sendLoad(running, 4)));
        const since = running.clock.monotonic();
        for (let round = 0; round < 2; round++) {
            await running.killControl(running.queueOwner(POOL));
            await running.run(Promise.all(await sendLoad(running, 4)));
        }
        assert.ok(maxRunsInSpan(running, 0, since) <= maxPermitted(1), `${maxRunsInSpan(running, 0, since)} in 4 s`);
    });

    it("gets no more from entries that decide on their own", async () => {
        // Otherwise each entry would use the whole limit.
        const running = await startFleet({}, { keyless: true });
        running.upstreams[0].advertiseRequestLimit(4);
        await running.run(Promise.all(await sendLoad(running, 4, 80)));
        running.cutEntriesApart();
        const since = running.clock.monotonic();
        const replies = await sendLoad(running, 8, 80);
        assert.ok(maxRunsInSpan(running, 0, since) <= maxPermitted(4), `${maxRunsInSpan(running, 0, since)} in 4 s`);
        await running.run(Promise.all(replies));
    });

    it("gets no more while entries disagree on who owns its queue", async () => {
        // Otherwise two concurrent owners would each grant the whole limit.
        const running = await startFleet();
        running.upstreams[0].advertiseRequestLimit(8);
        await running.run(Promise.all(await sendLoad(running, 4, 80)));
        running.cutControlFromEntries(running.queueOwner(POOL), [0, 1]);
        await running.run(Promise.all(await sendLoad(running, 2, 80)));
        const since = running.clock.monotonic();
        await running.run(Promise.all(await sendLoad(running, 8, 80)));
        assert.ok(maxRunsInSpan(running, 0, since) <= maxPermitted(8), `${maxRunsInSpan(running, 0, since)} in 4 s`);
    });

    it("gets no more after an entry that knew the limit has restarted", async () => {
        const running = await startFleet();
        running.upstreams[0].advertiseRequestLimit(1);
        await running.run(Promise.all(await sendLoad(running, 4)));
        const since = running.clock.monotonic();
        await running.killEntry(0);
        await running.run(running.startEntry(0));
        await running.run(Promise.all(await sendLoad(running, 6)));
        assert.ok(maxRunsInSpan(running, 0, since) <= maxPermitted(1), `${maxRunsInSpan(running, 0, since)} in 4 s`);
    });

    it("gets its full share again soon after it has removed its limit", async () => {
        const running = await startFleet();
        running.upstreams[0].advertiseRequestLimit(1);
        await running.run(Promise.all(await sendLoad(running, 4)));
        running.upstreams[0].advertiseRequestLimit(undefined);
        await running.run(Promise.all(await sendLoad(running, 2)));
        const since = running.clock.monotonic();
        await running.run(Promise.all(await sendLoad(running, 4)));
        assert.ok(maxRunsInSpan(running, 0, since) > maxPermitted(1), `${maxRunsInSpan(running, 0, since)} in 4 s`);
    });

    it("gets its full share again also where the only entry that received the limit has ended", async () => {
        // Otherwise the limit would stay in force, since no remaining host learns that it was removed.
        const running = await startFleet();
        running.upstreams[0].advertiseRequestLimit(1);
        await running.run(Promise.all(await sendLoad(running, 2, 24, [0])));
        running.upstreams[0].advertiseRequestLimit(undefined);
        await running.killEntry(0);
        await running.run(Promise.all(await sendLoad(running, 2, 24, [1, 2, 3])));
        const since = running.clock.monotonic();
        await running.run(Promise.all(await sendLoad(running, 4, 24, [1, 2, 3])));
        assert.ok(maxRunsInSpan(running, 0, since) > maxPermitted(1), `${maxRunsInSpan(running, 0, since)} in 4 s`);
    });

    it("has its calls refused as not run, with a retry time, where there is no other upstream", async () => {
        // Otherwise calls would wait for an overloaded upstream until their callers give up.
        const running = await startFleet({ upstreams: [{ slots: 24, workMs: 40 }] });
        running.upstreams[0].advertiseRequestLimit(1);
        await running.run(Promise.all(await sendLoad(running, 4, 4)));
        const since = running.clock.monotonic();
        const replies = await running.run(Promise.all(await sendLoad(running, 10, 8)));
        const refused = replies.filter(({ status }) => status === 503);
        assert.ok(refused.length > 40 && refused.length < 80, `${refused.length} of 80 refused`);
        for (const { headers } of refused) {
            assert.equal(findHeader(headers, CALL_HEADERS.notRun), "1");
            assert.notEqual(findHeader(headers, "retry-after"), undefined);
        }
        assert.ok(maxRunsInSpan(running, 0, since) <= maxPermitted(1), `${maxRunsInSpan(running, 0, since)} in 4 s`);
    });
});
