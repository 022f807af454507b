import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { BodyStorage } from "../bodyStorage/index.js";
import { CallerBudget } from "../callerBudget/index.js";
import { deriveBudgetLimits, minMemoryMb } from "./index.js";

const CHUNK_BYTES = 64 * 1_024;

describe("deriveBudgetLimits", () => {
    it("has room for one body of any size where the memory suffices", () => {
        // Failure: settings are accepted with which a single large body is refused in calm.
        fc.assert(
            fc.property(fc.integer({ min: 1_024, max: 8 * 1_024 * 1_024 }), bodyBytes => {
                const budget = new CallerBudget(deriveBudgetLimits(minMemoryMb(bodyBytes)), () => 0);
                const storage = new BodyStorage(budget.open(), bodyBytes);
                for (let left = bodyBytes; left > 0; left -= CHUNK_BYTES) {
                    assert.equal(storage.append(Buffer.alloc(Math.min(left, CHUNK_BYTES))), undefined);
                }
            }),
            { numRuns: 30 },
        );
    });

    it("gives nothing where the memory is that of the process alone", () => {
        assert.equal(deriveBudgetLimits(64).bytes, 0);
    });
});
