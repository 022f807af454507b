import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FencingToken, OrderId } from "../../ids/index.js";
import { OrderRecord, OrderTarget } from "../../order/index.js";
import { PoolReport, ReportedUpstream } from "../demandReport/index.js";
import { findLeavers, OrderHistory } from "./index.js";

const DRAINED_AT = 100_000;
const UPSTREAM: ReportedUpstream = {
    id: "draft-1",
    zone: "vogar",
    kind: "engine",
    address: "10.0.9.1:1",
    reclaimable: true,
    checksFence: true,
    slots: 4,
    state: "leaving",
    isLeaving: true,
    running: 0,
    loadAgeMs: 0,
};
const DRAIN: OrderTarget = {
    to: "engine",
    address: UPSTREAM.address,
    upstream: UPSTREAM.id,
    checksFence: true,
    body: { action: "drain", target: UPSTREAM.id },
};
const STOP: OrderTarget = {
    to: "platform",
    body: { action: "stop", pool: "draft", zone: "vogar", reclaimable: true, upstream: UPSTREAM.id },
};

function makeOrder(target: OrderTarget, more: Partial<OrderRecord> = {}): OrderRecord {
    const fencingToken = 1 as FencingToken;
    return {
        orderId: "1" as OrderId,
        fencingToken,
        target,
        reason: "",
        intendedAt: 0,
        upstreams: [],
        detail: "",
        ...more,
    };
}

function makeHistory(finished: readonly OrderRecord[], open: readonly OrderRecord[] = []): OrderHistory {
    return new OrderHistory({ now: 0, openOrders: open, finishedOrders: finished, demand: [] });
}

function countStops(history: OrderHistory, upstream: Partial<ReportedUpstream>, afterMs: number): number {
    const report: PoolReport = { pool: "draft", tiers: [], upstreams: [{ ...UPSTREAM, ...upstream }] };
    return findLeavers(report, history, DRAINED_AT + afterMs).length;
}

const drained = makeOrder(DRAIN, { outcome: "done", finishedAt: DRAINED_AT });

describe("findLeavers", () => {
    // A stream is cut by the platform's stop.
    // The engine's load report is from before the last request that it was given.
    // Cause: an old figure taken for the present one.
    it("does not believe a load measured before the entries knew", () => {
        assert.equal(countStops(makeHistory([drained]), { loadAgeMs: 4_000 }, 6_000), 0);
        assert.equal(countStops(makeHistory([drained]), { loadAgeMs: 1_000 }, 6_000), 1);
    });

    it("waits for work under way", () => {
        assert.equal(countStops(makeHistory([drained]), { running: 1 }, 600_000), 0);
    });

    it("waits until the engine says that it leaves", () => {
        assert.equal(countStops(makeHistory([drained]), { state: "ready" }, 600_000), 0);
        assert.equal(countStops(makeHistory([drained]), { state: "silent" }, 600_000), 0);
    });

    it("stops one that has said its last word", () => {
        assert.equal(countStops(makeHistory([drained]), { state: "gone", running: 1 }, 0), 1);
    });

    it("leaves alone what was not told to drain, or has not taken the order", () => {
        assert.equal(countStops(makeHistory([]), {}, 600_000), 0);
        assert.equal(countStops(makeHistory([], [makeOrder(DRAIN)]), {}, 600_000), 0);
        const refused = makeOrder(DRAIN, { outcome: "refused", finishedAt: DRAINED_AT });
        assert.equal(countStops(makeHistory([refused]), {}, 600_000), 0);
    });

    it("stops nothing twice", () => {
        assert.equal(countStops(makeHistory([drained], [makeOrder(STOP)]), {}, 600_000), 0);
        assert.equal(countStops(makeHistory([drained, makeOrder(STOP, { outcome: "done" })]), {}, 600_000), 0);
    });
});

describe("OrderHistory", () => {
    it("finds the order that started an upstream", () => {
        const body = { action: "start", pool: "draft", zone: "vogar", reclaimable: true, count: 1 } as const;
        const start = makeOrder({ to: "platform", body }, { outcome: "done", upstreams: [UPSTREAM.id] });
        assert.equal(makeHistory([start]).startOf(UPSTREAM.id), start);
        assert.equal(makeHistory([start]).startOf("draft-2"), undefined);
    });

    it("knows which pools wait for the platform", () => {
        assert.ok(makeHistory([], [makeOrder(STOP)]).hasOpenOrder("draft"));
        assert.ok(!makeHistory([], [makeOrder(DRAIN)]).hasOpenOrder("draft"));
        assert.ok(!makeHistory([makeOrder(STOP, { outcome: "done" })]).hasOpenOrder("draft"));
    });
});
