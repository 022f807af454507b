import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LogIndex, RequestFingerprint, UpstreamId } from "../../ids/index.js";
import { CRASHES_TO_QUARANTINE, QuarantineResult, QuarantineTable } from "./index.js";

const HOUR_MS = 3_600_000;
const SUSPECT = "f1" as RequestFingerprint;
const BYSTANDER = "f2" as RequestFingerprint;

describe("QuarantineTable", () => {
    let index = 0;

    function crash(
        table: QuarantineTable,
        upstream: string,
        fingerprints = [SUSPECT],
        proposedAt = 0,
        incarnation = 1,
    ): QuarantineResult {
        const crashes = [{ upstream: upstream as UpstreamId, incarnation, fingerprints }];
        return table.apply({ kind: "crash.note", crashes }, { index: ++index as LogIndex, proposedAt });
    }

    function isQuarantined(table: QuarantineTable, fingerprint = SUSPECT): boolean {
        return table.find(fingerprint) !== undefined;
    }

    function crashThree(table: QuarantineTable, at = 0): void {
        for (const upstream of ["a", "b", "c"]) crash(table, `${upstream}${at}`, [SUSPECT], at);
    }

    it("quarantines a request after the third upstream that it crashes, and reports it once", () => {
        const table = new QuarantineTable();
        assert.deepEqual([crash(table, "a").state, crash(table, "b").state], ["unchanged", "unchanged"]);
        const third = crash(table, "c");
        assert.deepEqual(third.quarantined.map(({ fingerprint, rounds }) => [fingerprint, rounds]), [[SUSPECT, 1]]);
        assert.equal(table.revision, index);
        assert.equal(crash(table, "d").state, "unchanged");
        assert.equal(table.revision, third.revision);
    });

    it("counts a crash once, however often it is recorded", () => {
        const table = new QuarantineTable();
        for (let time = 0; time < 2 * CRASHES_TO_QUARANTINE; time++) crash(table, "a");
        assert.equal(isQuarantined(table), false);
    });

    it("counts each incarnation of an upstream that restarts under its id", () => {
        const table = new QuarantineTable();
        for (const run of [1, 2, 3]) crash(table, "a", [SUSPECT], 0, run);
        assert.equal(isQuarantined(table), true);
    });

    it("does not quarantine a request that was running during only some of the crashes", () => {
        const table = new QuarantineTable();
        crash(table, "a", [SUSPECT, BYSTANDER]);
        crash(table, "b", [SUSPECT]);
        crash(table, "c", [SUSPECT, BYSTANDER]);
        assert.deepEqual([isQuarantined(table), isQuarantined(table, BYSTANDER)], [true, false]);
    });

    it("forgets crashes that are old", () => {
        const table = new QuarantineTable();
        crash(table, "a");
        crash(table, "b", [SUSPECT], HOUR_MS / 2);
        crash(table, "c", [SUSPECT], 2 * HOUR_MS);
        assert.equal(isQuarantined(table), false);
    });

    describe("when a quarantine ends", () => {
        it("quarantines again after a single crash, for longer", () => {
            const table = new QuarantineTable();
            crashThree(table);
            assert.equal(table.find(SUSPECT)?.until, HOUR_MS);
            const again = crash(table, "d", [SUSPECT], HOUR_MS + 1);
            assert.deepEqual(again.quarantined.map(({ rounds }) => rounds), [2]);
            assert.equal(table.find(SUSPECT)?.until, HOUR_MS + 1 + 4 * HOUR_MS);
        });

        it("changes the revision, so that entries are notified", () => {
            const table = new QuarantineTable();
            crashThree(table);
            const result = crash(table, "d", [BYSTANDER], HOUR_MS + 1);
            assert.deepEqual([result.state, isQuarantined(table), table.revision], ["changed", false, index]);
        });
    });

    it("lets a request run again after an operator lifts its quarantine, and forgets its crashes", () => {
        const table = new QuarantineTable();
        crashThree(table);
        const context = { index: ++index as LogIndex, proposedAt: 0 };
        assert.equal(table.apply({ kind: "quarantine.lift", fingerprint: SUSPECT }, context).state, "changed");
        assert.equal(table.apply({ kind: "quarantine.lift", fingerprint: SUSPECT }, context).state, "unchanged");
        crash(table, "d");
        crash(table, "e");
        assert.equal(isQuarantined(table), false);
    });

    it("restores its state from a snapshot, and from one that is older than the feature", () => {
        const table = new QuarantineTable();
        crashThree(table);
        crash(table, "d", [BYSTANDER]);
        const restored = new QuarantineTable();
        restored.restore(table.snapshot());
        assert.deepEqual(restored.snapshot(), table.snapshot());
        restored.restore(undefined);
        assert.equal(restored.isEmpty, true);
    });

    it("stays bounded whatever is recorded, and keeps the newest", () => {
        const table = new QuarantineTable();
        for (let number = 0; number < 1_000; number++) {
            for (const upstream of ["a", "b", "c"]) crash(table, upstream, [`q${number}` as RequestFingerprint]);
        }
        for (let number = 0; number < 10_000; number++) crash(table, "a", [`s${number}` as RequestFingerprint]);
        const { suspects, quarantined } = table.snapshot();
        assert.deepEqual([suspects.length, quarantined.length], [4_096, 512]);
        assert.equal(isQuarantined(table, "q999" as RequestFingerprint), true);
    });
});
