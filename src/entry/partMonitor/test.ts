import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { Either, Left, Right } from "purify-ts";
import { ControlClientError, EntryCommand, ViewCache, ViewChange } from "../../control/index.js";
import { HostId, LogIndex, PartId, PoolId, RequestFingerprint, UpstreamId } from "../../ids/index.js";
import { SilentLogger } from "../../logging/index.js";
import { NoMetrics } from "../../metrics/index.js";
import { VirtualClock } from "../../ports/index.js";
import { PartAnswers, PartCommand, PartCrash, PartsRequest, PartTable } from "../../quarantine/index.js";
import { PartMonitor } from "./index.js";

const HOUR_MS = 3_600_000;
const FIRST = "first" as PartId;
const GUILTY = "guilty" as PartId;

/** A control log of one table, and two hosts that use it. */
class TestFleet {
    readonly clock = new VirtualClock();
    readonly table = new PartTable();
    readonly reports: PartCommand[] = [];
    isCut = false;
    private readonly stop = new AbortController();
    private readonly hosts = ["e1", "e2"].map(host => this.startHost(host as HostId));
    private index = 0;
    private crashes = 0;

    monitor(host: number): PartMonitor {
        return this.hosts[host].monitor;
    }

    /** Has the next upstream crash on prompts that a host sent to it. */
    async crash(host: number, ...prompts: PartId[][]): Promise<void> {
        const upstream = `u${++this.crashes}` as UpstreamId;
        const { monitor } = this.hosts[host];
        const target = { pool: "draft" as PoolId, upstream, incarnation: 1, address: { host: "10.0.0.2", port: 9000 } };
        for (const parts of prompts) monitor.recordUnanswered(makeRequest(parts), target);
        monitor.recordFinding(upstream, 1, true);
        await this.settle();
    }

    /** Has reports reach the log, and its view reach the hosts. */
    async settle(ms = 1_000): Promise<void> {
        await this.clock.advance(ms);
        for (const { cache, monitor } of this.hosts) {
            cache.apply(makeChange(this.table));
            monitor.viewChanged();
        }
        await this.clock.advance(10);
    }

    async close(): Promise<void> {
        this.stop.abort();
        await this.clock.advance(10_000);
    }

    private startHost(self: HostId): { cache: ViewCache; monitor: PartMonitor; } {
        const { clock } = this;
        const cache = new ViewCache();
        const monitor = new PartMonitor({
            clock,
            logger: new SilentLogger(),
            metrics: new NoMetrics(),
            self,
            client: { command: async <Result>(command: EntryCommand) => this.receive<Result>(command as PartCommand) },
            cache,
            time: { now: () => clock.monotonic() },
        });
        void monitor.run(this.stop.signal);
        return { cache, monitor };
    }

    private receive<Result>(command: PartCommand): Either<ControlClientError, Result> {
        if (this.isCut) return Left(new ControlClientError(true, "no answer in time"));
        this.reports.push(command);
        const context = { index: ++this.index as LogIndex, proposedAt: this.clock.monotonic() };
        return Right(this.table.apply(command, context) as Result);
    }
}

function makeChange(table: PartTable): ViewChange {
    const nothing = { workspaces: [], removedWorkspaces: [], keys: [], withdrawnKeys: [] };
    return { ...nothing, full: false, revision: table.revision, parts: table.view() };
}

function makeRequest(sharedParts: readonly PartId[], fingerprint = "f1"): PartsRequest {
    return { sharedParts, fingerprint: fingerprint as RequestFingerprint };
}

describe("PartMonitor", () => {
    let fleet: TestFleet;

    beforeEach(() => {
        fleet = new TestFleet();
    });

    afterEach(() => fleet.close());

    /** Lists the numbers of answers that hosts have reported for a part. */
    function listAnswers(part: PartId): number[] {
        const parts = fleet.reports.flatMap(report => report.kind === "parts.answered" ? report.parts : []);
        return parts.filter((answers: PartAnswers) => answers.part === part).map(({ count }) => count);
    }

    function listReportedCrashes(): PartCrash[] {
        return fleet.reports.flatMap(report => report.kind === "parts.crashed" ? report.crashes : []);
    }

    it("holds back prompts with a part that crashed three upstreams, at hosts that never received one", async () => {
        for (const host of [0, 1, 0]) await fleet.crash(host, [FIRST, GUILTY]);
        assert.equal(fleet.monitor(1).findQuarantine(makeRequest([FIRST, GUILTY]))?.part, GUILTY);
        assert.equal(fleet.monitor(1).findQuarantine(makeRequest([FIRST])), undefined);
    });

    it("reports nothing while no upstream crashes", async () => {
        for (let count = 0; count < 100; count++) fleet.monitor(0).recordBegun(makeRequest([FIRST]));
        await fleet.settle();
        assert.deepEqual(fleet.reports, []);
    });

    it("reports at once that a part which becomes a suspect was answered before", async () => {
        fleet.monitor(1).recordBegun(makeRequest([FIRST]));
        await fleet.crash(0, [FIRST, GUILTY]);
        await fleet.settle();
        assert.deepEqual(listAnswers(FIRST), [1]);
        assert.deepEqual(listAnswers(GUILTY), []);
    });

    it("reports popular parts rarely", async () => {
        // With a report for each answer, one crash would load the control log with the fleet's whole traffic.
        await fleet.crash(0, [FIRST, GUILTY]);
        for (let count = 0; count < 1_000; count++) {
            fleet.monitor(0).recordBegun(makeRequest([FIRST]));
            await fleet.clock.advance(5);
        }
        assert.ok(listAnswers(FIRST).length <= 11, `${listAnswers(FIRST).length} reports`);
    });

    it("forgets calls of an upstream that did not crash", async () => {
        const target = {
            pool: "draft" as PoolId,
            upstream: "u" as UpstreamId,
            incarnation: 1,
            address: { host: "10.0.0.2", port: 9000 },
        };
        fleet.monitor(0).recordUnanswered(makeRequest([FIRST, GUILTY]), target);
        fleet.monitor(0).recordFinding(target.upstream, 1, false);
        fleet.monitor(0).recordFinding(target.upstream, 1, true);
        await fleet.settle();
        assert.deepEqual(fleet.reports, []);
    });

    it("holds back a part on its own crashes while the log can't be reached, and reports them afterwards", async () => {
        fleet.isCut = true;
        for (let count = 0; count < 3; count++) await fleet.crash(0, [FIRST, GUILTY]);
        assert.equal(fleet.monitor(0).findQuarantine(makeRequest([FIRST, GUILTY]))?.part, GUILTY);
        fleet.isCut = false;
        await fleet.settle();
        assert.equal(listReportedCrashes().length, 3);
        await fleet.settle();
        assert.equal(fleet.monitor(1).findQuarantine(makeRequest([FIRST, GUILTY]))?.part, GUILTY);
    });

    it("bounds the crashes, the calls and the parts that it keeps while the log can't be reached", async () => {
        fleet.isCut = true;
        const long = Array.from({ length: 1_000 }, (_, number) => `part-${number}` as PartId);
        const huge = ["x".repeat(1_000) as PartId];
        for (let count = 0; count < 100; count++) {
            await fleet.crash(0, huge, ...Array.from({ length: 100 }, () => [FIRST]), long, long, long);
        }
        fleet.isCut = false;
        await fleet.settle();
        const crashes = listReportedCrashes();
        assert.equal(crashes.length, 64);
        for (const { calls } of crashes) assert.equal(calls.length, 64);
        for (const { calls } of crashes) assert.ok(calls.flat().every(part => part.length <= 256));
    });

    describe("a part whose quarantine is over", () => {
        beforeEach(async () => {
            for (let count = 0; count < 3; count++) await fleet.crash(0, [FIRST, GUILTY]);
            await fleet.settle(HOUR_MS);
            for (const host of [0, 1]) fleet.monitor(host).findQuarantine(makeRequest([FIRST, GUILTY], "asks"));
            await fleet.settle();
        });

        /** Returns how many of the hosts let a request run. */
        function countSenders(fingerprint: string): number {
            const request = makeRequest([FIRST, GUILTY], fingerprint);
            return [0, 1].filter(host => fleet.monitor(host).findQuarantine(request) === undefined).length;
        }

        it("is tried by one request of one host", () => {
            assert.equal(countSenders("f1"), 1);
            assert.equal(countSenders("f2"), 0);
        });

        it("is quarantined for longer when its upstream crashes", async () => {
            assert.equal(countSenders("f1"), 1);
            await fleet.crash(0, [FIRST, GUILTY]);
            const { leftMs } = fleet.monitor(1).findQuarantine(makeRequest([FIRST, GUILTY]))!;
            assert.ok(leftMs > 2 * HOUR_MS, `${leftMs} ms`);
        });

        it("is released when an answer begins", async () => {
            const trying = [0, 1].find(host => !fleet.monitor(host).findQuarantine(makeRequest([FIRST, GUILTY])))!;
            fleet.monitor(trying).recordBegun(makeRequest([FIRST, GUILTY]));
            await fleet.settle();
            assert.equal(countSenders("f2"), 2);
        });
    });
});
