import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolId, UpstreamId, ZoneId } from "../../ids/index.js";
import { Offer } from "../../protocol/index.js";
import { OwnedUpstream, PurchaseInput, PurchaseOrder } from "../purchasePolicy/index.js";
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

function makeInput(fields: Partial<PurchaseInput>): PurchaseInput {
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
    it("starts a mix for the demand plus headroom", () => {
        const orders = new CoverPurchase().plan(makeInput({}));
        assert.equal(countStarts(orders, true) + countStarts(orders, false), 5);
        assert.ok(countStarts(orders, false) >= 1);
    });

    it("orders nothing twice while a start is under way", () => {
        const policy = new CoverPurchase();
        const orders = policy.plan(makeInput({}));
        const pending = orders.filter(order => order.action === "start");
        assert.deepEqual(policy.plan(makeInput({ pending })), []);
    });

    it("replaces upstreams with a reclaim notice before they are gone", () => {
        const owned = ["u1", "u2"].map(id => makeOwned(id, { isLeaving: true }));
        const orders = new CoverPurchase().plan(makeInput({ owned }));
        assert.equal(countStarts(orders, true) + countStarts(orders, false), 5);
    });

    describe("demand that oscillates around a whole number of upstreams", () => {
        // Prevents a doubled bill at constant demand: if an upstream is stopped and started again every few minutes, each start
        // pays the billed minimum again.
        it("stops upstreams only after the surplus has lasted and the billed minimum has passed", () => {
            const policy = new CoverPurchase();
            const owned = Array.from(
                { length: 8 },
                (_, index) => makeOwned(`u${index}`, { zone: ZONES[index % 3], reclaimable: index > 1 }),
            );
            const demand = [{ pool: POOL, tier: 0, slots: 16 }];
            assert.deepEqual(policy.plan(makeInput({ owned, demand, now: 50_000 })), []);
            assert.deepEqual(policy.plan(makeInput({ owned, demand, now: 50_000 + DEFAULT_COVER.holdMs - 1 })), []);
            const orders = policy.plan(makeInput({ owned, demand, now: 50_000 + DEFAULT_COVER.holdMs }));
            assert.ok(orders.length > 0 && orders.every(order => order.action === "stop"));
        });
    });

    describe("credits", () => {
        it("pay for the top tiers first when they would run out too early", () => {
            const unlimited = new CoverPurchase().plan(makeInput({}));
            const credits = { left: 1_800, expiresAt: 3_600_000 };
            const limited = new CoverPurchase().plan(makeInput({ credits }));
            const count = (orders: readonly PurchaseOrder[]): number =>
                countStarts(orders, true) + countStarts(orders, false);
            assert.ok(count(limited) < count(unlimited));
            assert.ok(count(limited) >= 3);
        });

        it("buy more headroom when they would expire unspent", () => {
            const credits = { left: 1e9, expiresAt: 3_600_000 };
            const orders = new CoverPurchase().plan(makeInput({ credits }));
            assert.equal(countStarts(orders, true) + countStarts(orders, false), 6);
        });
    });
});
