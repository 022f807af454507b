import { pack, unpack } from "msgpackr";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { WorkspaceId } from "../../ids/index.js";
import { RunStarts } from "../runStarts/index.js";
import { addCounts, countOf, listCounts, makeCounts, StartCounts } from "./index.js";

const NAMES = ["butcher", "__proto__", "toString", "constructor", "Huế"] as WorkspaceId[];
const ENTRIES = NAMES.map((name, number) => [name, number + 1] as [WorkspaceId, number]);

describe("StartCounts", () => {
    it("holds a count for each workspace, whatever its name", () => {
        assert.deepEqual(listCounts(makeCounts(ENTRIES)), ENTRIES);
        for (const [name, count] of ENTRIES) assert.equal(countOf(makeCounts(ENTRIES), name), count);
        for (const name of NAMES) assert.equal(countOf({}, name), 0);
    });

    it("holds them after it has been sent, and in the control log", () => {
        // Failure: a decoder renames a workspace, whose requests are then billed to nobody.
        const counts = makeCounts(ENTRIES);
        assert.deepEqual(listCounts(unpack(pack(counts)) as StartCounts), ENTRIES);
        assert.deepEqual(listCounts(JSON.parse(JSON.stringify(counts)) as StartCounts), ENTRIES);
    });

    it("adds up", () => {
        const sums = addCounts(makeCounts(ENTRIES), makeCounts([[NAMES[1], 10]]));
        assert.equal(countOf(sums, NAMES[1]), 12);
        assert.equal(countOf(sums, NAMES[2]), 3);
    });

    it("is merged and summed over runs", () => {
        // Failure: counts of a workspace named like a property of objects are never higher than those stored.
        const starts = new RunStarts();
        for (const run of ["a 1", "b 1"]) starts.merge(run, [{ window: 7, counts: makeCounts(ENTRIES) }]);
        assert.deepEqual(listCounts(starts.sum(7)), ENTRIES.map(([name, count]) => [name, 2 * count]));
        assert.equal(starts.covers("a 1", { window: 7, counts: makeCounts(ENTRIES) }), true);
        assert.equal(starts.covers("c 1", { window: 7, counts: makeCounts(ENTRIES) }), false);
    });
});
