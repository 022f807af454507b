import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { makeTicket } from "../_lib/fixtures.js";
import { makeWaitingTicket, WaitingTicket } from "../waitingTicket/index.js";
import { FifoOrder, OrderContext, OrderPolicy, TierFairOrder } from "./index.js";

const CONTEXT: OrderContext = { now: 0, slotReleaseMs: 10, firstTokenMs: 100, isSaturatedAbove: () => false };
let nextTicketNumber = 0;

function add(order: OrderPolicy, workspace: string, fields: Record<string, unknown> = {}): WaitingTicket {
    const ticket = makeTicket({ request: `r${nextTicketNumber++}`, workspace, promptTokens: 0, ...fields });
    const waiting = makeWaitingTicket(ticket, 0, 100);
    order.add(waiting);
    return waiting;
}

function take(order: OrderPolicy, count: number): string[] {
    return Array.from({ length: count }, () => order.takeNext(CONTEXT)!.ticket.workspace);
}

function countOf(taken: readonly string[], workspace: string): number {
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
        assert.equal(countOf(taken, "large"), 30);
        assert.equal(countOf(taken, "small"), 10);
    });

    it("serves the earliest deadline of a workspace first", () => {
        const order = new TierFairOrder();
        add(order, "w1", { firstTokenMs: 9_000 });
        const urgent = add(order, "w1", { firstTokenMs: 1_000 });
        assert.equal(order.takeNext(CONTEXT), urgent);
    });

    describe("a workspace that was idle for an hour", () => {
        // The counter of a workspace stood still while it was idle and the others' grew, so that its whole burst went
        // before theirs: their answers stopped for minutes.
        it("gets its share from now on, without credit for the idle time", () => {
            const order = new TierFairOrder();
            for (let index = 0; index < 100; index++) add(order, "steady");
            take(order, 50);
            for (let index = 0; index < 50; index++) add(order, "back");
            const taken = take(order, 20);
            assert.ok(countOf(taken, "back") <= 11);
        });
    });

    describe("a small workspace that always has requests running", () => {
        // A small workspace occasionally has no waiting ticket for a short time. If its counter is moved up to the others
        // each time, as after idling, it gets only nine tenths of its share of a busy pool.
        it("keeps a limited number of unused turns", () => {
            const order = new TierFairOrder();
            for (let index = 0; index < 100; index++) add(order, "steady");
            add(order, "small");
            take(order, 40);
            for (let index = 0; index < 30; index++) add(order, "small");
            const taken = take(order, 20);
            assert.equal(countOf(taken, "small"), 12);
        });
    });

    describe("a workspace whose answers are longer than predicted", () => {
        // A workspace whose answers are longer than predicted was charged for the prediction only, and got twice the
        // tokens of the others under load.
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
            assert.equal(countOf(taken, "long"), 10);
        });
    });

    describe("a guaranteed share", () => {
        it("lets a lower tier go ahead while the higher one has slack", () => {
            const order = new TierFairOrder();
            for (let index = 0; index < 20; index++) add(order, "high", { tier: 0, firstTokenMs: 60_000 });
            for (let index = 0; index < 5; index++) add(order, "low", { tier: 1, guaranteedShare: 0.1 });
            const taken = take(order, 20);
            assert.equal(countOf(taken, "low"), 2);
        });

        it("does not apply while the tiers above saturate the pool", () => {
            // A slot went to a lower class at the start of a burst, when no waiting ticket above was urgent yet; a
            // top-tier request that the pool could have served was then refused.
            const order = new TierFairOrder();
            for (let index = 0; index < 5; index++) add(order, "high", { tier: 0, firstTokenMs: 60_000 });
            add(order, "low", { tier: 1, guaranteedShare: 0.9 });
            assert.equal(order.takeNext({ ...CONTEXT, isSaturatedAbove: () => true })!.ticket.workspace, "high");
        });

        it("does not apply while a higher target is near", () => {
            const order = new TierFairOrder();
            for (let index = 0; index < 20; index++) add(order, "high", { tier: 0, firstTokenMs: 300 });
            add(order, "low", { tier: 1, guaranteedShare: 0.9 });
            assert.equal(countOf(take(order, 20), "low"), 0);
        });
    });

    it("limits the cost ahead of a light workspace to what fair turns allow", () => {
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
