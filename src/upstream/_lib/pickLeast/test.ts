import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { pickLeast } from "./index.js";

interface Weighed {
    readonly floor: number;
    readonly extra: number;
}

const items = fc.array(fc.record({ floor: fc.integer({ min: 0, max: 9 }), extra: fc.integer({ min: 0, max: 9 }) }), {
    minLength: 1,
    maxLength: 40,
});

describe("pickLeast", () => {
    it("gives what weighing all would give, the first of equals", () => {
        fc.assert(
            fc.property(items, all => {
                const weights = all.map(({ floor, extra }) => floor + extra);
                const expected = all[weights.indexOf(Math.min(...weights))];
                const picked = pickLeast<Weighed>(all, ({ floor }) => floor, ({ extra }, floor) => floor + extra);
                assert.equal(picked.item, expected);
                assert.equal(picked.weight, Math.min(...weights));
            }),
            { seed: 1, numRuns: 2_000 },
        );
    });

    it("weighs only what can still win", () => {
        let weighed = 0;
        const all = Array.from({ length: 200 }, (_, index) => ({ floor: index, extra: 3 }));
        pickLeast(all, ({ floor }) => floor, ({ extra }, floor) => {
            weighed++;
            return floor + extra;
        });
        assert.equal(weighed, 3);
    });
});
