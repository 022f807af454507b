import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { makeAnnouncement } from "../fixtures/index.js";
import { Upstream } from "../upstream/index.js";
import { UpstreamLoad } from "../upstreamLoad/index.js";
import { MedianStragglerPolicy } from "./index.js";

function makeLoads(paces: readonly number[]): UpstreamLoad[] {
    return paces.map((pace, index) => {
        const load = new UpstreamLoad(new Upstream(makeAnnouncement({ id: `u${index}` }), 0, true));
        for (let sample = 0; sample < 5; sample++) load.recordTokenMs(pace);
        return load;
    });
}

describe("MedianStragglerPolicy", () => {
    const policy = new MedianStragglerPolicy();

    it("ejects a member that is far slower than the median", () => {
        const loads = makeLoads([30, 31, 29, 100]);
        assert.deepEqual(policy.review(loads, 0), [loads[3]]);
        assert.deepEqual(loads.map(load => load.ejected), [false, false, false, true]);
    });

    describe("a pool that is slow as a whole", () => {
        // Half of a pool is throttled. Without a bound on ejection its callers would all be refused, while the slow
        // half could still have served some of them in time.
        it("keeps three quarters of its members", () => {
            const loads = makeLoads([30, 30, 30, 30, 30, 100, 110, 120]);
            policy.review(loads, 0);
            assert.equal(loads.filter(load => load.ejected).length, 2);
        });
    });

    it("probes at growing intervals, and readmits a member that has recovered", () => {
        const loads = makeLoads([30, 30, 30, 100]);
        policy.review(loads, 0);
        const straggler = loads[3];
        assert.equal(straggler.freeSlots(1_999), 0);
        assert.equal(straggler.freeSlots(2_000), 1);
        straggler.recordTokenMs(100);
        assert.deepEqual(policy.review(loads, 2_500), [straggler]);
        assert.equal(straggler.freeSlots(6_400), 0);
        assert.equal(straggler.freeSlots(6_500), 1);
        straggler.recordTokenMs(31);
        policy.review(loads, 7_000);
        assert.equal(straggler.ejected, false);
    });
});
