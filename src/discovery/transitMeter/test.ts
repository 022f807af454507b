import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { TransitMeter } from "./index.js";

describe("TransitMeter", () => {
    it("measures the wait of messages against the fastest one, whatever the clocks say", () => {
        const meter = new TransitMeter();
        assert.equal(meter.measure(1_000, 501_002), 0);
        assert.equal(meter.measure(1_100, 501_101), 0);
        assert.equal(meter.measure(1_200, 503_201), 2_000);
        assert.equal(meter.measure(2_200, 503_201), 1_000);
    });

    it("measures the first message by the moment before which it was not sent", () => {
        const meter = new TransitMeter();
        meter.addLowerBound(1_000, 501_000);
        assert.equal(meter.measure(1_000, 503_000), 2_000);
    });

    it("keeps what it knows over a period without messages, and follows clocks that drift apart", () => {
        const meter = new TransitMeter();
        meter.measure(0, 0);
        assert.equal(meter.measure(40_000, 43_000), 3_000);
        assert.equal(meter.measure(80_000, 80_010), 0);
        assert.equal(meter.measure(120_000, 120_020), 10);
    });
});
