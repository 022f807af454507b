import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolId, UpstreamId } from "../../ids/index.js";
import { VirtualClock } from "../../ports/index.js";
import { UpstreamTarget } from "../../upstream/index.js";
import { SilenceWatch } from "./index.js";

const TARGET: UpstreamTarget = {
    pool: "draft" as PoolId,
    upstream: "u1" as UpstreamId,
    incarnation: 1,
    address: { host: "10.0.9.1", port: 9000 },
};

describe("SilenceWatch", () => {
    function makeWatch() {
        const clock = new VirtualClock();
        const checkedAt: number[] = [];
        const watch = new SilenceWatch(clock, () => void checkedAt.push(clock.monotonic()));
        return { clock, watch, checkedAt };
    }

    it("has paths checked after half a second of silence, and once a second while it lasts", async () => {
        const { clock, watch, checkedAt } = makeWatch();
        watch.expect(TARGET);
        await clock.advance(2_600);
        assert.deepEqual(checkedAt, [500, 1_500, 2_500]);
    });

    it("has nothing checked while any upstream is heard, or nothing is awaited", async () => {
        const { clock, watch, checkedAt } = makeWatch();
        const stop = watch.expect(TARGET);
        for (let ms = 0; ms < 3_000; ms += 300) {
            await clock.advance(300);
            watch.recordHeard();
        }
        stop();
        await clock.advance(5_000);
        assert.deepEqual(checkedAt, []);
        assert.equal(watch.silentMs, 5_000);
    });

    it("counts silence from the first awaited answer on, not from before", async () => {
        const { clock, watch, checkedAt } = makeWatch();
        await clock.advance(10_000);
        watch.expect(TARGET);
        await clock.advance(499);
        assert.deepEqual(checkedAt, []);
    });

    it("goes on where its times are fractions of a millisecond", async () => {
        // A timer for less than the clock can add would run again and again at the same moment.
        const { clock, watch, checkedAt } = makeWatch();
        await clock.advance(1 / 3);
        watch.expect(TARGET);
        for (let step = 0; step < 40; step++) {
            await clock.advance(70.1);
            if (step < 20) watch.recordHeard();
        }
        assert.ok(checkedAt.length > 0);
    });
});
