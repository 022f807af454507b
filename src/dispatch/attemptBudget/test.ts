import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../../ports/index.js";
import { AttemptBudget, DEFAULT_RETRY_LIMITS } from "./index.js";

describe("AttemptBudget", () => {
    it("refuses retries of requests that must not be repeated", () => {
        const budget = new AttemptBudget(new VirtualClock(), DEFAULT_RETRY_LIMITS);
        assert.ok(!budget.tryTake(false));
    });

    describe("a pool whose requests all fail at twice its load", () => {
        // Retry storm: each request that timed out is sent again, so that a pool stays at twice its capacity long after
        // the burst that overloaded it, although callers ask for less.
        it("gets at most 10% more attempts", async () => {
            const clock = new VirtualClock();
            const budget = new AttemptBudget(clock, DEFAULT_RETRY_LIMITS);
            let retries = 0;
            for (let second = 0; second < 100; second++) {
                for (let request = 0; request < 100; request++) {
                    budget.recordFirstAttempt();
                    if (budget.tryTake(true)) retries++;
                }
                await clock.advance(1_000);
            }
            assert.ok(retries <= 10_000 * 0.1 + 20 + 50 + 1, `${retries} retries`);
        });
    });

    it("lets an entry with few requests retry", async () => {
        const clock = new VirtualClock();
        const budget = new AttemptBudget(clock, { ratio: 0.1, perSecond: 0.5, capacity: 1 });
        assert.ok(budget.tryTake(true));
        assert.ok(!budget.tryTake(true));
        await clock.advance(2_000);
        assert.ok(budget.tryTake(true));
    });
});
