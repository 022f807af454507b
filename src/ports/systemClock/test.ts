import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Timer } from "../clock/index.js";
import { SystemClock } from "./index.js";

/** One more than the longest delay that the timers of Node.js support, in milliseconds. */
const OVERFLOWING_MS = 2 ** 31;

describe("SystemClock", () => {
    describe("after", () => {
        it("does not run a callback early whose delay exceeds 31 bits", async () => {
            // Failure: a call with a time limit of a month times out at once, as does any wait that others may lengthen.
            const clock = new SystemClock();
            const early: number[] = [];
            const delays = [OVERFLOWING_MS, 1e308, Number.POSITIVE_INFINITY];
            const timers = delays.map((ms): Timer => clock.after(ms, () => early.push(ms)));
            await clock.sleep(50);
            for (const timer of timers) timer.cancel();
            assert.deepEqual(early, []);
        });

        it("runs a callback after its delay, unless it is cancelled", async () => {
            const clock = new SystemClock();
            const run: string[] = [];
            clock.after(5, () => run.push("due"));
            clock.after(5, () => run.push("cancelled")).cancel();
            await clock.sleep(50);
            assert.deepEqual(run, ["due"]);
        });
    });
});
