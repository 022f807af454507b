import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { makeTicket } from "../_lib/fixtures.js";
import { makeWaitingTicket, WaitingTicket } from "../waiting/index.js";
import { FifoOrder, OrderContext, OrderPolicy, TierFairOrder } from "./index.js";

const CONTEXT: OrderContext = { now: 0, releaseMs: 10, firstTokenMs: 100, isFilledAbove: () => false };
let numbered = 0;

function add(order: OrderPolicy, workspace: string, fields: Record<string, unknown> = {}): WaitingTicket {
    const ticket = makeTicket({ request: `r${numbered++}`, workspace, promptTokens: 0, ...fields });
    const waiting = makeWaitingTicket(ticket, 0, 100);
    order.add(waiting);
    return waiting;
}

function take(order: OrderPolicy, count: number): string[] {
    return Array.from({ length: count }, () => order.takeNext(CONTEXT)!.ticket.workspace);
}

function count(taken: readonly string[], workspace: string): number {
    return taken.filter(other => other === workspace).length;
}

describe("TierFairOrder", () => {
    it("shares a tier by weight", () => {
        const order = new TierFairOrder();
        for (let index = 0; index < 40; index++) {
            add(order, "large", { weight: 3 });
            add(order, "small", { weight: 1 });
        }
        const taken = take(order, 40);
        assert.equal(count(taken, "large"), 30);
        assert.equal(count(taken, "small"), 10);
    });

    it("serves the earliest deadline of a workspace first", () => {
        const order = new TierFairOrder();
        add(order, "w1", { firstTokenMs: 9_000 });
        const urgent = add(order, "w1", { firstTokenMs: 1_000 });
        assert.equal(order.takeNext(CONTEXT), urgent);
    });

    describe("a workspace that comes back after a quiet hour", () => {
        // Nine workspaces see their answers stop for minutes: the tenth has come back and its whole burst goes before
        // them. Its counter stood still while theirs grew, so it seemed to be owed an hour of service.
        it("shares from now on, without credit for the time it was away", () => {
            const order = new TierFairOrder();
            for (let index = 0; index < 100; index++) add(order, "steady");
            take(order, 50);
            for (let index = 0; index < 50; index++) add(order, "back");
            const taken = take(order, 20);
            assert.ok(count(taken, "back") <= 11);
        });
    });

    describe("a small workspace that has work running all the time", () => {
        // A small partner gets nine tenths of its share of a busy pool: now and then it has no ticket waiting for a moment, and
        // each time it is moved up to the others as if it had been away.
        it("keeps the turns that it had not used, but a few at the most", () => {
            const order = new TierFairOrder();
            for (let index = 0; index < 100; index++) add(order, "steady");
            add(order, "small");
            take(order, 40);
            for (let index = 0; index < 30; index++) add(order, "small");
            const taken = take(order, 20);
            assert.equal(count(taken, "small"), 12);
        });
    });

    describe("a workspace whose answers are longer than predicted", () => {
        // One partner gets twice the tokens of the others under load: its answers are longer than predicted, and it
        // was charged for the prediction only.
        it("is charged for the real length", () => {
            const order = new TierFairOrder();
            for (let index = 0; index < 60; index++) {
                add(order, "long");
                add(order, "short");
            }
            let taken: string[] = [];
            for (let round = 0; round < 40; round++) {
                const waiting = order.takeNext(CONTEXT)!;
                taken = [...taken, waiting.ticket.workspace];
                order.correctCost(waiting, waiting.ticket.workspace === "long" ? 300 : 100);
            }
            assert.equal(count(taken, "long"), 10);
        });
    });

    describe("a guaranteed share", () => {
        it("lets a lower tier in while the higher one has time to spare", () => {
            const order = new TierFairOrder();
            for (let index = 0; index < 20; index++) add(order, "high", { tier: 0, firstTokenMs: 60_000 });
            for (let index = 0; index < 5; index++) add(order, "low", { tier: 1, guaranteedShare: 0.1 });
            const taken = take(order, 20);
            assert.equal(count(taken, "low"), 2);
        });

        it("lets nobody in while the tiers above fill the pool", () => {
            // A top-tier caller is refused in a burst that the pool could have carried: the slot it needed went to a lower
            // class a moment before, when nobody above was in a hurry yet.
            const order = new TierFairOrder();
            for (let index = 0; index < 5; index++) add(order, "high", { tier: 0, firstTokenMs: 60_000 });
            add(order, "low", { tier: 1, guaranteedShare: 0.9 });
            assert.equal(order.takeNext({ ...CONTEXT, isFilledAbove: () => true })!.ticket.workspace, "high");
        });

        it("lets nobody in while a higher target is near", () => {
            const order = new TierFairOrder();
            for (let index = 0; index < 20; index++) add(order, "high", { tier: 0, firstTokenMs: 300 });
            add(order, "low", { tier: 1, guaranteedShare: 0.9 });
            assert.equal(count(take(order, 20), "low"), 0);
        });
    });

    it("predicts no more before a light workspace than fair turns let pass", () => {
        const order = new TierFairOrder();
        for (let index = 0; index < 50; index++) add(order, "greedy");
        const light = add(order, "light");
        const late = add(order, "greedy");
        assert.ok(order.costAhead(light) <= 200);
        assert.ok(order.costAhead(late) > 4_000);
    });
});

describe("FifoOrder", () => {
    it("keeps the order of arrival", () => {
        const order = new FifoOrder();
        add(order, "first", { tier: 3 });
        add(order, "second", { tier: 0 });
        assert.deepEqual(take(order, 2), ["first", "second"]);
    });
});
