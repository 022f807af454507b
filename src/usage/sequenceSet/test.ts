import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SequenceSet } from "./index.js";

describe("SequenceSet", () => {
    it("detects duplicates in any order, with one range for each contiguous run of numbers", () => {
        fc.assert(
            fc.property(fc.array(fc.integer({ min: 1, max: 30 })), numbers => {
                let set = new SequenceSet();
                const seen = new Set<number>();
                for (const number of numbers) {
                    assert.equal(set.add(number), !seen.has(number));
                    seen.add(number);
                    set = new SequenceSet(set.snapshot());
                }
                const starts = [...seen].filter(number => !seen.has(number - 1));
                assert.deepEqual(set.snapshot().map(range => range.first), starts.sort((a, b) => a - b));
            }),
            { numRuns: 1_000, seed: 7 },
        );
    });
});
