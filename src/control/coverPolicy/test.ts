import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FencingToken, OrderId } from "../../ids/index.js";
import { SilentLogger } from "../../logging/index.js";
import { OrderRecord } from "../../order/index.js";
import { Address, DEFAULT_HTTP_LIMITS, MemoryFabric, MemoryHttpFabric, VirtualClock } from "../../ports/index.js";
import { Offer } from "../../protocol/index.js";
import { CoverPurchase, DEFAULT_COVER, DEFAULT_FORECAST } from "../../purchase/index.js";
import { PoolReport } from "../demandReport/index.js";
import { OfferReader } from "../offerReader/index.js";
import { PlannedOrder, PurchaseSituation } from "../purchaseRunner/index.js";
import { CoverPolicy } from "./index.js";

const PLATFORM: Address = { host: "10.0.9.1", port: 9_000 };
const NOW = 1_000_000;
const OFFERS: readonly Offer[] = ["grindavik", "vogar"].map(zone => ({
    zone,
    pool: "draft",
    reclaimable: true,
    available: 4,
    price_per_hour: 600_000,
    start_ms: 5_000,
    billed_minimum_ms: 0,
}));

/** A policy with an in-memory platform that serves offers. */
class PolicySetup {
    readonly clock = new VirtualClock();
    readonly web = new MemoryHttpFabric(new MemoryFabric(this.clock, () => 1));
    readonly policy = new CoverPolicy({
        offers: new OfferReader(this.web.http("10.0.0.1"), this.clock, PLATFORM, { logger: new SilentLogger() }),
        offerPolicy: new CoverPurchase({ ...DEFAULT_COVER, holdMs: 0, defaultSlots: 4 }),
        forecast: DEFAULT_FORECAST,
        logger: new SilentLogger(),
    });

    async serveOffers(text = JSON.stringify(OFFERS)): Promise<void> {
        await this.web.http(PLATFORM.host).serve(PLATFORM, DEFAULT_HTTP_LIMITS, async (_, res) => {
            res.head(200, []);
            res.end(text);
        });
    }

    plan(situation: Partial<PurchaseSituation>): Promise<readonly PlannedOrder[]> {
        const all = { now: NOW, openOrders: [], finishedOrders: [], demand: [], ...situation };
        return this.clock.runUntil(this.policy.plan(all), 60_000);
    }
}

function makeReport(pool: string, running: number, engines: number): PoolReport {
    const upstreams = Array.from({ length: engines }, (_, number) => ({
        id: `${pool}-${number}`,
        zone: "vogar",
        kind: "engine" as const,
        address: "10.0.9.1:1",
        reclaimable: true,
        checksFence: true,
        slots: 4,
        state: "ready" as const,
        isLeaving: false,
        running: 0,
        loadAgeMs: 0,
    }));
    return { pool, tiers: [{ tier: 5, running, waiting: 0 }], upstreams };
}

function makeStart(more: Partial<OrderRecord>): OrderRecord {
    return {
        orderId: "1" as OrderId,
        fencingToken: 1 as FencingToken,
        target: {
            to: "platform",
            body: { action: "start", pool: "draft", zone: "vogar", reclaimable: true, count: 1 },
        },
        reason: "",
        intendedAt: NOW,
        upstreams: [],
        detail: "",
        ...more,
    };
}

describe("CoverPolicy", () => {
    it("starts upstreams for the demand", async () => {
        const setup = new PolicySetup();
        await setup.serveOffers();
        const orders = await setup.plan({ demand: [makeReport("draft", 6, 0)] });
        assert.deepEqual(
            orders.map(({ target }) => target.body),
            OFFERS.map(({ zone }) => {
                return { action: "start", pool: "draft", zone, reclaimable: true, count: 1 };
            }),
        );
    });

    it("orders a surplus engine to drain, not the platform to stop it", async () => {
        const setup = new PolicySetup();
        await setup.serveOffers();
        const orders = await setup.plan({ demand: [makeReport("draft", 0, 2)] });
        const actions = orders.map(({ target }) => `${target.to} ${target.body.action}`);
        assert.deepEqual(actions.filter(action => action.endsWith("stop")), []);
        assert.ok(actions.includes("engine drain"));
    });

    it("orders nothing for a pool without a report", async () => {
        const setup = new PolicySetup();
        await setup.serveOffers();
        await setup.plan({ demand: [makeReport("draft", 6, 0)] });
        assert.deepEqual(await setup.plan({ now: NOW + 60_000 }), []);
    });

    it("orders nothing for a pool that the platform does not offer", async () => {
        const setup = new PolicySetup();
        await setup.serveOffers();
        assert.deepEqual(await setup.plan({ demand: [makeReport("orders", 0, 3)] }), []);
    });

    it("orders nothing while the offers can't be read", async () => {
        const unreachable = new PolicySetup();
        assert.deepEqual(await unreachable.plan({ demand: [makeReport("draft", 6, 0)] }), []);
        const malformed = new PolicySetup();
        await malformed.serveOffers("[{]");
        assert.deepEqual(await malformed.plan({ demand: [makeReport("draft", 6, 0)] }), []);
    });

    it("waits for the outcome of an order", async () => {
        const setup = new PolicySetup();
        await setup.serveOffers();
        const openOrders = [makeStart({})];
        assert.deepEqual(await setup.plan({ openOrders, demand: [makeReport("draft", 6, 0)] }), []);
    });

    describe("while an ordered engine has not announced itself", () => {
        const finishedOrders = [makeStart({ outcome: "done", upstreams: ["draft-9"], finishedAt: NOW })];
        const countStarts = async (now: number): Promise<number> => {
            const setup = new PolicySetup();
            await setup.serveOffers();
            return (await setup.plan({ now, finishedOrders, demand: [makeReport("draft", 6, 0)] })).length;
        };

        it("counts it as pending", async () => {
            assert.equal(await countStarts(NOW + 20_000), 1);
        });

        it("replaces it when it does not come at all", async () => {
            assert.equal(await countStarts(NOW + 30_000), 2);
        });
    });
});
