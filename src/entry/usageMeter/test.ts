import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HostId, Incarnation } from "../../ids/index.js";
import { SilentLogger } from "../../logging/index.js";
import { VirtualClock } from "../../ports/index.js";
import { UsageBatchCommand } from "../../usage/index.js";
import { FakeBatchBackup, FakeControl } from "../fixtures/index.js";
import { UsageMeter } from "./index.js";

const LINE = {
    workspace: "hotel",
    pool: "draft",
    class: "summary",
    requests: 1,
    prompt_tokens: 8,
    completion_tokens: 5,
};

function startMeter() {
    const clock = new VirtualClock();
    const control = new FakeControl();
    const backup = new FakeBatchBackup();
    const self = { host: "entry-1" as HostId, incarnation: "i" as Incarnation };
    const meter = new UsageMeter({
        clock,
        self,
        windowMs: 60_000,
        backup,
        control,
        logger: new SilentLogger(),
    });
    const abort = new AbortController();
    void meter.run(abort.signal);
    return { clock, control, backup, meter };
}

describe("UsageMeter", () => {
    describe("record", () => {
        it("settles only once another host holds the batch", async () => {
            const { clock, backup, meter } = startMeter();
            await clock.runUntil(meter.record(LINE), 100);
            assert.equal(backup.held.length, 1);
        });

        it("submits the batch to the control log when no other host can hold it", async () => {
            const { clock, control, backup, meter } = startMeter();
            backup.reachable = false;
            await clock.runUntil(meter.record(LINE), 100);
            assert.equal(control.commands.length, 1);
        });

        it("sums lines that arrive while a batch is being backed up", async () => {
            const { clock, backup, meter } = startMeter();
            await clock.runUntil(Promise.all([meter.record(LINE), meter.record(LINE), meter.record(LINE)]), 100);
            const requests = backup.held.map(batch => batch.sums[0].line.requests);
            assert.deepEqual(requests, [1, 2]);
        });
    });

    describe("run", () => {
        it("resubmits each batch unchanged under its own number until it is accepted", async () => {
            // Failure: a workspace is billed twice for one answer. The reply to a batch is lost, more usage arrives, and the batch is
            // resubmitted with the new usage in it, which makes it a different batch under the same number.
            const { clock, control, backup, meter } = startMeter();
            control.reachable = false;
            await clock.runUntil(meter.record(LINE), 100);
            await clock.advance(2_000);
            await clock.runUntil(meter.record(LINE), 100);
            control.reachable = true;
            await clock.advance(2_000);
            const batches = control.commands as UsageBatchCommand[];
            assert.deepEqual(batches.map(({ sequence, sums }) => [sequence, sums[0].line.requests]), [[1, 1], [2, 1]]);
            assert.deepEqual(batches, backup.held);
            assert.deepEqual({ backlog: meter.backlog, released: backup.released }, { backlog: 0, released: [1, 2] });
        });
    });
});
