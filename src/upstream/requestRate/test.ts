import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RequestRate } from "./index.js";

describe("RequestRate", () => {
    it("counts what was sent within the last second", () => {
        const rate = new RequestRate();
        for (const at of [0, 400, 900]) rate.note(at);
        assert.equal(rate.count(900), 3);
        assert.equal(rate.count(1_000), 2);
        assert.equal(rate.count(1_400), 1);
        assert.equal(rate.count(5_000), 0);
    });

    it("takes what another process sent earlier", () => {
        const rate = new RequestRate();
        rate.note(1_000);
        rate.note(600);
        assert.equal(rate.count(1_000), 2);
        assert.equal(rate.count(1_600), 1);
    });
});
