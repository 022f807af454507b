import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FencingToken } from "../../ids/index.js";
import { RunStarts, StartCounts, StartWindowCounts } from "../../usage/index.js";
import { HolderTerm } from "../holderTerm/index.js";
import { LateStarts } from "./index.js";

const TERM = { token: 3 as FencingToken } as HolderTerm;
const NEXT_TERM = { token: 4 as FencingToken } as HolderTerm;
const RUN = "entry-1 1";

function countsIn(window: number, counts: Record<string, number>): StartWindowCounts {
    return { window, counts: counts as StartCounts };
}

function closeWindow(counts: Record<string, number>): LateStarts {
    const late = new LateStarts();
    const included = new RunStarts();
    included.merge(RUN, [countsIn(7, counts)]);
    late.recordClose(TERM, 7, included);
    return late;
}

describe("LateStarts", () => {
    it("counts in the open window what was not counted in the closed one", () => {
        const late = closeWindow({ butcher: 2 });
        const carried = late.carryOver(TERM, RUN, [countsIn(7, { butcher: 5, hotel: 1 })], 8);
        assert.deepEqual(carried, { window: 8, counts: { butcher: 3, hotel: 1 } });
    });

    it("counts a start that is reported again only once, and adds further ones", () => {
        const late = closeWindow({ butcher: 2 });
        late.carryOver(TERM, RUN, [countsIn(7, { butcher: 3 })], 8);
        assert.equal(late.carryOver(TERM, RUN, [countsIn(7, { butcher: 3 })], 8), undefined);
        assert.deepEqual(late.carryOver(TERM, RUN, [countsIn(7, { butcher: 4 })], 8)?.counts, { butcher: 2 });
    });

    it("counts a run from which nothing was known", () => {
        const late = closeWindow({ butcher: 2 });
        assert.deepEqual(late.carryOver(TERM, "entry-2 1", [countsIn(7, { hotel: 4 })], 8)?.counts, { hotel: 4 });
    });

    it("drops late starts of windows that an earlier holder has closed, whose counts by run it does not know", () => {
        const late = closeWindow({ butcher: 2 });
        assert.equal(late.carryOver(NEXT_TERM, RUN, [countsIn(7, { butcher: 5 })], 8), undefined);
        assert.equal(late.carryOver(TERM, RUN, [countsIn(6, { butcher: 5 })], 8), undefined);
    });
});
