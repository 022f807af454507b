import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { UpstreamId, ZoneId } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { VirtualClock } from "../../ports/index.js";
import { makeAnnouncement, UpstreamRegistry } from "../../upstream/index.js";
import { EvacuationWatch } from "./index.js";

const VOGAR = "vogar" as ZoneId;

describe("EvacuationWatch", () => {
    function makeWatch() {
        const clock = new VirtualClock();
        const registry = new UpstreamRegistry({ clock });
        registry.announce(makeAnnouncement({ id: "u1", zone: VOGAR }));
        registry.announce(makeAnnouncement({ id: "u2", zone: "keflavik" }));
        const lines: string[] = [];
        const gauges: string[] = [];
        const note = (event: string, fields: object): void =>
            void lines.push(`${event} ${Object.values(fields).join(" ")}`);
        const logger = { info: note } as unknown as Logger;
        const metrics = {
            gauge: (name: string, value: number, { zone }: { zone: string; }) =>
                gauges.push(`${name} ${zone} ${value}`),
        } as unknown as Metrics;
        const running: UpstreamId[] = [];
        const watch = new EvacuationWatch({ clock, logger, metrics, registry, listRunning: () => running });
        void watch.run(new AbortController().signal);
        return { clock, lines, gauges, running, watch };
    }

    it("counts the calls that still run in an evacuated zone, until there are none", async () => {
        const { clock, lines, gauges, running, watch } = makeWatch();
        running.push("u1" as UpstreamId, "u1" as UpstreamId, "u2" as UpstreamId);
        watch.setZones([VOGAR], 7);
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

    it("says when a zone is restored, and counts no more", async () => {
        const { clock, lines, running, watch } = makeWatch();
        running.push("u1" as UpstreamId);
        watch.setZones([VOGAR], 7);
        watch.setZones([], 8);
        await clock.advance(5_000);
        assert.deepEqual(lines, ["zone-evacuated vogar 7", "zone-restored vogar 8"]);
    });
});
