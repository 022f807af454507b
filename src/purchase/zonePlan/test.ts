import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ZoneId } from "../../ids/index.js";
import { planZones, PoolSituation, ZoneSituation } from "./index.js";

const NONE = { ready: 0, ordered: undefined, soldOut: false };

function zone(name: string, parts: Partial<ZoneSituation> = {}): ZoneSituation {
    return { zone: name as ZoneId, price: 1, steady: NONE, reclaimable: NONE, ...parts };
}

function plan(zones: readonly ZoneSituation[], parts: Partial<PoolSituation> = {}): [number, number][] {
    const situation = { zones, least: 1, most: 4, reclaimablePrice: 0.18, needed: 6, leastNeeded: 6, ...parts };
    return planZones(situation).map(({ steady, reclaimable }) => [steady, reclaimable]);
}

const NAMES = ["a", "b", "c", "d"];

describe("planZones", () => {
    it("orders reclaimable upstreams that carry the load without any one zone", () => {
        // The platform takes back all reclaimable upstreams of a zone. Six are needed, so that three zones must have them.
        const steady = { ...NONE, ready: 2 };
        assert.deepEqual(plan(NAMES.map(name => zone(name, { steady }))), [[2, 2], [2, 2], [2, 2], [2, 2]]);
    });

    it("gives a steady one back for each reclaimable one that serves in its zone", () => {
        // A zone may have four upstreams of both kinds together: with two steady ones, only two reclaimable ones can come.
        const steady = { ...NONE, ready: 2 };
        const taken = zone("a", { steady, reclaimable: { ready: 3, ordered: 3, soldOut: false } });
        const coming = zone("b", { steady, reclaimable: { ready: 2, ordered: 3, soldOut: false } });
        const waiting = zone("c", { steady, reclaimable: { ready: 0, ordered: 3, soldOut: false } });
        assert.deepEqual(plan([taken, coming, waiting, zone("d")], { needed: 8 }).slice(0, 3), [[0, 3], [1, 3], [
            2,
            3,
        ]]);
    });

    it("buys steady ones, the cheapest first, while reclaimable ones are sold out", () => {
        // Two zones are taken back at once, and for a while the platform has none left anywhere: what serves is too little.
        const soldOut = { ready: 0, ordered: 2, soldOut: true };
        const serving = { ready: 2, ordered: 2, soldOut: true };
        const zones = [
            zone("a", { reclaimable: soldOut, price: 1.2 }),
            zone("b", { reclaimable: soldOut, price: 0.8 }),
            zone("c", { reclaimable: serving }),
            zone("d", { reclaimable: serving }),
        ];
        assert.deepEqual(plan(zones), [[0, 2], [2, 2], [0, 2], [0, 2]]);
    });

    it("buys steady ones only where they find room beside reclaimable ones", () => {
        // Two zones are taken back. The cheapest is the one that still has its reclaimable engines, as many as it may have: those
        // that were ordered there never came, and callers waited for all of the shortage.
        const soldOut = { ready: 0, ordered: 2, soldOut: true };
        const zones = [
            zone("a", { reclaimable: { ready: 4, ordered: 4, soldOut: false }, price: 0.5 }),
            zone("b", { reclaimable: soldOut }),
            zone("c", { reclaimable: soldOut }),
        ];
        assert.deepEqual(plan(zones, { leastNeeded: 7 }).map(([steady]) => steady), [0, 2, 1]);
    });

    it("buys no steady one for comfort", () => {
        // The load would like six upstreams and can do with four, which the other zones have.
        const soldOut = { ready: 0, ordered: 2, soldOut: true };
        const serving = { ready: 2, ordered: 2, soldOut: true };
        const zones = [
            zone("a", { reclaimable: soldOut }),
            ...["b", "c"].map(name => zone(name, { reclaimable: serving })),
        ];
        assert.deepEqual(plan(zones, { leastNeeded: 4 }).map(([steady]) => steady), [0, 0, 0]);
    });

    it("makes room for reclaimable ones where steady ones fill the zone", () => {
        // Steady engines were bought while no others were to be had. They filled the zone, so that no reclaimable one could ever
        // come back beside them, and were paid for to the end of the day.
        const steady = { ready: 4, ordered: 4, soldOut: false };
        const reclaimable = { ready: 0, ordered: 2, soldOut: false };
        const others = ["b", "c", "d"].map(name =>
            zone(name, { reclaimable: { ready: 2, ordered: 2, soldOut: false } })
        );
        const [[kept]] = plan([zone("a", { steady, reclaimable }), ...others], { leastNeeded: 2 });
        assert.equal(kept, 2);
    });

    it("keeps to the most that a zone may have", () => {
        assert.deepEqual(plan(NAMES.map(name => zone(name)), { needed: 40 }).map(([, reclaimable]) => reclaimable), [
            4,
            4,
            4,
            4,
        ]);
    });

    it("orders steady ones alone where reclaimable ones cost as much", () => {
        assert.deepEqual(plan(NAMES.map(name => zone(name)), { reclaimablePrice: 0.95 }), [[2, 0], [2, 0], [2, 0], [
            2,
            0,
        ]]);
    });

    it("plans the other zones as if an evacuated one were not there, and leaves it as it is", () => {
        // Guards against a zone that is lost while another one is evacuated, and against engines that are cold once it is restored.
        const ready = { ready: 3, ordered: 3, soldOut: false };
        const zones = NAMES.map(name => zone(name, { reclaimable: ready, isEvacuated: name === "b" }));
        assert.deepEqual(plan(zones, { needed: 8, most: 9 }), [[0, 4], [0, 3], [0, 4], [0, 4]]);
    });
});
