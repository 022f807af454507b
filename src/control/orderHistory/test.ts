import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FencingToken, OrderId } from "../../ids/index.js";
import { OrderRecord, OrderTarget } from "../../order/index.js";
import { PoolReport, ReportedUpstream } from "../demandReport/index.js";
import { OrderHistory, planStops } from "./index.js";

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
    return planStops(report, history, DRAINED_AT + afterMs).length;
}

const drained = makeOrder(DRAIN, { outcome: "done", finishedAt: DRAINED_AT });

describe("planStops", () => {
    // A stop would interrupt a stream if the engine's load report predates the last request sent to it and is taken as current.
    it("ignores a load measured before the entries stopped sending", () => {
        assert.equal(countStops(makeHistory([drained]), { loadAgeMs: 4_000 }, 6_000), 0);
        assert.equal(countStops(makeHistory([drained]), { loadAgeMs: 1_000 }, 6_000), 1);
    });

    it("waits for running requests", () => {
        assert.equal(countStops(makeHistory([drained]), { running: 1 }, 600_000), 0);
    });

    it("waits until the engine announces that it leaves", () => {
        assert.equal(countStops(makeHistory([drained]), { state: "ready" }, 600_000), 0);
        assert.equal(countStops(makeHistory([drained]), { state: "silent" }, 600_000), 0);
    });

    it("stops an engine that has announced that it is gone", () => {
        assert.equal(countStops(makeHistory([drained]), { state: "gone", running: 1 }, 0), 1);
    });

    it("ignores engines that were not ordered to drain or have not accepted the order", () => {
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
        assert.equal(makeHistory([start]).findStartOrder(UPSTREAM.id), start);
        assert.equal(makeHistory([start]).findStartOrder("draft-2"), undefined);
    });

    it("finds the pools with an open order to the platform", () => {
        assert.ok(makeHistory([], [makeOrder(STOP)]).hasOpenOrder("draft"));
        assert.ok(!makeHistory([], [makeOrder(DRAIN)]).hasOpenOrder("draft"));
        assert.ok(!makeHistory([makeOrder(STOP, { outcome: "done" })]).hasOpenOrder("draft"));
    });
});
