import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { UpstreamId, ZoneId } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { VirtualClock } from "../../ports/index.js";
import { makeAnnouncement, UpstreamRegistry } from "../../upstream/index.js";
import { EvacuationMonitor } from "./index.js";

const VOGAR = "vogar" as ZoneId;

describe("EvacuationMonitor", () => {
    function makeMonitor() {
        const clock = new VirtualClock();
        const registry = new UpstreamRegistry({ clock });
        registry.announce(makeAnnouncement({ id: "u1", zone: VOGAR }));
        registry.announce(makeAnnouncement({ id: "u2", zone: "keflavik" }));
        const lines: string[] = [];
        const gauges: string[] = [];
        const recordLine = (event: string, fields: object): void =>
            void lines.push(`${event} ${Object.values(fields).join(" ")}`);
        const logger = { info: recordLine } as unknown as Logger;
        const metrics = {
            gauge: (name: string, value: number, { zone }: { zone: string; }) =>
                gauges.push(`${name} ${zone} ${value}`),
        } as unknown as Metrics;
        const running: UpstreamId[] = [];
        const monitor = new EvacuationMonitor({ clock, logger, metrics, registry, listRunning: () => running });
        void monitor.run(new AbortController().signal);
        return { clock, lines, gauges, running, monitor };
    }

    it("counts the calls that still run in an evacuated zone until none is left", async () => {
        const { clock, lines, gauges, running, monitor } = makeMonitor();
        running.push("u1" as UpstreamId, "u1" as UpstreamId, "u2" as UpstreamId);
        monitor.setZones([VOGAR], 7);
        await clock.advance(1_000);
        running.length = 0;
        await clock.advance(5_000);
        assert.deepEqual(lines, ["zone-evacuated vogar 7", "zone-calls-running vogar 2", "zone-calls-running vogar 0"]);
        assert.deepEqual(gauges, [
            "zone_evacuated vogar 1",
            "zone_calls_running vogar 2",
            "zone_calls_running vogar 0",
        ]);
    });

    it("logs when a zone is restored, and stops counting", async () => {
        const { clock, lines, running, monitor } = makeMonitor();
        running.push("u1" as UpstreamId);
        monitor.setZones([VOGAR], 7);
        monitor.setZones([], 8);
        await clock.advance(5_000);
        assert.deepEqual(lines, ["zone-evacuated vogar 7", "zone-restored vogar 8"]);
    });
});
