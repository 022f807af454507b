import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolId, UpstreamId, ZoneId } from "../../ids/index.js";
import { Offer } from "../../protocol/index.js";
import { OwnedUpstream, PurchaseOrder, PurchaseSnapshot } from "../purchasePolicy/index.js";
import { CoverPurchase, DEFAULT_COVER } from "./index.js";

const POOL = "draft" as PoolId;
const ZONES = ["a", "b", "c"] as ZoneId[];

function makeOffers(reclaimable: number): Offer[] {
    return ZONES.flatMap(zone =>
        [true, false].map(isReclaimable => ({
            zone,
            pool: POOL,
            reclaimable: isReclaimable,
            available: isReclaimable ? reclaimable : 5,
            price_per_hour: isReclaimable ? 350 : 1_000,
            start_ms: 30_000,
            billed_minimum_ms: 60_000,
        }))
    );
}

function makeOwned(id: string, fields: Partial<OwnedUpstream> = {}): OwnedUpstream {
    return {
        id: id as UpstreamId,
        pool: POOL,
        zone: ZONES[0],
        reclaimable: true,
        slots: 16,
        startedAt: 0,
        billedMinimumMs: 60_000,
        isLeaving: false,
        ...fields,
    };
}

function makeSnapshot(fields: Partial<PurchaseSnapshot>): PurchaseSnapshot {
    return {
        now: 0,
        demand: [{ pool: POOL, tier: 0, slots: 32 }, { pool: POOL, tier: 3, slots: 32 }],
        owned: [],
        pending: [],
        offers: makeOffers(3),
        ...fields,
    };
}

function countStarts(orders: readonly PurchaseOrder[], reclaimable: boolean): number {
    return orders.reduce(
        (sum, order) => sum + (order.action === "start" && order.reclaimable === reclaimable ? order.count : 0),
        0,
    );
}

describe("CoverPurchase", () => {
    it("starts a mix for the demand and its headroom", () => {
        const orders = new CoverPurchase().plan(makeSnapshot({}));
        assert.equal(countStarts(orders, true) + countStarts(orders, false), 5);
        assert.ok(countStarts(orders, false) >= 1);
    });

    it("orders nothing twice while a start is under way", () => {
        const policy = new CoverPurchase();
        const orders = policy.plan(makeSnapshot({}));
        const pending = orders.filter(order => order.action === "start");
        assert.deepEqual(policy.plan(makeSnapshot({ pending })), []);
    });

    it("replaces what has a reclaim notice before it is gone", () => {
        const owned = ["u1", "u2"].map(id => makeOwned(id, { isLeaving: true }));
        const orders = new CoverPurchase().plan(makeSnapshot({ owned }));
        assert.equal(countStarts(orders, true) + countStarts(orders, false), 5);
    });

    describe("demand that goes up and down around a step", () => {
        // The bill doubles although demand stays the same: an upstream is stopped and started again every few minutes, and
        // each start pays the billed minimum anew.
        it("stops only after the surplus has lasted and the billed minimum is used", () => {
            const policy = new CoverPurchase();
            const owned = Array.from(
                { length: 8 },
                (_, index) => makeOwned(`u${index}`, { zone: ZONES[index % 3], reclaimable: index > 1 }),
            );
            const demand = [{ pool: POOL, tier: 0, slots: 16 }];
            assert.deepEqual(policy.plan(makeSnapshot({ owned, demand, now: 50_000 })), []);
            assert.deepEqual(policy.plan(makeSnapshot({ owned, demand, now: 50_000 + DEFAULT_COVER.holdMs - 1 })), []);
            const orders = policy.plan(makeSnapshot({ owned, demand, now: 50_000 + DEFAULT_COVER.holdMs }));
            assert.ok(orders.length > 0 && orders.every(order => order.action === "stop"));
        });
    });

    describe("credits", () => {
        it("that run out too early pay for the top tiers first", () => {
            const rich = new CoverPurchase().plan(makeSnapshot({}));
            const credits = { left: 1_800, expiresAt: 3_600_000 };
            const poor = new CoverPurchase().plan(makeSnapshot({ credits }));
            const count = (orders: readonly PurchaseOrder[]): number =>
                countStarts(orders, true) + countStarts(orders, false);
            assert.ok(count(poor) < count(rich));
            assert.ok(count(poor) >= 3);
        });

        it("that would expire unspent buy more headroom", () => {
            const credits = { left: 1e9, expiresAt: 3_600_000 };
            const orders = new CoverPurchase().plan(makeSnapshot({ credits }));
            assert.equal(countStarts(orders, true) + countStarts(orders, false), 6);
        });
    });
});
