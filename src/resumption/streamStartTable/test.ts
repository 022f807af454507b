import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolId, RequestId, SoftwareVersion, WorkspaceId } from "../../ids/index.js";
import { VirtualClock } from "../../ports/index.js";
import { StreamStart } from "../streamStart/index.js";
import { StreamStartTable } from "./index.js";

const KEEP_MS = 10_000;
const BUTCHER = "butcher" as WorkspaceId;

function makeStart(attempt: string, fields: Partial<StreamStart> = {}): StreamStart {
    return {
        attempt: attempt as RequestId,
        workspace: BUTCHER,
        pool: "draft" as PoolId,
        software: "1.0" as SoftwareVersion,
        keepMs: KEEP_MS,
        ...fields,
    };
}

describe("StreamStartTable", () => {
    function makeTable(maxAttempts?: number) {
        const clock = new VirtualClock();
        const table = new StreamStartTable(clock, maxAttempts);
        const find = (attempt: string, workspace: WorkspaceId | undefined = BUTCHER) =>
            table.find(workspace, attempt as RequestId).map(({ pool, software }) => `${pool} ${software}`);
        return { clock, table, find };
    }

    it("returns where a stream began", () => {
        const { table, find } = makeTable();
        table.add(makeStart("a"));
        assert.deepEqual([find("a"), find("b")], [["draft 1.0"], []]);
    });

    it("knows an attempt within its workspace only", () => {
        // A caller would otherwise have a stream go on by what another one began.
        const { table, find } = makeTable();
        table.add(makeStart("a"));
        assert.deepEqual(find("a", "baker" as WorkspaceId), []);
        assert.deepEqual(table.find(undefined, "a" as RequestId), []);
    });

    it("returns several starts where an id was used for streams that began elsewhere", () => {
        const { table, find } = makeTable();
        table.add(makeStart("a"));
        table.add(makeStart("a"));
        assert.deepEqual(find("a"), ["draft 1.0"]);
        table.add(makeStart("a", { software: "2.0" as SoftwareVersion }));
        table.add(makeStart("a", { pool: "other" as PoolId }));
        assert.deepEqual(find("a"), ["draft 1.0", "draft 2.0"]);
    });

    it("forgets a start after its time, which each further report of it prolongs", async () => {
        const { clock, table, find } = makeTable();
        table.add(makeStart("a"));
        await clock.advance(KEEP_MS - 1);
        table.add(makeStart("a"));
        await clock.advance(KEEP_MS - 1);
        assert.deepEqual(find("a"), ["draft 1.0"]);
        await clock.advance(1);
        assert.deepEqual(find("a"), []);
        table.add(makeStart("b"));
        assert.equal(table.size, 1);
    });

    it("forgets the oldest beyond its bound", () => {
        const { table, find } = makeTable(2);
        for (const attempt of ["a", "b", "c"]) table.add(makeStart(attempt));
        assert.deepEqual([find("a"), find("b"), find("c")], [[], ["draft 1.0"], ["draft 1.0"]]);
    });

    it("lists starts with the time that is left", async () => {
        const { clock, table } = makeTable();
        table.add(makeStart("a"));
        await clock.advance(4_000);
        assert.deepEqual(table.list(), [makeStart("a", { keepMs: KEEP_MS - 4_000 })]);
    });
});
