import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Either, Left, Right } from "purify-ts";
import { UsageAck } from "../../control/index.js";
import { HostId, Incarnation, WorkspaceId } from "../../ids/index.js";
import { SilentLogger } from "../../logging/index.js";
import { NoMetrics } from "../../metrics/index.js";
import { VirtualClock } from "../../ports/index.js";
import { PositionCounter, StartMeter, UsageReport } from "../../usage/index.js";
import { decodeValue, EncodedBody, PeerError } from "../../wire/index.js";
import { FakeUsageBackup } from "../fixtures/index.js";
import { UsageReplicator } from "./index.js";

const BUTCHER = "butcher" as WorkspaceId;
const LIMITS = { objectiveLeftMs: 200, deadlineLeftMs: 10_000 };

/** A control process that stores reports after a delay. */
class FakeControl {
    readonly reports: UsageReport[] = [];
    readonly peer: { readonly host: HostId; readonly incarnation: Incarnation; };
    isOpen = true;
    canStore = true;
    isVoter = true;
    syncMs = 5;
    position = 0;
    recorded = 0;

    constructor(private readonly clock: VirtualClock, readonly storeId: string, private readonly voters: number) {
        this.peer = { host: storeId as HostId, incarnation: "1" as Incarnation };
    }

    async call(_method: string, body: unknown): Promise<Either<PeerError, unknown>> {
        const report = decodeValue((body as EncodedBody).bytes) as UsageReport;
        this.reports.push(report);
        await this.clock.sleep(this.syncMs);
        if (!this.isOpen || !this.canStore) return Left(new PeerError("lost", true, ""));
        if (report.after <= this.position) this.position = Math.max(this.position, report.upTo);
        const { storeId, isVoter, voters, position, recorded } = this;
        return Right({ storeId, isVoter, voters, position, recorded } satisfies UsageAck);
    }

    notify(_method: string, body: unknown): void {
        this.reports.push(body as UsageReport);
    }

    /** Highest reported count of the butcher's request starts. */
    get highestCount(): number {
        const counts = this.reports.flatMap(({ windows }) => windows.map(window => window.counts[BUTCHER] ?? 0));
        return Math.max(0, ...counts);
    }
}

function makeReplicator(voters = 3) {
    const clock = new VirtualClock();
    const controls = Array.from({ length: voters }, (_, number) => new FakeControl(clock, `control-${number}`, voters));
    const positions = new PositionCounter();
    const meter = new StartMeter(5_000, positions);
    const backup = new FakeUsageBackup();
    const state = { holder: controls[0] };
    const replicator = new UsageReplicator({
        clock,
        logger: new SilentLogger(),
        metrics: new NoMetrics(),
        self: { host: "entry-1" as HostId, incarnation: "1" as Incarnation },
        positions,
        links: controls,
        backup,
        holderLink: () => state.holder,
        trueNow: () => clock.monotonic(),
    });
    replicator.add({ listChanges: after => ({ windows: meter.listChanges(after) }), dropRecorded: () => undefined });
    meter.onStart(() => replicator.notifyChange());
    const stop = new AbortController();
    void replicator.run(stop.signal);
    const recordStart = (): number => meter.recordStart(BUTCHER, clock.monotonic());
    const measureHold = async (limits = LIMITS): Promise<number> => {
        const startedAt = clock.monotonic();
        await clock.runUntil(replicator.waitDurable(recordStart(), limits), 2_000);
        return clock.monotonic() - startedAt;
    };
    return { clock, controls, backup, replicator, recordStart, measureHold, stop, state };
}

describe("UsageReplicator", () => {
    describe("waitDurable", () => {
        it("settles once a majority of the voters has stored the usage", async () => {
            const { controls, measureHold, replicator } = makeReplicator();
            controls[2].syncMs = 10_000;
            assert.equal(await measureHold(), 5);
            assert.equal(replicator.backlog, 0);
        });

        it("does not count hosts that are no voters", async () => {
            const { controls, measureHold } = makeReplicator();
            controls[0].isVoter = false;
            controls[2].syncMs = 30;
            assert.equal(await measureHold(), 30);
        });

        it("counts a process that is reached at two addresses once", async () => {
            const { clock, controls, measureHold } = makeReplicator();
            controls[1] = new FakeControl(clock, "control-0", 3);
            controls[2].syncMs = 30;
            assert.equal(await measureHold(), 30);
        });

        it("settles at once when the usage is durable already", async () => {
            const { clock, replicator, recordStart } = makeReplicator();
            const position = recordStart();
            await clock.advance(20);
            const startedAt = clock.monotonic();
            await clock.runUntil(replicator.waitDurable(position, LIMITS), 100);
            assert.equal(clock.monotonic(), startedAt);
        });

        it("holds an answer for a limited time when no majority answers, and gives its usage to another entry", async () => {
            const { controls, measureHold, backup } = makeReplicator();
            for (const control of controls) control.syncMs = 10_000;
            backup.reachable = false;
            assert.equal(await measureHold(), 200);
            backup.reachable = true;
            assert.ok(await measureHold() <= 100);
            assert.deepEqual(backup.held.map(({ upTo }) => upTo), [2]);
        });

        it("waits for the other entry alone when nothing has become durable for long", async () => {
            const { clock, controls, measureHold } = makeReplicator();
            for (const control of controls) control.syncMs = 10_000;
            await measureHold();
            await clock.advance(1_500);
            assert.equal(await measureHold(), 0);
        });

        it("does not wait when nothing has become durable for long and no other entry can be reached", async () => {
            const { clock, controls, measureHold, backup } = makeReplicator();
            for (const control of controls) control.syncMs = 10_000;
            backup.reachable = false;
            await measureHold();
            await clock.advance(1_500);
            assert.equal(await measureHold(), 0);
        });

        it("releases the backup once the usage is durable", async () => {
            const { clock, controls, measureHold, backup } = makeReplicator();
            for (const control of controls) control.syncMs = 300;
            await measureHold();
            await clock.advance(500);
            assert.deepEqual(backup.released, [1]);
        });
    });

    describe("reports", () => {
        it("sends one at a time to each control process, with all that was counted meanwhile", async () => {
            const { clock, controls, recordStart } = makeReplicator();
            for (let start = 0; start < 10; start++) {
                recordStart();
                await clock.advance(1);
            }
            await clock.advance(20);
            assert.ok(controls[0].reports.length <= 3);
            assert.deepEqual(controls.map(({ highestCount }) => highestCount), [10, 10, 10]);
        });

        it("sends all usage again to a control process that has lost its disk", async () => {
            const { clock, controls, recordStart } = makeReplicator();
            recordStart();
            await clock.advance(20);
            controls[1].position = 0;
            recordStart();
            await clock.advance(50);
            assert.deepEqual([controls[1].position, controls[1].reports.at(-1)!.after], [2, 0]);
        });

        it("sends fewer and fewer reports to a control process that can't store them", async () => {
            const { clock, controls, recordStart } = makeReplicator();
            controls[1].canStore = false;
            recordStart();
            await clock.advance(5_000);
            assert.ok(controls[1].reports.length <= 9, `${controls[1].reports.length} reports`);
        });

        it("tells the holder often, and all control processes occasionally, up to when the starts are complete", async () => {
            const { clock, controls, replicator, stop } = makeReplicator();
            replicator.startCountingStarts();
            await clock.advance(8_100);
            const [holderReports, otherReports] = controls.map(({ reports }) => reports.length);
            assert.deepEqual([holderReports, otherReports], [16, 4]);
            assert.ok(controls[0].reports.at(-1)!.countedAt! >= 7_900);
            stop.abort();
        });

        it("marks the last report when the entry stops", async () => {
            const { clock, controls, recordStart, replicator } = makeReplicator();
            recordStart();
            assert.equal(await clock.runUntil(replicator.drain(new AbortController().signal), 1_000), true);
            replicator.sendLast();
            assert.deepEqual(controls.map(({ reports }) => reports.at(-1)?.isLast), [true, true, true]);
        });
    });
});
