import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { pickLeast } from "./index.js";

interface WeightedItem {
    readonly lowerBound: number;
    readonly extra: number;
}

const items = fc.array(
    fc.record({ lowerBound: fc.integer({ min: 0, max: 9 }), extra: fc.integer({ min: 0, max: 9 }) }),
    {
        minLength: 1,
        maxLength: 40,
    },
);

describe("pickLeast", () => {
    it("picks the same item as weighing all, the first of equals", () => {
        fc.assert(
            fc.property(items, all => {
                const weights = all.map(({ lowerBound, extra }) => lowerBound + extra);
                const expected = all[weights.indexOf(Math.min(...weights))];
                const picked = pickLeast<WeightedItem>(
                    all,
                    ({ lowerBound }) => lowerBound,
                    ({ extra }, lowerBound) => lowerBound + extra,
                );
                assert.equal(picked.item, expected);
                assert.equal(picked.weight, Math.min(...weights));
            }),
            { seed: 1, numRuns: 2_000 },
        );
    });

    it("weighs only items that can still win", () => {
        let weighed = 0;
        const all = Array.from({ length: 200 }, (_, index) => ({ lowerBound: index, extra: 3 }));
        pickLeast(all, ({ lowerBound }) => lowerBound, ({ extra }, lowerBound) => {
            weighed++;
            return lowerBound + extra;
        });
        assert.equal(weighed, 3);
    });
});
