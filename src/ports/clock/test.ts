import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../virtualClock/index.js";

describe("Clock", () => {
    describe("sleepToTick", () => {
        it("wakes tasks with equal periods at the same moments, whenever they started", async () => {
            const clock = new VirtualClock();
            const ticks = new Set<number>();
            const count = async (): Promise<void> => {
                for (let times = 0; times < 5; times++) {
                    await clock.sleepToTick(200);
                    ticks.add(clock.monotonic());
                }
            };
            void count();
            await clock.advance(70);
            void count();
            await clock.advance(1_500);
            assert.deepEqual([...ticks], [200, 400, 600, 800, 1_000]);
        });

        it("does not return the same tick twice when a timer fired slightly early", async () => {
            const clock = new VirtualClock();
            await clock.advance(199);
            assert.equal(clock.msUntilTick(200), 201);
        });
    });
});
