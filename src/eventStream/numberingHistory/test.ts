import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EventId } from "../../ids/index.js";
import { NumberingHistory } from "./index.js";

function observe(history: NumberingHistory, first: number, step: number | "uneven"): void {
    Object.assign(history.observe(), { first, step });
}

describe("NumberingHistory", () => {
    it("knows nothing usual before the first stream", () => {
        const history = new NumberingHistory();
        assert.equal(history.isUsualBeginning(7 as EventId), false);
        assert.equal(history.isUsualStep("uneven"), false);
    });

    it("takes what more than half of the streams do for usual", () => {
        const history = new NumberingHistory();
        observe(history, 7, 4);
        assert.deepEqual([history.isUsualBeginning(7 as EventId), history.isUsualStep(4)], [true, true]);
        observe(history, 1, 1);
        assert.deepEqual([history.isUsualBeginning(7 as EventId), history.isUsualStep(4)], [false, false]);
    });

    it("does not count streams that have shown nothing yet", () => {
        const history = new NumberingHistory();
        observe(history, 7, "uneven");
        for (let number = 0; number < 3; number++) history.observe();
        assert.equal(history.isUsualStep("uneven"), true);
    });

    it("forgets old streams", () => {
        const history = new NumberingHistory();
        for (let number = 0; number < 200; number++) observe(history, 7, 4);
        for (let number = 0; number < 64; number++) observe(history, 1, 1);
        assert.equal(history.isUsualStep(1), true);
    });
});
