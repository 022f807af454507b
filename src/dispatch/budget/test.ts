import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../../ports/index.js";
import { AttemptBudget, DEFAULT_RETRY_LIMITS } from "./index.js";

describe("AttemptBudget", () => {
    it("refuses each retry of what may not be repeated", () => {
        const budget = new AttemptBudget(new VirtualClock(), DEFAULT_RETRY_LIMITS);
        assert.ok(!budget.tryTake(false));
    });

    describe("a pool whose requests all fail at twice its load", () => {
        // Callers see a pool stay down long after the burst that overloaded it: each request that timed out is sent again,
        // so the load stays at twice what the pool can do although the callers ask for less.
        it("gets a tenth more attempts at the most", async () => {
            const clock = new VirtualClock();
            const budget = new AttemptBudget(clock, DEFAULT_RETRY_LIMITS);
            let retries = 0;
            for (let second = 0; second < 100; second++) {
                for (let request = 0; request < 100; request++) {
                    budget.noteFirstAttempt();
                    if (budget.tryTake(true)) retries++;
                }
                await clock.advance(1_000);
            }
            assert.ok(retries <= 10_000 * 0.1 + 20 + 50 + 1, `${retries} retries`);
        });
    });

    it("lets a quiet entry retry", async () => {
        const clock = new VirtualClock();
        const budget = new AttemptBudget(clock, { ratio: 0.1, perSecond: 0.5, capacity: 1 });
        assert.ok(budget.tryTake(true));
        assert.ok(!budget.tryTake(true));
        await clock.advance(2_000);
        assert.ok(budget.tryTake(true));
    });
});
