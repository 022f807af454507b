import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { WaitingTicket } from "../../dispatch/index.js";
import { HostId, UpstreamId } from "../../ids/index.js";
import { JsonLogger } from "../../logging/index.js";
import { NoMetrics } from "../../metrics/index.js";
import { VirtualClock } from "../../ports/index.js";
import { DispatchLog } from "./index.js";

describe("DispatchLog", () => {
    it("names the host and the request that began an upstream's back-off", () => {
        const lines: string[] = [];
        const logger = new JsonLogger({
            host: "entry-1" as HostId,
            role: "entry",
            level: "info",
            clock: new VirtualClock(),
            write: line => lines.push(line),
        });
        const failed = { ticket: { pool: "draft", origin: "entry-3", request: "r1" } } as unknown as WaitingTicket;
        new DispatchLog(logger, new NoMetrics()).backedOff(failed, "u1" as UpstreamId, 500);
        const { event, pool, upstream, request, backOffMs, origin } = JSON.parse(lines[0]) as Record<string, unknown>;
        assert.deepEqual([event, pool, upstream, request, backOffMs], ["upstream-rested", "draft", "u1", "r1", 500]);
        assert.equal(origin, "entry-3");
    });
});
