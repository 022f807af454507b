import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PrefillClock } from "./index.js";

describe("PrefillClock", () => {
    it("adds up what an engine has got", () => {
        const clock = new PrefillClock(0.1);
        clock.begin(1_000, 0);
        clock.begin(1_000, 0);
        assert.equal(clock.backlogMs(0), 200);
        assert.equal(clock.predictMs(500, 150), 30 + 50 + 50);
    });

    it("is idle again once nothing is left, however wrong it was", () => {
        const clock = new PrefillClock(0.1);
        const pending = clock.begin(10_000, 0);
        clock.finish(pending, 100);
        assert.equal(clock.backlogMs(100), 0);
    });

    it("learns an engine's speed from its first tokens", () => {
        const clock = new PrefillClock(0.02);
        for (let i = 0; i < 200; i++) {
            const now = i * 2_000;
            const pending = clock.begin(10_000, now);
            clock.finish(pending, now + 30 + 10_000 * 0.01);
        }
        assert.ok(Math.abs(clock.millisecondsPerToken - 0.01) < 0.001, `${clock.millisecondsPerToken}`);
    });
});
