import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolId, ZoneId } from "../../ids/index.js";
import { PurchaseOrder } from "../purchasePolicy/index.js";
import { StaticPurchase } from "./index.js";

function countOf(order: PurchaseOrder): number {
    return order.action === "start" ? order.count : 0;
}

describe("StaticPurchase", () => {
    it("spreads its count over the zones and replaces missing upstreams", () => {
        const pool = "draft" as PoolId;
        const policy = new StaticPurchase([{ pool, reclaimable: false, count: 5 }], ["a", "b", "c"] as ZoneId[]);
        const input = { now: 0, demand: [], owned: [], pending: [], offers: [] };
        const orders = policy.plan(input);
        assert.deepEqual(orders.map(countOf), [2, 2, 1]);
        const pending = orders.flatMap(order => order.action === "start" ? [order] : []);
        assert.deepEqual(policy.plan({ ...input, pending }), []);
        assert.deepEqual(policy.plan({ ...input, pending: pending.slice(1) }).map(countOf), [2]);
    });
});
