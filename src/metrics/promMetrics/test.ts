import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PromMetrics } from "./index.js";

describe("PromMetrics", () => {
    it("renders counters, gauges and histograms with their labels", async () => {
        const metrics = new PromMetrics();
        metrics.count("calls", 1, { outcome: "answered" });
        metrics.count("calls", 2, { outcome: "answered" });
        metrics.gauge("running", 7);
        metrics.histogram("call_ms", 30, { class: "orders" });
        const text = await metrics.render();
        assert.match(text, /sequoiamux_calls_by_outcome\{outcome="answered"\} 3/);
        assert.match(text, /sequoiamux_running 7/);
        assert.match(text, /sequoiamux_call_ms_by_class_bucket\{le="50",class="orders"\} 1/);
    });
});
