import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { StoreId } from "../../ids/index.js";
import { VirtualClock } from "../../ports/index.js";
import { ReportedSilences } from "./index.js";

const LEADER = "leader" as StoreId;
const LOST = "lost" as StoreId;
const OTHER = "other" as StoreId;

describe("ReportedSilences", () => {
    it("knows nothing before the first heartbeat", () => {
        const silences = new ReportedSilences(new VirtualClock());
        assert.equal(silences.silentMsOf(LEADER), 0);
    });

    it("counts on from what the leader reported, and from the leader's last heartbeat", async () => {
        const clock = new VirtualClock();
        const silences = new ReportedSilences(clock);
        silences.recordHeartbeat(LEADER, [[LOST, 1_000]]);
        await clock.advance(1_500);
        assert.equal(silences.silentMsOf(LOST), 2_500);
        assert.equal(silences.silentMsOf(LEADER), 1_500);
        assert.equal(silences.silentMsOf(OTHER), 0);
    });

    it("forgets a silence that the leader does not report any more", async () => {
        const clock = new VirtualClock();
        const silences = new ReportedSilences(clock);
        silences.recordHeartbeat(LEADER, [[LOST, 1_000]]);
        silences.recordHeartbeat(LEADER);
        await clock.advance(1_500);
        assert.equal(silences.silentMsOf(LOST), 0);
    });
});
