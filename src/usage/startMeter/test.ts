import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { WorkspaceId } from "../../ids/index.js";
import { StartMeter } from "./index.js";

const BUTCHER = "butcher" as WorkspaceId;

describe("StartMeter", () => {
    it("counts by window and workspace", () => {
        const meter = new StartMeter(5_000);
        for (const at of [10_000, 14_999, 15_000]) meter.recordStart(BUTCHER, at);
        assert.deepEqual(meter.listChanges(0), [
            { window: 2, counts: { butcher: 2 } },
            { window: 3, counts: { butcher: 1 } },
        ]);
    });

    it("returns the totals that changed after a position, and notifies its listeners", () => {
        const meter = new StartMeter(5_000);
        let notified = 0;
        meter.onStart(() => notified++);
        meter.recordStart(BUTCHER, 10_000);
        meter.recordStart("hotel" as WorkspaceId, 10_000);
        assert.deepEqual(meter.listChanges(0), [{ window: 2, counts: { butcher: 1, hotel: 1 } }]);
        meter.recordStart(BUTCHER, 11_000);
        assert.deepEqual(meter.listChanges(2), [{ window: 2, counts: { butcher: 2 } }]);
        assert.deepEqual(meter.listChanges(3), []);
        assert.equal(notified, 3);
    });

    it("drops windows older than a minute", () => {
        const meter = new StartMeter(5_000);
        meter.recordStart(BUTCHER, 10_000);
        meter.recordStart(BUTCHER, 80_000);
        assert.deepEqual(meter.listChanges(0), [{ window: 16, counts: { butcher: 1 } }]);
    });
});
