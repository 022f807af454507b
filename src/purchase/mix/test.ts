import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ZoneId } from "../../ids/index.js";
import { chooseMix, ZoneSupply } from "./index.js";

function makeSupply(reclaimable: number, steady: number, zones = 4): ZoneSupply[] {
    return Array.from({ length: zones }, (_, index) => ({
        zone: `z${index}` as ZoneId,
        reclaimable,
        steady,
        reclaimablePrice: 350,
        steadyPrice: 1_000,
    }));
}

describe("chooseMix", () => {
    it("meets the requirement after the loss of any one zone's reclaimable upstreams, within the supply", () => {
        const supply = fc.array(fc.record({ reclaimable: fc.nat(4), steady: fc.nat(4) }), {
            minLength: 2,
            maxLength: 4,
        });
        const need = fc.record({ total: fc.nat(10), afterLoss: fc.nat(6), minSteady: fc.nat(2) });
        fc.assert(
            fc.property(supply, need, (counts, required) => {
                const zones = counts.map((count, index) => ({ ...makeSupply(0, 0)[index], ...count }));
                const mix = chooseMix(required, zones);
                if (mix.isShort) return;
                const all = mix.zones.reduce((sum, zone) => sum + zone.reclaimable + zone.steady, 0);
                assert.ok(all >= required.total);
                for (const lost of mix.zones) assert.ok(all - lost.reclaimable >= required.afterLoss);
                mix.zones.forEach((zone, index) => {
                    assert.ok(zone.reclaimable <= zones[index].reclaimable && zone.steady <= zones[index].steady);
                });
            }),
            { numRuns: 500, seed: 20_261_202 },
        );
    });

    it("prefers reclaimable upstreams, spread over the zones", () => {
        const mix = chooseMix({ total: 8, afterLoss: 4, minSteady: 1 }, makeSupply(2, 2));
        assert.equal(mix.zones.reduce((sum, zone) => sum + zone.reclaimable, 0), 7);
        assert.ok(mix.zones.every(zone => zone.reclaimable <= 2));
    });

    it("takes steady upstreams when none are reclaimable, and reports when supply is short", () => {
        const mix = chooseMix({ total: 6, afterLoss: 3, minSteady: 0 }, makeSupply(0, 2));
        assert.equal(mix.zones.reduce((sum, zone) => sum + zone.steady, 0), 6);
        assert.ok(chooseMix({ total: 20, afterLoss: 3, minSteady: 0 }, makeSupply(0, 2)).isShort);
    });
});
