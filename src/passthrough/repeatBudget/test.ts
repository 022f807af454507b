import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolId } from "../../ids/index.js";
import { VirtualClock } from "../../ports/index.js";
import { RepeatBudget } from "./index.js";

const POOL = "ledger" as PoolId;
const LIMITS = { ratio: 0.2, windowMs: 10_000, slack: 54 };

function takeAll(budget: RepeatBudget, entries: number): number {
    let taken = 0;
    while (budget.tryTake(POOL, entries)) taken++;
    return taken;
}

describe("RepeatBudget", () => {
    it("keeps to its share of the fleet's bound", async () => {
        // A pool's upstreams fail half of their requests. Seven entries, each with 100 requests in ten seconds, may send
        // 20 of 100 again and share a slack of 54; together they stay under the bound of 194.
        const clock = new VirtualClock();
        const budget = new RepeatBudget(clock, LIMITS);
        await clock.advance(10_000);
        for (let i = 0; i < 100; i++) budget.noteRequest(POOL);
        assert.equal(takeAll(budget, 7), 24);
    });

    it("begins without the slack, which its run before may have used", () => {
        const budget = new RepeatBudget(new VirtualClock(), LIMITS);
        assert.equal(takeAll(budget, 7), 0);
    });

    it("gets its share back as the window slides", async () => {
        const clock = new VirtualClock();
        const budget = new RepeatBudget(clock, LIMITS);
        await clock.advance(10_000);
        const first = takeAll(budget, 7);
        assert.equal(first, 6);
        await clock.advance(9_000);
        assert.equal(takeAll(budget, 7), 0);
        await clock.advance(1_001);
        assert.equal(takeAll(budget, 7), first);
    });
});
