import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RequestFingerprint } from "../../ids/index.js";
import { VirtualClock } from "../../ports/index.js";
import { ServedRequests } from "./index.js";

const REQUEST = "f1" as RequestFingerprint;

describe("ServedRequests", () => {
    it("remembers an answer for a while", async () => {
        const clock = new VirtualClock();
        const served = new ServedRequests(clock);
        assert.equal(served.isRecent(REQUEST), false);
        served.record(REQUEST);
        await clock.advance(9_000);
        assert.equal(served.isRecent(REQUEST), true);
        await clock.advance(2_000);
        assert.equal(served.isRecent(REQUEST), false);
    });

    it("forgets the oldest beyond its maximum size", () => {
        const served = new ServedRequests(new VirtualClock());
        served.record(REQUEST);
        for (let number = 0; number < 3_000; number++) served.record(`n${number}` as RequestFingerprint);
        assert.equal(served.isRecent(REQUEST), false);
        assert.equal(served.isRecent("n2999" as RequestFingerprint), true);
    });
});
