import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { StartCounts } from "../startCounts/index.js";
import { RunStarts } from "./index.js";

function counts(parts: Record<string, number>): StartCounts {
    return parts as StartCounts;
}

describe("RunStarts", () => {
    it("returns the counts that increased, and sums over runs", () => {
        const starts = new RunStarts();
        starts.merge("a 1", [{ window: 5, counts: counts({ butcher: 3, hotel: 1 }) }]);
        const increased = starts.merge("a 1", [{ window: 5, counts: counts({ butcher: 4, hotel: 1 }) }]);
        assert.deepEqual(increased, [{ window: 5, counts: { butcher: 4 } }]);
        starts.merge("b 1", [{ window: 5, counts: counts({ butcher: 2 }) }]);
        assert.deepEqual(starts.sum(5), { butcher: 6, hotel: 1 });
        assert.deepEqual(starts.sum(6), {});
    });

    it("converges on the same counts when reports are merged repeatedly or out of order", () => {
        const report = fc.record({
            run: fc.constantFrom("a 1", "b 1"),
            window: fc.integer({ min: 4, max: 6 }),
            butcher: fc.integer({ min: 1, max: 9 }),
        });
        fc.assert(fc.property(fc.array(report), fc.array(fc.nat()), (reports, order) => {
            const straight = new RunStarts();
            const mixed = new RunStarts();
            const shuffled = reports
                .map((each, at) => ({ each, key: order[at] ?? 0 }))
                .sort((one, other) => one.key - other.key)
                .map(({ each }) => each);
            const mergeInto = (starts: RunStarts, list: typeof reports): void => {
                for (const { run, window, butcher } of list) {
                    starts.merge(run, [{ window, counts: counts({ butcher }) }]);
                }
            };
            mergeInto(straight, reports);
            mergeInto(mixed, [...shuffled, ...reports]);
            for (const window of [4, 5, 6]) assert.deepEqual(mixed.sum(window), straight.sum(window));
        }));
    });

    it("drops windows before the given one", () => {
        const starts = new RunStarts();
        starts.merge("a 1", [{ window: 4, counts: counts({ butcher: 3 }) }]);
        starts.merge("b 1", [{ window: 6, counts: counts({ butcher: 3 }) }]);
        starts.dropBefore(5);
        assert.deepEqual(starts.list().map(({ run }) => run), ["b 1"]);
        assert.equal(starts.earliestWindow(), 6);
    });
});
