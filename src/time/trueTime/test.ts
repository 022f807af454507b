import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HostId } from "../../ids/index.js";
import { VirtualClock } from "../../ports/index.js";
import { TrueTime } from "./index.js";

/** A clock whose wall time can be set. */
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
    it("goes on through a jump of this host's clock", () => {
        // A workspace is billed in the wrong window. The host's time of day jumps back by 2.4 s for six seconds, and the
        // requests of that time are counted in the window before, which has been reported already.
        const clock = new SteppedClock();
        const time = new TrueTime(clock);
        const before = time.now();
        clock.stepMs = -2_400;
        assert.equal(time.now(), before);
    });

    it("goes on through jumps of most other hosts' clocks", () => {
        const clock = new SteppedClock();
        const time = new TrueTime(clock);
        for (const host of [A, B, C]) time.learn(host, clock.now());
        const before = time.now();
        for (const host of [A, B]) time.learn(host, clock.now() + 2_400);
        assert.equal(time.now(), before);
    });

    it("follows a machine that was suspended", () => {
        // The machine stood still for five seconds, and so did its steady clock: all wall clocks have moved on by five seconds.
        const clock = new SteppedClock();
        const time = new TrueTime(clock);
        for (const host of [A, B, C]) time.learn(host, clock.now());
        clock.stepMs = 5_000;
        for (const host of [A, B, C]) time.learn(host, clock.now());
        assert.equal(time.now(), clock.now());
    });

    it("takes the median where hosts differ from the start", () => {
        const clock = new SteppedClock();
        const time = new TrueTime(clock);
        time.learn(A, clock.now() + 5_000);
        time.learn(B, clock.now() + 10);
        time.learn(C, clock.now() - 10);
        assert.equal(time.now(), clock.now() + 10);
    });

    it("believes a clock that stays where it was set", async () => {
        const clock = new SteppedClock();
        const time = new TrueTime(clock);
        time.learn(A, clock.now());
        const learn = (): void => time.learn(A, clock.now() + 1_000);
        learn();
        await clock.advance(600_000);
        learn();
        assert.equal(time.now(), clock.now() + 1_000);
    });
});
