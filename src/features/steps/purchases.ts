import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { EngineStandIn, LoggedOrder } from "../../emulator/index.js";
import { OrderRecord } from "../../order/index.js";
import { DEFAULT_COVER } from "../../purchase/index.js";
import { FleetWorld } from "../world/index.js";

interface PurchaseWorld extends FleetWorld {
    /** Requests that engines had under way when the platform was told to stop them. */
    workAtStop: number[];
    reclaimedZone: string;
    /** How many orders and chats there were before the reclaim. */
    ordersBefore: number;
    chatsBefore: number;
}

const ZONES = ["keflavik", "grindavik", "vogar"];
const MS_PER_SECOND = 1_000;
const TOKENS = 40;
const FIRST_ENGINES = 3;
const SLOTS = 4;
const BUSY_SLOTS = 12;
const LONG_TOKENS = 4_000;
/** Steps with minutes of virtual time take real seconds on a busy machine. */
const LONG_STEP = { timeout: 120_000 };
const ORDER_LIMIT_MS = 60_000;
/** Longer than any window that a scenario takes: no usage report takes a fault meant for an order. */
const WINDOW_MS = 3_600_000;

Given(
    "a fleet of 3 engines that buys and releases upstreams",
    async function(this: PurchaseWorld) {
        await this.startFleet({
            windowMs: WINDOW_MS,
            emulator: {
                engines: FIRST_ENGINES,
                services: 0,
                zones: ZONES,
                slots: SLOTS,
                stepMs: 25,
                billedMinimumMs: 10_000,
                platformChecksFence: false,
            },
            purchases: { cover: { holdMs: 15_000 }, forecast: { peakHalfLifeMs: 10_000, startMs: 5_000 } },
        });
        this.workAtStop = [];
        const { standIns } = this.fleet;
        const stop = standIns.stop.bind(standIns);
        standIns.stop = (id: string) => {
            const stats = standIns.engines.get(id)?.stats();
            this.workAtStop.push((stats?.running ?? 0) + (stats?.queued ?? 0));
            return stop(id);
        };
    },
);

When(
    "{string} chats come for {int} seconds, from {int} up to {int} a second",
    LONG_STEP,
    async function(this: FleetWorld, className: string, seconds: number, first: number, last: number) {
        let due = 0;
        let sent = 0;
        for (let second = 0; second < seconds; second++) {
            const rate = first + (last - first) * second / Math.max(1, seconds - 1);
            for (due += rate; sent < Math.floor(due); sent++) await sendOne(this, className, sent, rate);
            if (rate < 1) await this.fleet.pass(MS_PER_SECOND);
        }
    },
);

async function sendOne(world: FleetWorld, className: string, turn: number, rate: number): Promise<void> {
    world.sendChat(turn % 2 === 0 ? "hotel" : "depot", TOKENS, turn % world.fleet.layout.entries + 1, { className });
    await world.fleet.pass(MS_PER_SECOND / rate);
}

When("{int} long chats are started", function(this: FleetWorld, count: number) {
    for (let sent = 0; sent < count; sent++) {
        this.sendChat("hotel", LONG_TOKENS, sent % this.fleet.layout.entries + 1, {
            className: "bulk",
            maxTokens: LONG_TOKENS,
        });
    }
});

Given("the platform has no reclaimable engine left", function(this: FleetWorld) {
    const { orders } = this.fleet.standIns.platform;
    orders.setOffers(orders.list().map(offer => offer.reclaimable ? { ...offer, available: 0 } : offer));
});

Given("the platform's list of offers stays as it is for {int} seconds", function(this: FleetWorld, seconds: number) {
    const { orders } = this.fleet.standIns.platform;
    const list = orders.list.bind(orders);
    const offers = orders.list();
    const setOffers = orders.setOffers.bind(orders);
    orders.setOffers = changed => {
        setOffers(changed);
        orders.list = () => offers;
    };
    this.fleet.clock.after(seconds * MS_PER_SECOND, () => {
        orders.list = list;
    });
});

Given("the answer to the next order is lost", function(this: FleetWorld) {
    this.fleet.standIns.platform.addFaults({ kind: "lost" });
});

When("the platform has an order", LONG_STEP, async function(this: FleetWorld) {
    await awaitOrder(this);
});

When("the holder is killed as soon as the platform has an order", LONG_STEP, async function(this: FleetWorld) {
    await awaitOrder(this);
    await this.settle(this.fleet.killControl(this.fleet.holder()));
});

When(
    "the zone with the most ordered reclaimable engines is reclaimed with {int} ms notice",
    function(this: PurchaseWorld, noticeMs: number) {
        const { orders } = this.fleet.standIns.platform;
        const cheap = orderedEngines(this).filter(({ id }) => orders.offerOf(id)!.reclaimable);
        assert.ok(cheap.length > 0, "no reclaimable engine was ordered");
        const countIn = (zone: string): number => cheap.filter(({ id }) => orders.offerOf(id)!.zone === zone).length;
        this.reclaimedZone = [...ZONES].sort((a, b) => countIn(b) - countIn(a))[0];
        this.ordersBefore = orders.log.orders.length;
        this.chatsBefore = this.chats.length;
        orders.reclaimZone(this.reclaimedZone, noticeMs);
    },
);

When(
    "the entries are cut off from the control processes for {int} seconds",
    LONG_STEP,
    async function(this: FleetWorld, seconds: number) {
        cutEntries(this);
        await this.fleet.pass(seconds * MS_PER_SECOND);
    },
);

When(
    "the entries are cut off from the control processes and the holder is killed, for {int} seconds",
    LONG_STEP,
    async function(this: FleetWorld, seconds: number) {
        cutEntries(this);
        await this.settle(this.fleet.killControl(this.fleet.holder()));
        await this.fleet.pass(seconds * MS_PER_SECOND);
        assert.ok(this.fleet.holder() >= 0);
    },
);

Then("engines were ordered in each zone, the cheap ones evenly", function(this: FleetWorld) {
    const { orders } = this.fleet.standIns.platform;
    const offers = orderedEngines(this).map(({ id }) => orders.offerOf(id)!);
    const counts = ZONES.map(zone => offers.filter(offer => offer.zone === zone && offer.reclaimable).length);
    assert.ok(Math.min(...counts) > 0, String(counts));
    assert.ok(Math.max(...counts) - Math.min(...counts) <= 1, String(counts));
});

Then("each ordered engine got work", function(this: FleetWorld) {
    const engines = orderedEngines(this);
    assert.ok(engines.length > 0);
    for (const engine of engines) assert.ok(engine.stats().requests > 0, engine.id);
});

Then("engines were released", function(this: FleetWorld) {
    assert.ok(this.fleet.standIns.platform.stats().orders.stopped > 0);
});

Then("no engine had work when the platform was told to stop it", function(this: PurchaseWorld) {
    assert.deepEqual(this.workAtStop, this.workAtStop.map(() => 0));
});

Then("no engine got work later than two seconds after it was told to drain", function(this: FleetWorld) {
    for (const { id, lateRequests } of this.fleet.standIns.stats().engines) assert.equal(lateRequests, 0, id);
});

Then("each chat sent since the reclaim is answered whole", LONG_STEP, async function(this: PurchaseWorld) {
    const results = await this.chatResults();
    for (const [index, { expected }] of this.chats.entries()) {
        if (index < this.chatsBefore) continue;
        const { outcome, text } = results[index];
        assert.deepEqual({ outcome, text }, { outcome: "answered", text: expected }, `chat ${index}`);
    }
});

Then("replacements were ordered in other zones", function(this: PurchaseWorld) {
    const since = startOrders(this).filter(order =>
        this.fleet.standIns.platform.orders.log.orders.indexOf(order)
            >= this.ordersBefore
    );
    assert.ok(since.some(({ target }) => !target.startsWith(this.reclaimedZone)));
});

Then("only steady engines were ordered", function(this: FleetWorld) {
    assertSteady(this);
});

Then("only steady engines were started", function(this: FleetWorld) {
    assertSteady(this);
});

Then("the platform got an order again under its own id", function(this: FleetWorld) {
    assert.ok(this.fleet.standIns.platform.stats().orders.repeats > 0);
});

Then("no order came from an old holder after a new one's", function(this: FleetWorld) {
    assert.equal(this.fleet.standIns.platform.stats().orders.reversals, 0);
});

Then("nothing was ordered twice", function(this: FleetWorld) {
    const { orders } = this.fleet.standIns.platform;
    // Cheap engines for 12 slots in use and a quarter more; the steady first ones are not worth their price beside them.
    const needed = Math.ceil(BUSY_SLOTS * DEFAULT_COVER.headroom / SLOTS);
    assert.equal(orderedEngines(this).length, needed);
    assert.equal(orders.stats().started, FIRST_ENGINES + needed);
});

Then("no engine was told to drain", function(this: FleetWorld) {
    for (const engine of this.fleet.standIns.engines.values()) {
        assert.deepEqual(engine.orders.orders.map(({ action }) => action), [], engine.id);
    }
});

function cutEntries(world: FleetWorld): void {
    for (const number of world.fleet.entryNumbers()) world.fleet.cutEntryFromControl(number, true);
}

async function awaitOrder(world: FleetWorld): Promise<void> {
    const { log } = world.fleet.standIns.platform.orders;
    for (let passed = 0; log.orders.length === 0; passed++) {
        assert.ok(passed < ORDER_LIMIT_MS, "no order came");
        await world.fleet.pass(1);
    }
}

function startOrders(world: FleetWorld): LoggedOrder[] {
    return world.fleet.standIns.platform.orders.log.orders.filter(({ action }) => action === "start");
}

/** Engines that an order has started. */
function orderedEngines(world: FleetWorld): EngineStandIn[] {
    const records = world.fleet.controls.flatMap<OrderRecord>(control => control?.state.orders.listFinished() ?? []);
    const ids = new Set(records.filter(isStart).flatMap(record => record.upstreams));
    return [...world.fleet.standIns.engines.values()].filter(engine => ids.has(engine.id));
}

function isStart({ target }: OrderRecord): boolean {
    return target.to === "platform" && target.body.action === "start";
}

function assertSteady(world: FleetWorld): void {
    const { orders } = world.fleet.standIns.platform;
    const engines = orderedEngines(world);
    assert.ok(engines.length > 0);
    for (const { id } of engines) assert.equal(orders.offerOf(id)!.reclaimable, false, id);
}
