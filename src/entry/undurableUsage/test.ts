import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../../ports/index.js";
import { UndurableUsage } from "./index.js";

describe("UndurableUsage", () => {
    it("has the age of the oldest usage that is left", async () => {
        const clock = new VirtualClock();
        const undurable = new UndurableUsage(clock);
        assert.equal(undurable.ageMs, 0);
        undurable.add(1);
        await clock.advance(30);
        undurable.add(2);
        await clock.advance(10);
        assert.equal(undurable.ageMs, 40);
        assert.deepEqual(undurable.removeUpTo(1), [40]);
        assert.equal(undurable.ageMs, 10);
        assert.deepEqual(undurable.removeUpTo(5), [10]);
        assert.equal(undurable.ageMs, 0);
    });
});
