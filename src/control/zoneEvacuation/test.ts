import fc from "fast-check";
import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { RoutedFleet, RoutedFleetOptions } from "../../faultInjection/index.js";
import { ZoneId } from "../../ids/index.js";
import { makeDocument, makeRoute } from "../../routing/index.js";
import { ZoneCommand } from "../../zone/index.js";
import { UnknownZoneError } from "./index.js";

const KEY = "butcher-key";
const UPSTREAMS = [{ zone: "vogar" }, { zone: "vogar" }, { zone: "keflavik" }];
const DOCUMENT = makeDocument({ routes: [makeRoute({ kind: "idempotent", attempts: 2 })] });

describe("a zone's evacuation", () => {
    const current = { fleet: undefined as RoutedFleet | undefined };

    async function startFleet(layout: Partial<RoutedFleetOptions> = {}): Promise<RoutedFleet> {
        const started = new RoutedFleet({ entries: 2, upstreams: UPSTREAMS, queueHosts: true, ...layout });
        current.fleet = started;
        await started.start(DOCUMENT);
        return started;
    }

    /** Returns the zones whose upstreams answer calls sent through both entries. */
    async function listServing(fleet: RoutedFleet, calls = 12): Promise<string[]> {
        const zones = new Set<string>();
        for (let call = 0; call < calls; call++) {
            const reply = await fleet.call({ entry: call % 2, path: `/orders/${call}`, key: KEY });
            const signer = fleet.upstreamOf(reply);
            zones.add(signer === undefined ? `status ${reply.status}` : UPSTREAMS[Number(signer.at(-1))].zone);
        }
        return [...zones].sort();
    }

    async function readZones(fleet: RoutedFleet, controlIndex: number): Promise<ZoneId[] | undefined> {
        const read = await fleet.run(fleet.controls[controlIndex]!.routing!.zones.read());
        return read.toMaybe().extract()?.map(({ zone }) => zone);
    }

    afterEach(() => current.fleet?.close());

    it("keeps calls away from its upstreams until it is restored, ordered at any control process", async () => {
        const fleet = await startFleet();
        assert.ok((await listServing(fleet)).includes("vogar"));
        for (const controlIndex of [0, 1, 2, 3, 4]) {
            assert.equal(await fleet.submitZoneOrder("zone.evacuate", "vogar", controlIndex), true);
            assert.deepEqual(await listServing(fleet), ["keflavik"]);
            assert.deepEqual(await readZones(fleet, (controlIndex + 1) % 5), ["vogar"]);
            assert.equal(await fleet.submitZoneOrder("zone.restore", "vogar", (controlIndex + 2) % 5), true);
            assert.ok((await listServing(fleet)).includes("vogar"));
        }
    });

    it("is acknowledged within a second and again when it is sent again", async () => {
        const fleet = await startFleet();
        const startedAt = fleet.clock.monotonic();
        assert.equal(await fleet.submitZoneOrder("zone.evacuate", "vogar", 3), true);
        assert.ok(fleet.clock.monotonic() - startedAt < 1_000);
        assert.equal(await fleet.submitZoneOrder("zone.evacuate", "vogar", 1), true);
        assert.deepEqual(await readZones(fleet, 0), ["vogar"]);
    });

    it("refuses a zone that settings do not name", async () => {
        const fleet = await startFleet({ zones: ["vogar", "keflavik"] });
        const order = { kind: "zone.evacuate" as const, zone: "vogra" as ZoneId };
        const outcome = await fleet.run(fleet.controls[0]!.routing!.zones.order(order));
        assert.ok(outcome.extract() instanceof UnknownZoneError);
        assert.deepEqual(await readZones(fleet, 0), []);
    });

    it("refuses calls when the last zone is evacuated, and serves them after its restoration", async () => {
        const fleet = await startFleet();
        assert.equal(await fleet.submitZoneOrder("zone.evacuate", "vogar"), true);
        assert.equal(await fleet.submitZoneOrder("zone.evacuate", "keflavik"), true);
        const runsBefore = fleet.upstreams.flatMap(({ runs }) => runs).length;
        assert.deepEqual(await listServing(fleet, 2), ["status 503"]);
        assert.equal(fleet.upstreams.flatMap(({ runs }) => runs).length, runsBefore);
        assert.equal(await fleet.submitZoneOrder("zone.restore", "keflavik"), true);
        assert.deepEqual(await listServing(fleet), ["keflavik"]);
    });

    it("survives the loss of two disks right after its acknowledgement, while all others lose power", async () => {
        // A majority of empty and outdated disks must not lose an acknowledged evacuation.
        const fleet = await startFleet();
        assert.equal(await fleet.submitZoneOrder("zone.evacuate", "vogar", 1), true);
        for (const number of [0, 1, 2, 3, 4]) await fleet.killControl(number);
        for (const number of [0, 1]) await fleet.killEntry(number);
        fleet.wipeDisk(0);
        fleet.wipeDisk(1);
        for (const number of [0, 1, 2, 3, 4]) await fleet.run(fleet.startControl(number));
        for (const number of [0, 1]) await fleet.run(fleet.startEntry(number));
        await fleet.advance(10_000);
        assert.deepEqual(await readZones(fleet, 3), ["vogar"]);
        assert.deepEqual(await listServing(fleet), ["keflavik"]);
    });

    it("binds an entry that restarts, and a new owner of the queue", async () => {
        // A new process must not send to an evacuated zone before it has received the order.
        const fleet = await startFleet();
        assert.equal(await fleet.submitZoneOrder("zone.evacuate", "vogar"), true);
        await fleet.killEntry(1);
        await fleet.run(fleet.startEntry(1));
        await fleet.killControl(fleet.queueOwner("ledger" as never));
        assert.deepEqual(await listServing(fleet), ["keflavik"]);
    });

    it("stops keyed calls at a partitioned entry once its view is stale", async () => {
        // An entry that is partitioned from the control processes must not keep sending to the zone.
        const fleet = await startFleet();
        const controls = [0, 1, 2, 3, 4].map(number => `10.0.0.${number + 1}`);
        fleet.fabric.isolate("10.0.1.2", [...controls, "10.0.1.1"], true);
        assert.equal(await fleet.submitZoneOrder("zone.evacuate", "vogar"), true);
        await fleet.advance(4_500);
        const before = fleet.upstreams.flatMap(({ runs }) => runs).length;
        const reply = await fleet.call({ entry: 1, path: "/orders/1", key: KEY });
        assert.equal(reply.status, 503);
        assert.equal(fleet.upstreams.flatMap(({ runs }) => runs).length, before);
    });

    it("follows the last acknowledged order over any series of orders, kills and changes of the holder", async () => {
        // An order must not be lost, nor take effect again after its reversal.
        const order = fc.record({
            kind: fc.constantFrom<ZoneCommand["kind"]>("zone.evacuate", "zone.restore"),
            zone: fc.constantFrom("vogar", "keflavik"),
        });
        const step = fc.oneof(
            { weight: 4, arbitrary: fc.record({ order, controlIndex: fc.nat(4) }) },
            { weight: 1, arbitrary: fc.constant("kill-holder" as const) },
        );
        const property = fc.asyncProperty(fc.array(step, { maxLength: 8 }), fc.nat(), async (steps, seed) => {
            const fleet = new RoutedFleet({ entries: 1, upstreams: [], queueHosts: true, seed });
            await fleet.start(DOCUMENT);
            const expected = new Set<string>();
            for (const each of steps) {
                if (each === "kill-holder") {
                    const holder = fleet.holder();
                    if (holder < 0) continue;
                    await fleet.killControl(holder);
                    await fleet.run(fleet.startControl(holder));
                    continue;
                }
                while (!await fleet.submitZoneOrder(each.order.kind, each.order.zone, each.controlIndex)) {
                    await fleet.advance(300);
                }
                if (each.order.kind === "zone.evacuate") expected.add(each.order.zone);
                else expected.delete(each.order.zone);
            }
            await fleet.advance(6_000);
            assert.deepEqual(await readZones(fleet, 0), [...expected].sort());
            await fleet.close();
        });
        await fc.assert(property, { numRuns: 12, seed: 24 });
    });
});
