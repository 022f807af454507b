import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HostId } from "../../ids/index.js";
import { VirtualClock } from "../../ports/index.js";
import { TrueTime } from "./index.js";

/** A clock whose wall time can be stepped. */
class SteppedClock extends VirtualClock {
    stepMs = 0;

    override now(): number {
        return super.now() + this.stepMs;
    }
}

const A = "a" as HostId;
const B = "b" as HostId;
const C = "c" as HostId;

describe("TrueTime", () => {
    it("ignores a jump of the local wall clock", () => {
        // The host's wall clock jumps back by 2.4 s for six seconds. Requests of that time would be counted in the previous usage
        // window, which was already reported, and billed in the wrong window.
        const clock = new SteppedClock();
        const time = new TrueTime(clock);
        const before = time.now();
        clock.stepMs = -2_400;
        assert.equal(time.now(), before);
    });

    it("ignores jumps of most other hosts' clocks", () => {
        const clock = new SteppedClock();
        const time = new TrueTime(clock);
        for (const host of [A, B, C]) time.addReading(host, clock.now());
        const before = time.now();
        for (const host of [A, B]) time.addReading(host, clock.now() + 2_400);
        assert.equal(time.now(), before);
    });

    it("follows the wall clocks after a suspension of this machine", () => {
        // The machine was suspended for five seconds, and its monotonic clock stood still: all wall clocks are five seconds ahead.
        const clock = new SteppedClock();
        const time = new TrueTime(clock);
        for (const host of [A, B, C]) time.addReading(host, clock.now());
        clock.stepMs = 5_000;
        for (const host of [A, B, C]) time.addReading(host, clock.now());
        assert.equal(time.now(), clock.now());
    });

    it("returns the median when hosts differ from the start", () => {
        const clock = new SteppedClock();
        const time = new TrueTime(clock);
        time.addReading(A, clock.now() + 5_000);
        time.addReading(B, clock.now() + 10);
        time.addReading(C, clock.now() - 10);
        assert.equal(time.now(), clock.now() + 10);
    });

    it("accepts the new time of a clock that keeps it", async () => {
        const clock = new SteppedClock();
        const time = new TrueTime(clock);
        time.addReading(A, clock.now());
        const addSteppedReading = (): void => time.addReading(A, clock.now() + 1_000);
        addSteppedReading();
        await clock.advance(600_000);
        addSteppedReading();
        assert.equal(time.now(), clock.now() + 1_000);
    });
});
