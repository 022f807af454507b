import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { makeAnnouncement } from "../fixtures/index.js";
import { Upstream } from "../upstream/index.js";
import { UpstreamLoad } from "./index.js";

function makeLoad(running: number, ageMs: number, receivedAt: number): UpstreamLoad {
    const load = { running, queued: 0, kv_used: 0, tokens_per_second: 0, age_ms: ageMs };
    return new UpstreamLoad(new Upstream(makeAnnouncement({ slots: 8, load }), receivedAt, true));
}

describe("UpstreamLoad", () => {
    describe("a report that is older than the latest requests", () => {
        // One engine was flooded while its neighbours idled: its report, a second old, said that it was empty, and each
        // of twenty requests in that second went there.
        it("counts requests sent since", () => {
            const load = makeLoad(0, 1_000, 1_000);
            for (let index = 0; index < 5; index++) load.markSent(900);
            assert.equal(load.outstanding, 5);
            assert.equal(load.freeSlots(1_000), 3);
        });

        it("does not count its own requests twice", () => {
            const load = makeLoad(5, 200, 1_000);
            for (let index = 0; index < 5; index++) load.markSent(100);
            assert.equal(load.outstanding, 5);
            for (let index = 0; index < 5; index++) load.markEnded(950);
            assert.equal(load.outstanding, 0);
        });
    });

    describe("requests adopted from a lost owner of the queue", () => {
        // For a second after a host was lost, all callers waited although slots were free: the new owner counted each
        // running request twice, once as adopted and once in the upstreams' reports.
        it("are not counted again as the load of others", () => {
            const load = makeLoad(4, 300, 1_000);
            for (const startedAt of [100, 200, 300, 400]) load.adopt(startedAt);
            assert.equal(load.freeSlots(1_000), 4);
        });
    });

    it("adds the load of others", () => {
        const load = makeLoad(6, 0, 1_000);
        load.markSent(500);
        load.markSent(600);
        assert.equal(load.outstanding, 6);
        assert.equal(load.usableSlots(1_000, 1_000), 4);
    });

    describe("while it is cold", () => {
        const COLD_REQUESTS_PER_S = 3;

        function makeColdLoad(coldMs: number): UpstreamLoad {
            const upstream = new Upstream(makeAnnouncement({ slots: 8, cold_ms: coldMs }), 0, true);
            return new UpstreamLoad(upstream, () => COLD_REQUESTS_PER_S);
        }

        it("takes no more within any second than it can serve, however soon they end", () => {
            // Prevents an upstream that has just started from crashing under the load of the whole pool.
            const load = makeColdLoad(10_000);
            const sentAt: number[] = [];
            for (let now = 0; now < 9_000; now += 10) {
                while (load.freeSlots(now) > 0) {
                    load.markSent(now);
                    load.markEnded(now);
                    sentAt.push(now);
                }
            }
            for (const start of sentAt) {
                assert.ok(sentAt.filter(at => at >= start && at < start + 1_000).length <= COLD_REQUESTS_PER_S);
            }
            assert.equal(sentAt.length, COLD_REQUESTS_PER_S * 9);
        });

        it("counts requests sent within the second by the previous owner of the queue", () => {
            // Prevents a new owner from sending a full second's worth again shortly after the loss of the previous one.
            const load = makeColdLoad(10_000);
            load.adopt(0);
            load.adopt(200);
            assert.equal(load.freeSlots(500), 1);
            assert.equal(load.freeSlots(1_100), 2);
        });

        it("takes its full load once it is warm", () => {
            const load = makeColdLoad(2_000);
            assert.equal(load.usableSlots(1_999, 1_000), COLD_REQUESTS_PER_S);
            assert.equal(load.freeSlots(2_000), 8);
            assert.equal(load.usableSlots(2_000, 1_000), 8);
        });

        it("may be cold again at any moment", () => {
            const upstream = new Upstream(makeAnnouncement({ slots: 8 }), 0, true);
            const load = new UpstreamLoad(upstream, () => COLD_REQUESTS_PER_S);
            assert.equal(load.freeSlots(10), 8);
            upstream.update(makeAnnouncement({ slots: 8, sequence: 2, cold_ms: 500 }), 20, true);
            assert.equal(load.freeSlots(20), COLD_REQUESTS_PER_S);
            upstream.update(makeAnnouncement({ slots: 8, sequence: 3 }), 100, true);
            assert.equal(load.freeSlots(100), 8);
        });
    });

    describe("while it states a limit", () => {
        it("offers the remainder of its limit, and all of its slots once the limit has ended", () => {
            const load = makeLoad(0, 0, 0);
            load.updateLimit(2, 0, 0);
            load.markSent(0);
            load.markSent(0);
            assert.deepEqual([load.freeSlots(0), load.isAtLimit(0)], [0, true]);
            assert.deepEqual([load.freeSlots(500), load.isAtLimit(500)], [1, false]);
            load.updateLimit(undefined, 600, 600);
            assert.equal(load.freeSlots(600), 6);
        });

        it("converts its limit to slots by the duration of requests", () => {
            // Prevents far too short predictions of waits for an upstream that takes few requests per second but could
            // run many.
            const load = makeLoad(0, 0, 0);
            load.updateLimit(2, 0, 0);
            assert.equal(load.usableSlots(0, 3_000), 6);
            assert.equal(load.usableSlots(0, 100), 0.2);
            assert.equal(load.usableSlots(0, 60_000), 8);
        });
    });

    it("backs off after a failure, longer each time, until it answers", () => {
        const load = makeLoad(0, 0, 0);
        load.markFailed(0);
        assert.equal(load.freeSlots(400), 0);
        assert.equal(load.freeSlots(500), 8);
        load.markFailed(500);
        assert.equal(load.freeSlots(1_400), 0);
        load.markHealthy();
        assert.equal(load.freeSlots(1_400), 8);
    });

    it("backs off once for requests that fail together", () => {
        // Requests were refused for four seconds while a whole engine idled. One broken connection failed four streams
        // at once. Cause: failures of the same moment counted as consecutive failures.
        const load = makeLoad(0, 0, 0);
        for (let index = 0; index < 4; index++) load.markFailed(index);
        assert.equal(load.freeSlots(500), 8);
    });
});
