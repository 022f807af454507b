import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../../ports/index.js";
import { SilenceMeter } from "./index.js";

const MAX_GAP_MS = 400;

async function ask(meter: SilenceMeter, clock: VirtualClock, times: number, intervalMs = 200) {
    for (let done = 0; done < times; done++) {
        meter.recordRequest();
        await clock.advance(intervalMs);
    }
}

describe("SilenceMeter", () => {
    it("counts the time between unanswered requests", async () => {
        const clock = new VirtualClock();
        const meter = new SilenceMeter(clock, MAX_GAP_MS);
        await ask(meter, clock, 1);
        assert.equal(meter.silentMs, 0);
        await ask(meter, clock, 15);
        assert.equal(meter.silentMs, 3_000);
    });

    it("begins anew with each answer", async () => {
        const clock = new VirtualClock();
        const meter = new SilenceMeter(clock, MAX_GAP_MS);
        await ask(meter, clock, 10);
        meter.recordAnswer();
        assert.equal(meter.silentMs, 0);
        await ask(meter, clock, 3);
        assert.equal(meter.silentMs, 400);
    });

    it("goes on from an earlier silence until the first answer", async () => {
        const clock = new VirtualClock();
        const meter = new SilenceMeter(clock, MAX_GAP_MS, 1_000);
        await ask(meter, clock, 6);
        assert.deepEqual([meter.silentMs, meter.observedMs], [2_000, 1_000]);
        meter.recordAnswer();
        assert.deepEqual([meter.silentMs, meter.observedMs], [0, 0]);
    });

    it("does not count the time in which nothing was asked", async () => {
        // Guards against a leader that takes all others for lost after it was frozen itself.
        const clock = new VirtualClock();
        const meter = new SilenceMeter(clock, MAX_GAP_MS);
        await ask(meter, clock, 2);
        await clock.advance(60_000);
        await ask(meter, clock, 1);
        assert.equal(meter.silentMs, 200 + MAX_GAP_MS);
    });
});
