import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ZoneId } from "../../ids/index.js";
import { planZones, PoolPlanInput, PoolZoneState } from "./index.js";

const NONE = { ready: 0, ordered: undefined, soldOut: false };

function zone(name: string, parts: Partial<PoolZoneState> = {}): PoolZoneState {
    return { zone: name as ZoneId, price: 1, steady: NONE, reclaimable: NONE, ...parts };
}

function planCounts(zones: readonly PoolZoneState[], parts: Partial<PoolPlanInput> = {}): [number, number][] {
    const input = { zones, minPerZone: 1, maxPerZone: 4, reclaimablePrice: 0.18, needed: 6, minNeeded: 6, ...parts };
    return planZones(input).map(({ steady, reclaimable }) => [steady, reclaimable]);
}

const NAMES = ["a", "b", "c", "d"];

describe("planZones", () => {
    it("orders enough reclaimable upstreams to serve the load without any one zone", () => {
        // The platform may take back all reclaimable upstreams of a zone: six are needed, so any three zones must have six.
        const steady = { ...NONE, ready: 2 };
        assert.deepEqual(planCounts(NAMES.map(name => zone(name, { steady }))), [[2, 2], [2, 2], [2, 2], [2, 2]]);
    });

    it("releases a steady upstream for each reclaimable one that serves in its zone", () => {
        // A zone may have four upstreams of both kinds together: with two steady ones, only two reclaimable ones can start.
        const steady = { ...NONE, ready: 2 };
        const ready = zone("a", { steady, reclaimable: { ready: 3, ordered: 3, soldOut: false } });
        const partly = zone("b", { steady, reclaimable: { ready: 2, ordered: 3, soldOut: false } });
        const unready = zone("c", { steady, reclaimable: { ready: 0, ordered: 3, soldOut: false } });
        assert.deepEqual(planCounts([ready, partly, unready, zone("d")], { needed: 8 }).slice(0, 3), [[0, 3], [1, 3], [
            2,
            3,
        ]]);
    });

    it("buys steady upstreams, the cheapest first, while reclaimable ones are sold out", () => {
        // Two zones are taken back at once, and for a while the platform has no reclaimable upstreams left in any zone: the
        // remaining ones are too few.
        const soldOut = { ready: 0, ordered: 2, soldOut: true };
        const serving = { ready: 2, ordered: 2, soldOut: true };
        const zones = [
            zone("a", { reclaimable: soldOut, price: 1.2 }),
            zone("b", { reclaimable: soldOut, price: 0.8 }),
            zone("c", { reclaimable: serving }),
            zone("d", { reclaimable: serving }),
        ];
        assert.deepEqual(planCounts(zones), [[0, 2], [2, 2], [0, 2], [0, 2]]);
    });

    it("buys steady upstreams only in zones with room beside the reclaimable ones", () => {
        // Two zones are taken back. The cheapest zone is the one that still has its maximum of reclaimable upstreams: steady ones
        // ordered there never started, and callers waited throughout the shortage.
        const soldOut = { ready: 0, ordered: 2, soldOut: true };
        const zones = [
            zone("a", { reclaimable: { ready: 4, ordered: 4, soldOut: false }, price: 0.5 }),
            zone("b", { reclaimable: soldOut }),
            zone("c", { reclaimable: soldOut }),
        ];
        assert.deepEqual(planCounts(zones, { minNeeded: 7 }).map(([steady]) => steady), [0, 2, 1]);
    });

    it("buys no steady upstream beyond the minimum need", () => {
        // Six upstreams would serve the load well and four are enough, which the other zones have.
        const soldOut = { ready: 0, ordered: 2, soldOut: true };
        const serving = { ready: 2, ordered: 2, soldOut: true };
        const zones = [
            zone("a", { reclaimable: soldOut }),
            ...["b", "c"].map(name => zone(name, { reclaimable: serving })),
        ];
        assert.deepEqual(planCounts(zones, { minNeeded: 4 }).map(([steady]) => steady), [0, 0, 0]);
    });

    it("releases steady upstreams where they fill the zone, so that reclaimable ones can start", () => {
        // Steady upstreams were bought while reclaimable ones were sold out. They filled the zone, so that no reclaimable one could
        // start beside them again, and were paid for until the end of the day.
        const steady = { ready: 4, ordered: 4, soldOut: false };
        const reclaimable = { ready: 0, ordered: 2, soldOut: false };
        const others = ["b", "c", "d"].map(name =>
            zone(name, { reclaimable: { ready: 2, ordered: 2, soldOut: false } })
        );
        const [[kept]] = planCounts([zone("a", { steady, reclaimable }), ...others], { minNeeded: 2 });
        assert.equal(kept, 2);
    });

    it("stays within a zone's maximum", () => {
        assert.deepEqual(
            planCounts(NAMES.map(name => zone(name)), { needed: 40 }).map(([, reclaimable]) => reclaimable),
            [
                4,
                4,
                4,
                4,
            ],
        );
    });

    it("orders only steady upstreams where reclaimable ones cost about as much", () => {
        assert.deepEqual(planCounts(NAMES.map(name => zone(name)), { reclaimablePrice: 0.95 }), [
            [2, 0],
            [2, 0],
            [2, 0],
            [
                2,
                0,
            ],
        ]);
    });

    it("plans the other zones as if an evacuated one were absent, and leaves that one as it is", () => {
        // Prevents a shortage when a zone is lost while another one is evacuated, and cold upstreams once that one is restored.
        const ready = { ready: 3, ordered: 3, soldOut: false };
        const zones = NAMES.map(name => zone(name, { reclaimable: ready, isEvacuated: name === "b" }));
        assert.deepEqual(planCounts(zones, { needed: 8, maxPerZone: 9 }), [[0, 4], [0, 3], [0, 4], [0, 4]]);
    });
});
