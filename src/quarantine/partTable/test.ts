import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import type { HostId, LogIndex, PartId, UpstreamId } from "../../ids/index.js";
import { PartTable } from "./index.js";

const HOUR_MS = 3_600_000;
const GUILTY = "guilty" as PartId;
const FIRST = "first" as PartId;

describe("PartTable", () => {
    let table: PartTable;
    let index: number;
    let crashes: number;

    beforeEach(() => {
        table = new PartTable();
        index = 0;
        crashes = 0;
    });

    function apply(command: Parameters<PartTable["apply"]>[0], now: number) {
        return table.apply(command, { index: ++index as LogIndex, proposedAt: now });
    }

    /** Records the crash of another upstream, with the parts of each prompt on which it had not begun to answer. */
    function crash(now: number, ...calls: string[][]) {
        const upstream = `u${crashes++}` as UpstreamId;
        return apply(
            { kind: "parts.crashed", crashes: [{ upstream, incarnation: 1, at: now, calls: calls as PartId[][] }] },
            now,
        );
    }

    function answer(now: number, ...parts: string[]) {
        return apply({ kind: "parts.answered", parts: parts.map(part => ({ part: part as PartId, count: 1 })) }, now);
    }

    function listQuarantined(): string[] {
        return table.list().map(({ part }) => part);
    }

    it("quarantines the part that three crashes share, and no part beside it", () => {
        crash(1_000, [FIRST, GUILTY], [FIRST, "a"]);
        answer(1_100, FIRST);
        crash(2_000, [FIRST, GUILTY], ["other", "b"]);
        crash(3_000, [FIRST, GUILTY]);
        assert.deepEqual(listQuarantined(), [GUILTY]);
    });

    it("blames the last of the parts that are in all crashes, until another one is answered", () => {
        for (const now of [1_000, 2_000, 3_000]) crash(now, [FIRST, GUILTY]);
        assert.deepEqual(listQuarantined(), [GUILTY]);
    });

    it("finds a guilty first part by the answers to the others", () => {
        for (const now of [1_000, 2_000, 3_000]) {
            crash(now, [GUILTY, "shared"]);
            answer(now + 100, "shared");
        }
        assert.deepEqual(listQuarantined(), [GUILTY]);
    });

    it("finds two guilty parts whose crashes mix", () => {
        for (const now of [1_000, 2_000, 3_000]) {
            crash(now, [FIRST, GUILTY], [FIRST, `x${now}`]);
            crash(now + 500, [FIRST, "second-guilty"]);
            answer(now + 600, FIRST);
        }
        assert.deepEqual(listQuarantined().sort(), [GUILTY, "second-guilty"]);
    });

    it("counts upstreams that crash at the same moment once: their cause may lie outside the prompts", () => {
        for (let count = 0; count < 5; count++) crash(1_000 + count, [FIRST, GUILTY]);
        assert.deepEqual(listQuarantined(), []);
        crash(2_000, [FIRST, GUILTY]);
        crash(3_000, [FIRST, GUILTY]);
        assert.deepEqual(listQuarantined(), [GUILTY]);
    });

    it("spares a part that was answered more often than it crashed upstreams", () => {
        for (const now of [1_000, 2_000, 3_000, 4_000]) {
            crash(now, [FIRST, "popular"]);
            answer(now + 100, "popular", FIRST);
            answer(now + 200, "popular", FIRST);
        }
        assert.deepEqual(listQuarantined(), []);
    });

    it("quarantines a part that crashes upstreams in more than half of the cases", () => {
        crash(1_000, [FIRST, GUILTY]);
        answer(1_100, FIRST, FIRST, GUILTY);
        crash(2_000, [FIRST, GUILTY]);
        answer(2_100, FIRST, FIRST);
        crash(3_000, [FIRST, GUILTY]);
        assert.deepEqual(listQuarantined(), [GUILTY]);
    });

    it("counts a crash that several hosts report once, with the calls of all of them", () => {
        const report = (calls: string[][]) =>
            apply({
                kind: "parts.crashed",
                crashes: [{ upstream: "u" as UpstreamId, incarnation: 7, at: 1_000, calls: calls as PartId[][] }],
            }, 1_000);
        report([[FIRST, "a"]]);
        report([[FIRST, GUILTY]]);
        crash(2_000, [FIRST, GUILTY]);
        assert.deepEqual(listQuarantined(), []);
        crash(3_000, [FIRST, GUILTY]);
        assert.deepEqual(listQuarantined(), [GUILTY]);
    });

    it("does not blame prompts beside one that was already on its way", () => {
        for (const now of [1_000, 2_000, 3_000]) crash(now, [FIRST, GUILTY]);
        for (const now of [3_100, 4_000, 5_000]) crash(now, [FIRST, GUILTY], [FIRST, "beside"]);
        assert.deepEqual(listQuarantined(), [GUILTY]);
        assert.deepEqual(table.view().suspects, []);
    });

    it("keeps suspects though a caller crashes upstreams with ever new parts", () => {
        crash(1_000, [GUILTY]);
        crash(2_000, [GUILTY]);
        for (let count = 0; count < 50; count++) {
            const parts = Array.from({ length: 1_000 }, (_, part) => `new-${count}-${part}`);
            crash(3_000 + 1_000 * count, parts);
        }
        assert.ok(table.view().suspects.length <= 64 * 32 * 32);
        crash(60_000, [GUILTY]);
        assert.deepEqual(listQuarantined(), [GUILTY]);
    });

    describe("after a quarantine", () => {
        const OVER = 3_000 + HOUR_MS;

        beforeEach(() => {
            for (const now of [1_000, 2_000, 3_000]) crash(now, [FIRST, GUILTY]);
        });

        function tryPart(now: number): boolean {
            return apply({ kind: "parts.try", part: GUILTY, host: "entry-1" as HostId }, now).mayTry;
        }

        it("lets one request at a time try the part, and none before", () => {
            assert.equal(tryPart(OVER - 1), false);
            assert.equal(tryPart(OVER), true);
            assert.equal(tryPart(OVER + 1_000), false);
            assert.equal(tryPart(OVER + 20_000), true);
        });

        it("releases the part once that request is answered", () => {
            tryPart(OVER);
            assert.equal(answer(OVER + 500, GUILTY).state, "changed");
            assert.deepEqual(listQuarantined(), []);
        });

        it("quarantines the part for longer if that request crashes an upstream", () => {
            tryPart(OVER);
            crash(OVER + 500, [FIRST, GUILTY]);
            const { rounds, until } = table.find(GUILTY)!;
            assert.equal(rounds, 2);
            assert.equal(until, OVER + 500 + 4 * HOUR_MS);
        });

        it("lets the part run again when an operator lifts it, and counts its crashes anew", () => {
            assert.equal(apply({ kind: "parts.lift", part: GUILTY }, 5_000).state, "changed");
            crash(6_000, [FIRST, GUILTY]);
            crash(7_000, [FIRST, GUILTY]);
            assert.deepEqual(listQuarantined(), []);
        });
    });

    it("forgets crashes after an hour", () => {
        crash(1_000, [GUILTY]);
        crash(2_000, [GUILTY]);
        crash(2_000 + HOUR_MS, [GUILTY]);
        assert.deepEqual(listQuarantined(), []);
    });

    it("is the same after a snapshot", () => {
        for (const now of [1_000, 2_000, 3_000]) crash(now, [FIRST, GUILTY]);
        crash(4_000, [FIRST, "b"]);
        answer(4_100, FIRST);
        apply({ kind: "parts.try", part: GUILTY, host: "entry-1" as HostId }, 3_000 + HOUR_MS);
        const restored = new PartTable();
        restored.restore(JSON.parse(JSON.stringify(table.snapshot())));
        assert.deepEqual(restored.snapshot(), table.snapshot());
        assert.deepEqual(restored.view(), table.view());
    });
});
