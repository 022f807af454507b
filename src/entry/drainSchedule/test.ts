import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../../ports/index.js";
import { DrainSchedule } from "./index.js";

const LIMITS = { balancerMs: 3_000, graceMs: 4_300 };

describe("DrainSchedule", () => {
    it("does not postpone the exit when a timer fires late", async () => {
        // Failure: a busy host that stops is killed by its supervisor with answers under way.
        const clock = new VirtualClock();
        const schedule = new DrainSchedule(clock, LIMITS);
        await clock.advance(LIMITS.balancerMs + 1_000);
        assert.deepEqual([schedule.finalAnswersLeftMs, schedule.exitLeftMs], [3_100, 3_300]);
    });

    it("has no time left after its end", async () => {
        const clock = new VirtualClock();
        const schedule = new DrainSchedule(clock, LIMITS);
        await clock.advance(60_000);
        assert.deepEqual([schedule.finalAnswersLeftMs, schedule.exitLeftMs], [0, 0]);
    });
});
