import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Metrics, MetricTags } from "../../metrics/index.js";
import { PeerTraffic } from "./index.js";

class RecordingMetrics extends Metrics {
    readonly counted: string[] = [];

    count(name: string, by: number, tags?: MetricTags): void {
        this.counted.push(`${name} ${tags?.way} ${tags?.method} ${by}`);
    }

    gauge(): void {}

    histogram(): void {}
}

describe("PeerTraffic", () => {
    it("sums messages and bytes by method and direction, the most bytes first", () => {
        const traffic = new PeerTraffic();
        traffic.record("sent", "view.pull", 100);
        traffic.record("sent", "view.pull", 120);
        traffic.record("received", "discovery.news", 500);
        assert.deepEqual(traffic.list(), [
            { method: "discovery.news", way: "received", messages: 1, bytes: 500 },
            { method: "view.pull", way: "sent", messages: 2, bytes: 220 },
        ]);
    });

    it("reports each message once", () => {
        const traffic = new PeerTraffic();
        const metrics = new RecordingMetrics();
        traffic.record("sent", "view.pull", 100);
        traffic.report(metrics);
        traffic.report(metrics);
        traffic.record("sent", "view.pull", 50);
        traffic.report(metrics);
        assert.deepEqual(metrics.counted, [
            "peer_messages sent view.pull 1",
            "peer_bytes sent view.pull 100",
            "peer_messages sent view.pull 1",
            "peer_bytes sent view.pull 50",
        ]);
    });
});
