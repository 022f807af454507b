import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SlotUse } from "../../dispatch/index.js";
import { RecordingLogger } from "../../faultInjection/index.js";
import { HostId, PoolId, UpstreamId } from "../../ids/index.js";
import { Metrics, MetricTags } from "../../metrics/index.js";
import { VirtualClock } from "../../ports/index.js";
import { QueueMonitor, UsedGrant } from "./index.js";

const POOL = "ledger" as PoolId;
const IDLE: SlotUse = { granted: new Map(), oldestMs: 0, waiting: 0, upstreams: new Map([["free", 2]]) };
const TAKEN: SlotUse = {
    granted: new Map([["entry-1" as HostId, 3], ["entry-2" as HostId, 1]]),
    oldestMs: 40_000,
    waiting: 2,
    upstreams: new Map([["full", 2]]),
};

/** Keeps the last value of each gauge. */
class GaugeRecorder extends Metrics {
    readonly gauges = new Map<string, number>();

    count(): void {}

    histogram(): void {}

    gauge(name: string, value: number, tags: MetricTags = {}): void {
        this.gauges.set([name, ...Object.values(tags)].join(" "), value);
    }
}

describe("QueueMonitor", () => {
    /** Reports a state of the queue after the other, each with the decisions since the one before. */
    async function play(states: readonly (readonly [SlotUse, { granted: number; refused: number; }, UsedGrant[]?])[]) {
        const clock = new VirtualClock();
        const metrics = new GaugeRecorder();
        const logger = new RecordingLogger();
        let now = states[0];
        const monitor = new QueueMonitor({
            clock,
            metrics,
            logger,
            local: { pools: () => [POOL], describeSlots: () => now[0] },
            decisions: { takeCounts: () => now[1] },
            listUsed: () => now[2] ?? [],
        });
        const stop = new AbortController();
        const running = monitor.run(stop.signal);
        for (const state of states) {
            now = state;
            await clock.advance(5_000);
        }
        stop.abort();
        await clock.runUntil(running, 10_000);
        return { gauges: metrics.gauges, lines: logger.list("queue-only-refuses") };
    }

    it("shows the slots that the owner counts beside those in use", async () => {
        const used = [{ pool: POOL, upstream: "u1" as UpstreamId, heldMs: 30 }];
        const { gauges } = await play([[TAKEN, { granted: 1, refused: 0 }, used]]);
        assert.equal(gauges.get("slots_granted ledger entry-1"), 3);
        assert.equal(gauges.get("slots_granted_oldest_ms ledger"), 40_000);
        assert.equal(gauges.get("queue_upstreams ledger full"), 2);
        assert.deepEqual([gauges.get("slots_used ledger"), gauges.get("slots_used_oldest_ms ledger")], [1, 30]);
    });

    it("sets what is no longer there to 0", async () => {
        const { gauges } = await play([[TAKEN, { granted: 1, refused: 0 }], [IDLE, { granted: 1, refused: 0 }]]);
        assert.deepEqual([gauges.get("slots_granted ledger entry-1"), gauges.get("queue_upstreams ledger full")], [
            0,
            0,
        ]);
        assert.equal(gauges.get("queue_upstreams ledger free"), 2);
    });

    it("logs a queue that only refuses, with what holds its slots", async () => {
        const { lines } = await play([[IDLE, { granted: 2, refused: 3 }], [TAKEN, { granted: 0, refused: 9 }]]);
        assert.equal(lines.length, 1);
        const { refused, granted, upstreams } = lines[0];
        assert.deepEqual([refused, granted, upstreams], [9, "entry-1 3, entry-2 1", "full 2"]);
    });
});
