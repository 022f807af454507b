import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Right } from "purify-ts";
import { FencingToken, HostId, PoolId } from "../../ids/index.js";
import { SilentLogger } from "../../logging/index.js";
import { VirtualClock } from "../../ports/index.js";
import { checkDocument, makeDocument } from "../../routing/index.js";
import { makeAnnouncement, UpstreamRegistry } from "../../upstream/index.js";
import { ControlState } from "../controlState/index.js";
import { DemandTable } from "../demandTable/index.js";
import { FencedCall, FencedSender } from "../fencedSender/index.js";
import { HolderTerm } from "../holderTerm/index.js";
import { PoolSizer, SizeOrder } from "./index.js";

const POOL = "draft" as PoolId;
const ZONES = ["keflavik", "grindavik", "sandgerdi", "vogar"];

/** Records every order and replies with `status`. */
class FakePlatform extends FencedSender {
    readonly maxDeliveryMs = 1_000;
    readonly orders: SizeOrder[] = [];
    status = 200;
    retryAfterMs: number | undefined;

    async send({ body }: FencedCall) {
        this.orders.push(body as SizeOrder);
        return Right({ status: this.status, body: undefined, retryAfterMs: this.retryAfterMs });
    }

    resetAll(): void {}

    /** Returns the number last ordered of a kind in a zone. */
    last(zone: string, reclaimable: boolean): number | undefined {
        return this.orders.findLast(order => order.zone === zone && order.reclaimable === reclaimable)?.count;
    }
}

function makeSizer(token = 2) {
    const clock = new VirtualClock();
    const platform = new FakePlatform();
    const registry = new UpstreamRegistry({ clock });
    const demand = new DemandTable(clock);
    const state = new ControlState();
    const scaling = { least: 1, most: 4, bootMs: 4_000, reclaimablePrice: 0.18, zonePrices: {} };
    const pools = [{ pool: POOL, connections: 100, scaling }];
    const document = checkDocument(makeDocument({ pools, routes: [] })).unsafeCoerce();
    state.apply({ kind: "document.replace", document, source: Buffer.from("") }, { index: 1 as never, proposedAt: 0 });
    const term = { token: token as FencingToken, maySend: () => true, mayAct: () => true } as unknown as HolderTerm;
    const sizer = new PoolSizer({
        clock,
        registry,
        demand,
        state,
        self: { host: "control-1" as HostId },
        logger: new SilentLogger(),
        sender: platform,
        platformChecksFence: false,
        buildCall: order => ({ address: { host: "10.0.0.1", port: 1 }, path: "/", body: order }),
    });
    let sequence = 0;
    const announce = (id: string, zone: string, reclaimable: boolean, state: "ready" | "gone" = "ready"): void => {
        registry.announce(makeAnnouncement({ id, zone, state, reclaimable, pools: [POOL], sequence: ++sequence }));
    };
    const run = async (ms: number, load?: number): Promise<void> => {
        for (let passed = 0; passed < ms; passed += 500) {
            const report = { pool: POOL, tiers: [], upstreams: [], readingLoad: load };
            if (load !== undefined) demand.record({ region: "r", pools: [report] });
            await sizer.step(term);
            await clock.advance(500);
        }
    };
    return { platform, announce, run };
}

describe("PoolSizer", () => {
    it("orders nothing during its observation period, so that it plans for all upstreams and not for the first two", async () => {
        // Engines announce themselves one by one. A holder that plans only for those known so far releases the others, and the first
        // request finds two engines in place of eight.
        const { platform, announce, run } = makeSizer();
        for (const zone of ZONES) announce(`${zone}-0`, zone, false);
        await run(2_000);
        assert.deepEqual(platform.orders, []);
        for (const zone of ZONES) announce(`${zone}-1`, zone, false);
        await run(4_000);
        for (const zone of ZONES) {
            assert.equal(platform.last(zone, true), 3);
            assert.equal(platform.last(zone, false), undefined);
        }
    });

    it("plans for upstreams that announce themselves only after three seconds", async () => {
        // When all processes have just started, most engines reach a control process only with their third announcement. With a shorter
        // observation period the holder would assume that the few known engines are all and leave one per zone, and short questions would get no
        // answer for eight seconds.
        const { platform, announce, run } = makeSizer();
        announce("keflavik-0", "keflavik", false);
        await run(3_000);
        for (const zone of ZONES) {
            for (const number of [0, 1]) announce(`${zone}-${number}`, zone, false);
        }
        await run(3_000);
        for (const zone of ZONES) assert.equal(platform.last(zone, true), 3);
    });

    it("orders reclaimable ones at once where nobody can have ordered any, and releases nothing during its observation period", async () => {
        // On the first start steady engines are paid for until the reclaimable ones take over, so the reclaimable ones must not be ordered
        // four seconds late.
        const { platform, announce, run } = makeSizer(1);
        for (const zone of ZONES) announce(`${zone}-0`, zone, false);
        await run(1_000);
        for (const zone of ZONES) assert.equal(platform.last(zone, true), 2);
        for (const zone of ZONES) announce(`${zone}-1`, zone, false);
        await run(1_000);
        for (const zone of ZONES) assert.equal(platform.last(zone, true), 3);
        assert.ok(platform.orders.every(({ reclaimable }) => reclaimable));
    });

    it("grows at once with the load and shrinks only after a long calm", async () => {
        const { platform, announce, run } = makeSizer();
        for (const zone of ZONES) announce(`${zone}-0`, zone, true);
        await run(6_000, 0);
        await run(1_000, 4);
        assert.equal(platform.last("vogar", true), 4);
        await run(10_000, 0.1);
        assert.equal(platform.last("vogar", true), 4);
        await run(10_000, 0.1);
        assert.equal(platform.last("vogar", true), 1);
    });

    it("resends an order whose upstreams are missing", async () => {
        // A zone may have four upstreams of both kinds together, so of three reclaimable ones two start beside two steady ones. When a
        // steady one has stopped, the third must be ordered again: otherwise the last steady one is paid for all day.
        const { platform, announce, run } = makeSizer();
        for (const zone of ZONES) announce(`${zone}-0`, zone, false);
        await run(6_000, 0.5);
        announce("vogar-1", "vogar", true);
        const ordersOf = () =>
            platform.orders.filter(({ zone, reclaimable }) => zone === "vogar" && reclaimable).length;
        const before = ordersOf();
        await run(6_000, 0.5);
        assert.equal(ordersOf(), before + 1);
    });

    it("orders again at once when reclaimable ones are about to leave, so that steady ones start in time", async () => {
        // The platform reclaims a zone's engines at short notice and has no others. If the holder ordered steady ones only after the start
        // time of new engines has passed, callers would wait for seconds.
        const { platform, announce, run } = makeSizer();
        for (const zone of ZONES) {
            for (const number of [0, 1, 2]) announce(`${zone}-${number}`, zone, true);
        }
        await run(10_000, 1.5);
        platform.status = 409;
        for (const zone of ["vogar", "keflavik"]) {
            for (const number of [0, 1, 2]) announce(`${zone}-${number}`, zone, true, "gone");
        }
        const before = platform.orders.length;
        await run(1_000, 4);
        const steady = platform.orders.slice(before).filter(({ reclaimable }) => !reclaimable);
        assert.ok(steady.some(({ count }) => count > 0), JSON.stringify(platform.orders.slice(before)));
    });

    it("backs off for a while when the platform has none left", async () => {
        const { platform, announce, run } = makeSizer();
        for (const zone of ZONES) announce(`${zone}-0`, zone, false);
        platform.status = 409;
        await run(6_000, 0.5);
        const before = platform.orders.length;
        await run(500, 0.5);
        assert.equal(platform.orders.length, before);
        await run(3_000, 0.5);
        assert.ok(platform.orders.length > before);
    });

    it("resends an order that the platform turned away only after the time that it asked for", async () => {
        // Otherwise an overloaded platform would get each order once a second.
        const { platform, announce, run } = makeSizer();
        for (const zone of ZONES) announce(`${zone}-0`, zone, false);
        platform.status = 503;
        platform.retryAfterMs = 5_000;
        await run(5_000, 2);
        const { length } = platform.orders;
        assert.ok(length > 0);
        await run(3_500, 2);
        assert.equal(platform.orders.length, length);
        await run(3_000, 2);
        assert.ok(platform.orders.length > length);
    });

    it("orders whole numbers after orders that got no reply", async () => {
        // An order without a number is refused each time, so after a missing reply from the platform the pool would keep its size forever.
        const { platform, announce, run } = makeSizer();
        for (const zone of ZONES) {
            announce(`${zone}-steady`, zone, false);
            for (const number of [0, 1, 2]) announce(`${zone}-${number}`, zone, true);
        }
        platform.status = 503;
        await run(24_000, 0.5);
        platform.status = 200;
        await run(8_000, 0.5);
        const invalid = platform.orders.filter(({ count }) => !Number.isInteger(count));
        assert.deepEqual(invalid.slice(0, 2), []);
        assert.ok(ZONES.every(zone => platform.last(zone, false) === 0));
    });
});
