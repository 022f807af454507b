import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RecordingLogger } from "../../faultInjection/index.js";
import { NoMetrics } from "../../metrics/index.js";
import { VirtualClock } from "../../ports/index.js";
import { makeAnnouncement, UpstreamRegistry } from "../../upstream/index.js";
import { SoftwareMonitor } from "./index.js";

describe("SoftwareMonitor", () => {
    it("logs which versions serve a pool as upstreams come and leave", () => {
        const logger = new RecordingLogger();
        const registry = new UpstreamRegistry({ clock: new VirtualClock() });
        const monitor = new SoftwareMonitor({ logger, metrics: new NoMetrics() });
        registry.onChange(upstream => monitor.update(upstream));
        registry.announce(makeAnnouncement({ id: "u1", software_version: "v1" }));
        registry.announce(makeAnnouncement({ id: "u2", software_version: "v2" }));
        registry.announce(makeAnnouncement({ id: "u2", software_version: "v2", sequence: 2 }));
        registry.announce(makeAnnouncement({ id: "u1", software_version: "v1", state: "leaving", sequence: 2 }));
        const lines = logger.list("software-changed");
        assert.deepEqual(lines.map(({ software, upstreams, serving }) => [software, upstreams, serving]), [
            ["v1", 1, "v1"],
            ["v2", 1, "v1 v2"],
            ["v1", 0, "v2"],
        ]);
    });
});
