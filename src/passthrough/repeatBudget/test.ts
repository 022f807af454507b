import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolId } from "../../ids/index.js";
import { VirtualClock } from "../../ports/index.js";
import { RepeatBudget } from "./index.js";

const POOL = "ledger" as PoolId;
const LIMITS = { ratio: 0.2, windowMs: 10_000, slack: 54 };

const countEntries = (): number => 7;

function takeAll(budget: RepeatBudget): number {
    let taken = 0;
    for (;;) {
        const permit = budget.tryReserve(POOL);
        if (!permit) return taken;
        permit.tryUse();
        taken++;
    }
}

/** Sends requests over ten seconds, and returns the sum of what a function returns after each of them. */
async function sendRequests(
    clock: VirtualClock,
    budget: RepeatBudget,
    count: number,
    after = () => 0,
): Promise<number> {
    let sum = 0;
    for (let i = 0; i < count; i++) {
        await clock.advance(10_000 / count);
        budget.recordRequest(POOL);
        sum += after();
    }
    return sum;
}

describe("RepeatBudget", () => {
    it("keeps to its share of the fleet's limit", async () => {
        // Seven entries with 100 requests each in ten seconds may repeat 20 of 100 each and share a slack of 54; together they stay below the
        // limit of 194 when a pool's upstreams fail half of their requests.
        const clock = new VirtualClock();
        const budget = new RepeatBudget(clock, LIMITS, countEntries);
        await sendRequests(clock, budget, 100);
        assert.equal(takeAll(budget), 12);
        assert.equal(await sendRequests(clock, budget, 100, () => takeAll(budget)), 12);
    });

    it("saves nothing for later than the next window", async () => {
        const clock = new VirtualClock();
        const budget = new RepeatBudget(clock, { ...LIMITS, slack: 0 }, countEntries);
        await sendRequests(clock, budget, 500);
        assert.equal(budget.countLeft(POOL), 30);
        await clock.advance(5_000);
        assert.equal(budget.countLeft(POOL), 15);
        await clock.advance(5_001);
        assert.equal(budget.countLeft(POOL), 0);
    });

    it("lets a reserved repeat lapse that is no longer covered when it would be sent", async () => {
        // Failure: repeats wait until the requests that earned them have left the window, and are sent beside those of the next one.
        const clock = new VirtualClock();
        const budget = new RepeatBudget(clock, { ...LIMITS, slack: 0 }, countEntries);
        await sendRequests(clock, budget, 100);
        const [early, late] = [budget.tryReserve(POOL)!, budget.tryReserve(POOL)!];
        assert.equal(early.tryUse(), true);
        await clock.advance(10_001);
        assert.equal(late.tryUse(), false);
        assert.equal(budget.describe(POOL).reserved, 0);
    });

    it("lets one of two calls move where the budget covers one of their repeats only", async () => {
        // Failure: both calls leave their silent upstreams, and one of them may be sent to no other until its time is over.
        const clock = new VirtualClock();
        let entries = 7;
        const budget = new RepeatBudget(clock, LIMITS, () => entries);
        await clock.advance(10_000);
        const [first, second] = [budget.tryReserve(POOL)!, budget.tryReserve(POOL)!];
        entries = 30;
        assert.deepEqual([first.claim(), second.claim()], [true, false]);
        assert.equal(first.tryUse(), true);
        assert.deepEqual([budget.describe(POOL).repeats, budget.describe(POOL).reserved], [1, 0]);
    });

    it("takes back a claim that was not used", async () => {
        const clock = new VirtualClock();
        const budget = new RepeatBudget(clock, LIMITS, countEntries);
        await clock.advance(10_000);
        const permit = budget.tryReserve(POOL)!;
        permit.claim();
        permit.release();
        assert.deepEqual([budget.countLeft(POOL), budget.describe(POOL).repeats], [6, 0]);
    });

    it("starts without the slack, which it may have used before a restart", () => {
        const budget = new RepeatBudget(new VirtualClock(), LIMITS, countEntries);
        assert.equal(takeAll(budget), 0);
    });

    it("regains its share as the window slides", async () => {
        const clock = new VirtualClock();
        const budget = new RepeatBudget(clock, LIMITS, countEntries);
        await clock.advance(10_000);
        const first = takeAll(budget);
        assert.equal(first, 6);
        await clock.advance(9_000);
        assert.equal(takeAll(budget), 0);
        await clock.advance(1_001);
        assert.equal(takeAll(budget), first);
    });

    it("counts a reserved repeat until it is given back, and a used one from its use", async () => {
        // Repeats that are not made would be missing elsewhere, or one made late would leave the window too early.
        const clock = new VirtualClock();
        const budget = new RepeatBudget(clock, LIMITS, countEntries);
        await clock.advance(10_000);
        const reserved = Array.from({ length: 6 }, () => budget.tryReserve(POOL));
        assert.equal(budget.tryReserve(POOL), undefined);
        assert.equal(takeAll(budget), 0);
        reserved[0]!.release();
        assert.equal(budget.countLeft(POOL), 1);
        await clock.advance(9_000);
        reserved[1]!.tryUse();
        await clock.advance(9_000);
        assert.equal(budget.countLeft(POOL), 1);
        await clock.advance(1_001);
        assert.equal(budget.countLeft(POOL), 2);
    });

    it("takes back the use of a repeat that was not sent", async () => {
        const clock = new VirtualClock();
        const budget = new RepeatBudget(clock, LIMITS, countEntries);
        await clock.advance(10_000);
        const permit = budget.tryReserve(POOL)!;
        permit.tryUse();
        permit.restore();
        assert.equal(budget.countLeft(POOL), 5);
        permit.release();
        assert.equal(budget.countLeft(POOL), 6);
    });

    it("returns no repeat twice, and none that was sent", async () => {
        const clock = new VirtualClock();
        const budget = new RepeatBudget(clock, LIMITS, countEntries);
        await clock.advance(10_000);
        const [sent, unsent] = [budget.tryReserve(POOL)!, budget.tryReserve(POOL)!];
        sent.tryUse();
        sent.tryUse();
        sent.release();
        unsent.release();
        unsent.release();
        unsent.tryUse();
        assert.equal(budget.countLeft(POOL), 5);
    });
});
