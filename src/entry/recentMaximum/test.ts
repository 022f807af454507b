import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../../ports/index.js";
import { RecentMaximum } from "./index.js";

const SPAN_MS = 1_000;

describe("RecentMaximum", () => {
    it("is the current value, or a larger one that ended within the span", async () => {
        const clock = new VirtualClock();
        const maximum = new RecentMaximum(clock, SPAN_MS);
        maximum.record(7);
        maximum.record(3);
        await clock.advance(SPAN_MS);
        assert.equal(maximum.value, 7);
        await clock.advance(1);
        assert.equal(maximum.value, 3);
    });

    it("equals the largest of all values of the span", async () => {
        const steps = fc.array(fc.record({ value: fc.nat(9), ms: fc.nat(600) }), { maxLength: 20 });
        await fc.assert(fc.asyncProperty(steps, async values => {
            const clock = new VirtualClock();
            const maximum = new RecentMaximum(clock, SPAN_MS);
            const all: { value: number; until: number; }[] = [];
            for (const { value, ms } of values) {
                maximum.record(value);
                await clock.advance(ms);
                all.push({ value, until: clock.monotonic() });
                const recent = all.filter(({ until }) => until >= clock.monotonic() - SPAN_MS);
                assert.equal(maximum.value, Math.max(...recent.map(each => each.value)));
            }
        }));
    });
});
