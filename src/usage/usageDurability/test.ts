import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeMaxHoldMs } from "./index.js";

describe("computeMaxHoldMs", () => {
    it("holds no answer beyond its latency objective", () => {
        assert.equal(computeMaxHoldMs({ objectiveLeftMs: 30, deadlineLeftMs: 10_000 }), 30);
    });

    it("holds any answer for a limited time", () => {
        assert.equal(computeMaxHoldMs({ objectiveLeftMs: 5_000, deadlineLeftMs: 10_000 }), 250);
    });

    it("holds an answer that is late already for a shorter time", () => {
        assert.equal(computeMaxHoldMs({ objectiveLeftMs: -200, deadlineLeftMs: 10_000 }), 50);
    });

    it("leaves half of the time until the caller's deadline", () => {
        assert.equal(computeMaxHoldMs({ objectiveLeftMs: 500, deadlineLeftMs: 40 }), 20);
        assert.equal(computeMaxHoldMs({ objectiveLeftMs: 500, deadlineLeftMs: -1 }), 0);
    });
});
