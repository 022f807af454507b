import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LogIndex, PoolId, RequestId, SoftwareVersion, WorkspaceId } from "../../ids/index.js";
import { SilentLogger } from "../../logging/index.js";
import { MemoryDisk, VirtualClock } from "../../ports/index.js";
import { StreamStartGroup, StreamStartTable } from "../../resumption/index.js";
import { RunStartWindows, StartCounts, UsageBatchCommand, UsageReport } from "../../usage/index.js";
import { PeerRouter } from "../../wire/index.js";
import { ControlState } from "../controlState/index.js";
import { UsageJournal } from "./index.js";

const BUTCHER = "butcher" as WorkspaceId;
const RUN = { host: "entry-1", incarnation: "1" };
const OWNER = { storeId: "a", isVoter: true, voters: 3 };
const WINDOW = 7;

function makeReport(after: number, upTo: number, report: Partial<UsageReport> = {}): UsageReport {
    const windows = [{ window: WINDOW, counts: { [BUTCHER]: upTo } as StartCounts }];
    return { ...RUN, after, upTo, recorded: 0, windows, batches: [], ...report };
}

function makeBatch(sequence: number): UsageBatchCommand {
    return { kind: "usage.batch", ...RUN, sequence, sums: [] };
}

function makeStreams(attempt: string, keepMs = 60_000): StreamStartGroup {
    const origin = { workspace: BUTCHER, pool: "draft" as PoolId, software: "1.0" as SoftwareVersion, keepMs };
    return { ...origin, attempts: [attempt as RequestId] };
}

class TestJournal {
    readonly clock = new VirtualClock();
    readonly disk = new MemoryDisk(this.clock);
    state = new ControlState();
    loaded: RunStartWindows[] = [];
    reported: UsageReport[] = [];
    streamStarts = new StreamStartTable(this.clock);

    async open(): Promise<UsageJournal> {
        this.loaded = [];
        this.streamStarts = new StreamStartTable(this.clock);
        return this.clock.runUntil(
            UsageJournal.open({
                clock: this.clock,
                disk: this.disk,
                router: new PeerRouter(),
                state: this.state,
                logger: new SilentLogger(),
                streamStarts: this.streamStarts,
                owner: () => OWNER,
                onReport: report => this.reported.push(report),
                onLoaded: starts => this.loaded.push(starts),
            }),
            1_000,
        );
    }

    run<Value>(work: Promise<Value>): Promise<Value> {
        return this.clock.runUntil(work, 1_000);
    }

    recordStarts(count: number): void {
        const runs = [{ run: "entry-1 1", windows: [{ window: WINDOW, counts: { [BUTCHER]: count } as StartCounts }] }];
        this.state.apply({ kind: "starts.note", runs }, { index: 1 as LogIndex, proposedAt: 0 });
    }
}

describe("UsageJournal", () => {
    describe("accept", () => {
        it("acknowledges a report only once a loss of power can't lose it", async () => {
            const test = new TestJournal();
            const journal = await test.open();
            test.disk.syncDurationMs = 20;
            let isAcked = false;
            const accepted = journal.accept(makeReport(0, 2)).then(ack => {
                isAcked = true;
                return ack;
            });
            await test.clock.advance(19);
            assert.equal(isAcked, false);
            assert.deepEqual(await test.run(accepted), { ...OWNER, position: 2, recorded: 0 });
            test.disk.crash();
            assert.deepEqual((await test.open()).read().starts.map(({ windows }) => windows[0].counts), [{
                butcher: 2,
            }]);
        });

        it("does not acknowledge a report that leaves out earlier usage, as after the loss of its disk", async () => {
            const test = new TestJournal();
            const journal = await test.open();
            const ack = await test.run(journal.accept(makeReport(3, 5)));
            assert.deepEqual([ack.position, test.reported.length], [0, 0]);
            assert.equal((await test.run(journal.accept(makeReport(0, 5)))).position, 5);
        });

        it("accepts a report after usage that the control log has", async () => {
            const test = new TestJournal();
            const journal = await test.open();
            const ack = await test.run(journal.accept(makeReport(3, 5, { recorded: 3 })));
            assert.deepEqual([ack.position, ack.recorded], [5, 3]);
        });

        it("writes reports that arrive during a sync in one group", async () => {
            const test = new TestJournal();
            const journal = await test.open();
            test.disk.syncDurationMs = 10;
            const startedAt = test.clock.monotonic();
            const hosts = ["entry-1", "entry-2", "entry-3", "entry-4"];
            const acks = await test.run(Promise.all(hosts.map(host => journal.accept(makeReport(0, 1, { host })))));
            assert.deepEqual(acks.map(({ position }) => position), [1, 1, 1, 1]);
            assert.equal(test.clock.monotonic() - startedAt, 20);
        });

        it("refuses a malformed batch, since everything in the control log must be valid to apply", async () => {
            const test = new TestJournal();
            const journal = await test.open();
            const malformed = { ...makeBatch(1), sums: "none" } as unknown as UsageBatchCommand;
            await assert.rejects(test.run(journal.accept(makeReport(0, 1, { batches: [malformed] }))), /malformed/);
            assert.deepEqual(journal.read().batches, []);
        });

        it("reports that a full disk has stored nothing", async () => {
            const test = new TestJournal();
            const journal = await test.open();
            test.disk.capacityBytes = 0;
            await assert.rejects(test.run(journal.accept(makeReport(0, 1))));
            test.disk.capacityBytes = Number.POSITIVE_INFINITY;
            assert.equal((await test.run(journal.accept(makeReport(0, 1)))).position, 1);
        });
    });

    describe("read", () => {
        it("leaves out what the control log has", async () => {
            const test = new TestJournal();
            const journal = await test.open();
            await test.run(journal.accept(makeReport(0, 2)));
            await test.run(journal.accept(makeReport(2, 3, { batches: [makeBatch(1)] })));
            test.recordStarts(2);
            assert.deepEqual(journal.read().starts.length, 1);
            test.recordStarts(3);
            assert.deepEqual(journal.read().batches.map(({ sequence }) => sequence), [1]);
            test.state.apply(makeBatch(1), { index: 2 as LogIndex, proposedAt: 0 });
            assert.deepEqual([journal.read().starts, journal.read().batches], [[], []]);
            assert.equal((await test.run(journal.accept(makeReport(3, 3)))).recorded, 3);
        });
    });

    describe("open", () => {
        it("loads starts and batches, and drops what the control log has when the file has grown", async () => {
            const test = new TestJournal();
            const journal = await test.open();
            const padding = "x".repeat(300 * 1024);
            const batch = { ...makeBatch(1), padding } as UsageBatchCommand;
            test.recordStarts(1);
            test.state.apply(makeBatch(1), { index: 2 as LogIndex, proposedAt: 0 });
            await test.run(journal.accept(makeReport(0, 1, { batches: [batch] })));
            await test.run(journal.accept(makeReport(1, 2, { batches: [makeBatch(2)] })));
            const reopened = await test.open();
            assert.equal(test.loaded.length, 1);
            assert.deepEqual(reopened.listBatches().map(({ sequence }) => sequence), [2]);
        });
    });

    describe("the starts of streams", () => {
        function findSoftware({ streamStarts }: TestJournal, attempt: string): string[] {
            return streamStarts.find(BUTCHER, attempt as RequestId).map(({ software }) => software);
        }

        it("are known as soon as they arrive, and survive a loss of power once they are acknowledged", async () => {
            // Otherwise no stream could go on after a loss of power at all hosts.
            const test = new TestJournal();
            const journal = await test.open();
            test.disk.syncDurationMs = 20;
            const accepted = journal.accept(makeReport(0, 1, { windows: [], streams: [makeStreams("a")] }));
            assert.deepEqual(findSoftware(test, "a"), ["1.0"]);
            assert.equal((await test.run(accepted)).position, 1);
            test.disk.crash();
            await test.open();
            assert.deepEqual(findSoftware(test, "a"), ["1.0"]);
        });

        it("survive when the usage that was stored with them is removed from the files", async () => {
            // They are not in the control log, so the files alone have them.
            const test = new TestJournal();
            const journal = await test.open();
            await test.run(journal.accept(makeReport(0, 1, { streams: [makeStreams("a"), makeStreams("old", 1)] })));
            for (let upTo = 2; upTo < 3_000; upTo++) {
                test.recordStarts(upTo);
                await test.run(journal.accept(makeReport(upTo - 1, upTo)));
            }
            test.disk.crash();
            await test.open();
            assert.deepEqual([findSoftware(test, "a"), findSoftware(test, "old")], [["1.0"], []]);
        });
    });
});
