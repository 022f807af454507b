import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Right } from "purify-ts";
import { FencingToken, HostId, WorkspaceId } from "../../ids/index.js";
import { SilentLogger } from "../../logging/index.js";
import { VirtualClock } from "../../ports/index.js";
import { TrueTime } from "../../time/index.js";
import { PeerRouter } from "../../wire/index.js";
import { ControlState } from "../controlState/index.js";
import { FencedCall, FencedSender } from "../fencedSender/index.js";
import { HolderTerm } from "../holderTerm/index.js";
import { LateStarts } from "../lateStarts/index.js";
import { MemoryLogGroup } from "../memoryControlLog/index.js";
import { StartsReporter } from "../startsReporter/index.js";
import { computeMaxReportWaitMs, StartsWindowCloser } from "../startsWindowCloser/index.js";
import { UsageRecorder } from "../usageRecorder/index.js";
import { StartsReport, StartsTable } from "./index.js";

const WINDOW_MS = 5_000;
const COLLECTED = { hasCollected: () => true };
/** Time after a window's end at which its report is due, in milliseconds. */
const DUE_MS = 10_000;
const BUTCHER = "butcher" as WorkspaceId;

/** Records the reports and replies with `status`. */
class FakePlatform extends FencedSender {
    readonly maxDeliveryMs = 1_000;
    readonly reports: { window: number; counts: Record<string, number>; }[] = [];
    status = 200;

    async send({ body }: FencedCall) {
        this.reports.push(body as { window: number; counts: Record<string, number>; });
        return Right({ status: this.status, body: undefined });
    }

    resetAll(): void {}
}

async function makeTable(maxReportWaitMs = 6_000) {
    const clock = new VirtualClock();
    const state = new ControlState();
    const group = new MemoryLogGroup(clock);
    const log = group.join("control-1" as HostId, state);
    group.elect("control-1" as HostId);
    const table = new StartsTable(clock, new PeerRouter());
    const time = new TrueTime(clock);
    const platform = new FakePlatform();
    const term = { token: 1 as FencingToken, maySend: () => true, mayAct: () => true } as unknown as HolderTerm;
    const shared = {
        log,
        state,
        table,
        time,
        collector: COLLECTED,
        late: new LateStarts(),
        logger: new SilentLogger(),
        windowMs: WINDOW_MS,
        maxReportWaitMs,
    };
    const closer = new StartsWindowCloser(shared);
    const reporter = new StartsReporter({
        ...shared,
        sender: platform,
        platformChecksFence: false,
        buildCall: ({ window, counts }) => ({
            address: { host: "10.0.0.1", port: 1 },
            path: "/",
            body: { window, counts },
        }),
    });
    const firstWindow = Math.floor(time.now() / WINDOW_MS);
    const report = (host: string, count: number, window = firstWindow, run: Partial<StartsReport> = {}): void => {
        const windows = [{ window, counts: { [BUTCHER]: count } as StartsReport["windows"][0]["counts"] }];
        table.record({ host, incarnation: "1", countedAt: time.now(), windows, ...run });
    };
    const run = async (ms: number, reporting: () => void = () => undefined): Promise<void> => {
        for (let passed = 0; passed < ms; passed += 250) {
            reporting();
            await closer.step(term);
            await reporter.step(term);
            await clock.advance(250);
        }
    };
    return { clock, state, log, time, platform, table, report, run, firstWindow };
}

describe("windows of request starts", () => {
    it("are reported once all entries have counted past their end, with the sum of their counts", async () => {
        const { platform, report, run, firstWindow } = await makeTable();
        await run(7_000, () => {
            report("entry-1", 3);
            report("entry-2", 4);
        });
        assert.deepEqual(platform.reports[0], { window: firstWindow, counts: { butcher: 7 } });
        assert.equal(platform.reports.filter(({ window }) => window === firstWindow).length, 1);
    });

    it("wait for an entry that has stopped reporting, but not forever", async () => {
        // An entry is partitioned for a few seconds. Its counts should be in the report, but the report must be sent in time.
        const { platform, report, run } = await makeTable();
        report("entry-2", 4);
        await run(7_000, () => report("entry-1", 3));
        assert.equal(platform.reports.length, 0);
        await run(5_000, () => report("entry-1", 3));
        assert.deepEqual(platform.reports[0].counts, { butcher: 7 });
    });

    it("wait for a partitioned entry for as long as their report can still be in time", async () => {
        // The window would be incomplete if the counts of an entry that was partitioned for ten seconds were left out, although it comes
        // back before the report is due.
        const { clock, platform, report, run } = await makeTable(computeMaxReportWaitMs(DUE_MS));
        report("entry-1", 3);
        report("entry-2", 4);
        await run(WINDOW_MS + 7_000, () => report("entry-1", 3));
        await run(1_000, () => {
            report("entry-1", 3);
            report("entry-2", 9);
        });
        assert.deepEqual(platform.reports[0].counts, { butcher: 12 });
        assert.ok(clock.monotonic() <= WINDOW_MS + DUE_MS);
    });

    it("are reported in time where an entry does not come back", async () => {
        const { clock, platform, report, run } = await makeTable(computeMaxReportWaitMs(DUE_MS));
        report("entry-2", 4);
        while (platform.reports.length === 0) await run(250, () => report("entry-1", 3));
        assert.ok(clock.monotonic() <= WINDOW_MS + DUE_MS - 1_000, `${clock.monotonic()} ms`);
    });

    it("do not wait for a run of an entry that another run has replaced, and keep its counts", async () => {
        // If a rolling restart of entries delayed the closing of windows to the last moment, any fault of the platform would make their
        // reports late.
        const { platform, report, run, firstWindow } = await makeTable();
        report("entry-1", 3);
        await run(7_000, () => report("entry-1", 4, firstWindow, { incarnation: "2" }));
        assert.deepEqual(platform.reports[0].counts, { butcher: 7 });
    });

    it("do not wait again for an earlier run whose report was delayed", async () => {
        const { platform, report, run, firstWindow } = await makeTable();
        report("entry-1", 3);
        report("entry-1", 4, firstWindow, { incarnation: "2" });
        report("entry-1", 5);
        await run(7_000, () => report("entry-1", 4, firstWindow, { incarnation: "2" }));
        assert.deepEqual(platform.reports[0].counts, { butcher: 9 });
    });

    it("do not wait for an entry that has sent its final report, and keep its counts", async () => {
        const { platform, report, run, firstWindow } = await makeTable();
        report("entry-2", 4, firstWindow, { isLast: true });
        await run(7_000, () => report("entry-1", 3));
        assert.deepEqual(platform.reports[0].counts, { butcher: 7 });
    });

    it("keep the counts of an entry that is lost", async () => {
        const { platform, report, run } = await makeTable();
        report("entry-2", 4);
        report("entry-2", 2);
        await run(12_000, () => report("entry-1", 3));
        assert.deepEqual(platform.reports[0].counts, { butcher: 7 });
    });

    it("keep what was counted when all processes are killed in the middle of them", async () => {
        // Counts that are only in the memory of processes are lost when all of these stop, and the window would be reported incomplete.
        const { clock, state, table, log, report, firstWindow, time } = await makeTable();
        const term = { token: 1 as FencingToken, mayAct: () => true } as unknown as HolderTerm;
        report("entry-1", 3);
        report("entry-2", 4);
        await new UsageRecorder({
            log,
            state,
            table,
            listBatches: () => [],
            late: new LateStarts(),
            logger: new SilentLogger(),
        }).step(term);
        const revived = new ControlState();
        revived.restore(state.snapshot());
        const group = new MemoryLogGroup(clock);
        const nextLog = group.join("control-1" as HostId, revived);
        group.elect("control-1" as HostId);
        const nextTable = new StartsTable(clock, new PeerRouter());
        const windows = [{ window: firstWindow, counts: { [BUTCHER]: 5 } as StartsReport["windows"][0]["counts"] }];
        nextTable.record({ host: "entry-1", incarnation: "2", countedAt: time.now(), windows });
        const parts = {
            log: nextLog,
            state: revived,
            table: nextTable,
            time,
            collector: COLLECTED,
            late: new LateStarts(),
            logger: new SilentLogger(),
        };
        const closer = new StartsWindowCloser({ ...parts, windowMs: WINDOW_MS, maxReportWaitMs: 6_000 });
        await clock.advance(12_000);
        await closer.step(term);
        assert.deepEqual(revived.starts.listUnreported()[0].counts, { butcher: 12 });
        assert.equal(revived.openStarts.isEmpty, true);
    });

    it("are not closed before a majority of the voters was asked for what it has stored", async () => {
        // Failure: a window is billed in part, since its entries had their acknowledgements from other voters than the new holder.
        const { clock, state, table, log, report, time } = await makeTable();
        const term = { token: 1 as FencingToken, mayAct: () => true } as unknown as HolderTerm;
        const asked: number[] = [];
        const collector = {
            hasCollected: (_term: HolderTerm, maxAgeMs = 0) => {
                asked.push(maxAgeMs);
                return asked.length > 1;
            },
        };
        const parts = { log, state, table, time, collector, late: new LateStarts(), logger: new SilentLogger() };
        const closer = new StartsWindowCloser({ ...parts, windowMs: WINDOW_MS, maxReportWaitMs: 6_000 });
        report("entry-1", 3);
        await clock.advance(12_000);
        await closer.step(term);
        assert.equal(state.starts.lastClosed, undefined);
        await closer.step(term);
        assert.notEqual(state.starts.lastClosed, undefined);
        assert.ok(asked[0] > 0 && asked[0] < 12_000);
    });

    it("are not counted twice by a holder that has received counts already recorded in the log", async () => {
        const { clock, state, table, log, report, time } = await makeTable();
        const term = { token: 1 as FencingToken, mayAct: () => true } as unknown as HolderTerm;
        const recorder = new UsageRecorder({
            log,
            state,
            table,
            listBatches: () => [],
            late: new LateStarts(),
            logger: new SilentLogger(),
        });
        report("entry-1", 3);
        await recorder.step(term);
        report("entry-1", 5);
        await recorder.step(term);
        const parts = {
            log,
            state,
            table,
            time,
            collector: COLLECTED,
            late: new LateStarts(),
            logger: new SilentLogger(),
        };
        await clock.advance(12_000);
        await new StartsWindowCloser({ ...parts, windowMs: WINDOW_MS, maxReportWaitMs: 6_000 }).step(term);
        assert.deepEqual(state.starts.listUnreported()[0].counts, { butcher: 5 });
    });

    it("are sent again with the same counts, whatever has been counted since", async () => {
        // The platform is down when a window is due, and an entry's late count arrives before the retry. A report with different counts
        // would be billed a second time.
        const { platform, report, run, firstWindow } = await makeTable();
        platform.status = 503;
        await run(7_000, () => report("entry-1", 3));
        platform.status = 200;
        await run(3_000, () => report("entry-1", 9));
        const reports = platform.reports.filter(({ window }) => window === firstWindow);
        assert.ok(reports.length > 1);
        assert.ok(reports.every(({ counts }) => counts.butcher === 3));
    });

    it("are dropped once closed, also on processes that close none", async () => {
        // Control processes that never hold the lease must also drop old windows, or their memory grows forever.
        const { clock, table, report, firstWindow } = await makeTable();
        for (let window = firstWindow; window < firstWindow + 100; window++) {
            report("entry-1", 3, window);
            await clock.advance(WINDOW_MS);
        }
        const [{ windows }] = table.counts.list();
        assert.ok(windows.length <= 20, `${windows.length}`);
        assert.equal(table.takeUnrecorded()[0].windows.length, windows.length);
    });
});
