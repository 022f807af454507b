import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { EmulatedEngine, LoggedOrder } from "../../emulator/index.js";
import { OrderRecord } from "../../order/index.js";
import { DEFAULT_COVER } from "../../purchase/index.js";
import { FleetWorld } from "../world/index.js";

interface PurchaseWorld extends FleetWorld {
    /** For each engine that the platform was ordered to stop, its running and queued requests at that time. */
    requestsAtStop: number[];
    reclaimedZone: string;
    /** Number of orders before the zone was reclaimed. */
    ordersBefore: number;
    /** Number of chats sent before the zone was reclaimed. */
    chatsBefore: number;
}

const ZONES = ["keflavik", "grindavik", "vogar"];
const MS_PER_SECOND = 1_000;
const TOKENS_PER_CHAT = 40;
const INITIAL_ENGINES = 3;
const SLOTS_PER_ENGINE = 4;
const BUSY_SLOTS = 12;
const TOKENS_PER_LONG_CHAT = 4_000;
/** Timeout of steps that simulate minutes of virtual time, which takes seconds of wall-clock time on a busy machine. */
const LONG_STEP_OPTIONS = { timeout: 120_000 };
const ORDER_TIMEOUT_MS = 60_000;
/** Longer than any scenario, so that no usage report consumes a fault injected for an order. */
const WINDOW_MS = 3_600_000;

Given(
    "a fleet of 3 engines that buys and releases upstreams",
    async function(this: PurchaseWorld) {
        await this.startFleet({
            windowMs: WINDOW_MS,
            emulator: {
                engines: INITIAL_ENGINES,
                services: 0,
                zones: ZONES,
                slots: SLOTS_PER_ENGINE,
                stepMs: 25,
                billedMinimumMs: 10_000,
                platformChecksFence: false,
            },
            purchases: { cover: { holdMs: 15_000 }, forecast: { peakHalfLifeMs: 10_000, startMs: 5_000 } },
        });
        this.requestsAtStop = [];
        const { emulator } = this.fleet;
        const stop = emulator.stop.bind(emulator);
        emulator.stop = (id: string) => {
            const stats = emulator.engines.get(id)?.stats();
            this.requestsAtStop.push((stats?.running ?? 0) + (stats?.queued ?? 0));
            return stop(id);
        };
    },
);

When(
    "{string} chats come for {int} seconds, from {int} up to {int} a second",
    LONG_STEP_OPTIONS,
    async function(this: FleetWorld, className: string, seconds: number, first: number, last: number) {
        let due = 0;
        let sent = 0;
        for (let second = 0; second < seconds; second++) {
            const rate = first + (last - first) * second / Math.max(1, seconds - 1);
            for (due += rate; sent < Math.floor(due); sent++) await sendChatAtRate(this, className, sent, rate);
            if (rate < 1) await this.fleet.advance(MS_PER_SECOND);
        }
    },
);

async function sendChatAtRate(world: FleetWorld, className: string, turn: number, rate: number): Promise<void> {
    world.sendChat(turn % 2 === 0 ? "hotel" : "depot", TOKENS_PER_CHAT, turn % world.fleet.layout.entries + 1, {
        className,
    });
    await world.fleet.advance(MS_PER_SECOND / rate);
}

When("{int} long chats are started", function(this: FleetWorld, count: number) {
    for (let sent = 0; sent < count; sent++) {
        this.sendChat("hotel", TOKENS_PER_LONG_CHAT, sent % this.fleet.layout.entries + 1, {
            className: "bulk",
            maxTokens: TOKENS_PER_LONG_CHAT,
        });
    }
});

Given("the platform has no reclaimable engine left", function(this: FleetWorld) {
    const { orders } = this.fleet.emulator.platform;
    orders.setOffers(orders.listOffers().map(offer => offer.reclaimable ? { ...offer, available: 0 } : offer));
});

Given("the platform's list of offers stays as it is for {int} seconds", function(this: FleetWorld, seconds: number) {
    const { orders } = this.fleet.emulator.platform;
    const list = orders.listOffers.bind(orders);
    const offers = orders.listOffers();
    const setOffers = orders.setOffers.bind(orders);
    orders.setOffers = changed => {
        setOffers(changed);
        orders.listOffers = () => offers;
    };
    this.fleet.clock.after(seconds * MS_PER_SECOND, () => {
        orders.listOffers = list;
    });
});

Given("the answer to the next order is lost", function(this: FleetWorld) {
    this.fleet.emulator.platform.addFaults({ kind: "lost" });
});

When("the platform has an order", LONG_STEP_OPTIONS, async function(this: FleetWorld) {
    await awaitOrder(this);
});

When("the holder is killed as soon as the platform has an order", LONG_STEP_OPTIONS, async function(this: FleetWorld) {
    await awaitOrder(this);
    await this.settle(this.fleet.killControl(this.fleet.holder()));
});

When(
    "the zone with the most ordered reclaimable engines is reclaimed with {int} ms notice",
    function(this: PurchaseWorld, noticeMs: number) {
        const { orders } = this.fleet.emulator.platform;
        const reclaimableEngines = listOrderedEngines(this).filter(({ id }) => orders.offerOf(id)!.reclaimable);
        assert.ok(reclaimableEngines.length > 0, "no reclaimable engine was ordered");
        const countIn = (zone: string): number =>
            reclaimableEngines.filter(({ id }) => orders.offerOf(id)!.zone === zone).length;
        this.reclaimedZone = [...ZONES].sort((a, b) => countIn(b) - countIn(a))[0];
        this.ordersBefore = orders.log.orders.length;
        this.chatsBefore = this.chats.length;
        orders.reclaimZone(this.reclaimedZone, noticeMs);
    },
);

When(
    "the entries are cut off from the control processes for {int} seconds",
    LONG_STEP_OPTIONS,
    async function(this: FleetWorld, seconds: number) {
        isolateEntries(this);
        await this.fleet.advance(seconds * MS_PER_SECOND);
    },
);

When(
    "the entries are cut off from the control processes and the holder is killed, for {int} seconds",
    LONG_STEP_OPTIONS,
    async function(this: FleetWorld, seconds: number) {
        isolateEntries(this);
        await this.settle(this.fleet.killControl(this.fleet.holder()));
        await this.fleet.advance(seconds * MS_PER_SECOND);
        assert.ok(this.fleet.holder() >= 0);
    },
);

Then("engines were ordered in each zone, the cheap ones evenly", function(this: FleetWorld) {
    const { orders } = this.fleet.emulator.platform;
    const offers = listOrderedEngines(this).map(({ id }) => orders.offerOf(id)!);
    const counts = ZONES.map(zone => offers.filter(offer => offer.zone === zone && offer.reclaimable).length);
    assert.ok(Math.min(...counts) > 0, String(counts));
    assert.ok(Math.max(...counts) - Math.min(...counts) <= 1, String(counts));
});

Then("each ordered engine got work", function(this: FleetWorld) {
    const engines = listOrderedEngines(this);
    assert.ok(engines.length > 0);
    for (const engine of engines) assert.ok(engine.stats().requests > 0, engine.id);
});

Then("engines were released", function(this: FleetWorld) {
    assert.ok(this.fleet.emulator.platform.stats().orders.stopped > 0);
});

Then("no engine had work when the platform was told to stop it", function(this: PurchaseWorld) {
    assert.deepEqual(this.requestsAtStop, this.requestsAtStop.map(() => 0));
});

Then("no engine got work later than two seconds after it was told to drain", function(this: FleetWorld) {
    for (const { id, lateRequests } of this.fleet.emulator.stats().engines) assert.equal(lateRequests, 0, id);
});

Then("each chat sent since the reclaim is answered whole", LONG_STEP_OPTIONS, async function(this: PurchaseWorld) {
    const results = await this.chatResults();
    for (const [index, { expected }] of this.chats.entries()) {
        if (index < this.chatsBefore) continue;
        const { outcome, text } = results[index];
        assert.deepEqual({ outcome, text }, { outcome: "answered", text: expected }, `chat ${index}`);
    }
});

Then("replacements were ordered in other zones", function(this: PurchaseWorld) {
    const replacements = listStartOrders(this).filter(order =>
        this.fleet.emulator.platform.orders.log.orders.indexOf(order)
            >= this.ordersBefore
    );
    assert.ok(replacements.some(({ target }) => !target.startsWith(this.reclaimedZone)));
});

Then("only steady engines were ordered", function(this: FleetWorld) {
    assertAllSteady(this);
});

Then("only steady engines were started", function(this: FleetWorld) {
    assertAllSteady(this);
});

Then("the platform got an order again under its own id", function(this: FleetWorld) {
    assert.ok(this.fleet.emulator.platform.stats().orders.repeats > 0);
});

Then("no order came from an old holder after a new one's", function(this: FleetWorld) {
    assert.equal(this.fleet.emulator.platform.stats().orders.reversals, 0);
});

Then("nothing was ordered twice", function(this: FleetWorld) {
    const { orders } = this.fleet.emulator.platform;
    // Reclaimable engines for 12 busy slots plus 25 % headroom; at their price the initial steady engines are not worth keeping.
    const needed = Math.ceil(BUSY_SLOTS * DEFAULT_COVER.headroom / SLOTS_PER_ENGINE);
    assert.equal(listOrderedEngines(this).length, needed);
    assert.equal(orders.stats().started, INITIAL_ENGINES + needed);
});

Then("no engine was told to drain", function(this: FleetWorld) {
    for (const engine of this.fleet.emulator.engines.values()) {
        assert.deepEqual(engine.orders.orders.map(({ action }) => action), [], engine.id);
    }
});

function isolateEntries(world: FleetWorld): void {
    for (const number of world.fleet.entryNumbers()) world.fleet.cutEntryFromControl(number, true);
}

async function awaitOrder(world: FleetWorld): Promise<void> {
    const { log } = world.fleet.emulator.platform.orders;
    for (let passed = 0; log.orders.length === 0; passed++) {
        assert.ok(passed < ORDER_TIMEOUT_MS, "the platform received no order");
        await world.fleet.advance(1);
    }
}

function listStartOrders(world: FleetWorld): LoggedOrder[] {
    return world.fleet.emulator.platform.orders.log.orders.filter(({ action }) => action === "start");
}

/** Lists the engines that completed orders have started. */
function listOrderedEngines(world: FleetWorld): EmulatedEngine[] {
    const records = world.fleet.controls.flatMap<OrderRecord>(control => control?.state.orders.listFinished() ?? []);
    const ids = new Set(records.filter(isStartOrder).flatMap(record => record.upstreams));
    return [...world.fleet.emulator.engines.values()].filter(engine => ids.has(engine.id));
}

function isStartOrder({ target }: OrderRecord): boolean {
    return target.to === "platform" && target.body.action === "start";
}

/** Checks that no ordered engine is reclaimable. */
function assertAllSteady(world: FleetWorld): void {
    const { orders } = world.fleet.emulator.platform;
    const engines = listOrderedEngines(world);
    assert.ok(engines.length > 0);
    for (const { id } of engines) assert.equal(orders.offerOf(id)!.reclaimable, false, id);
}
