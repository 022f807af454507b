import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RequestRate } from "./index.js";

describe("RequestRate", () => {
    it("counts what was sent within the last second", () => {
        const rate = new RequestRate();
        for (const at of [0, 400, 900]) rate.record(at);
        assert.equal(rate.count(900), 3);
        assert.equal(rate.count(1_000), 2);
        assert.equal(rate.count(1_400), 1);
        assert.equal(rate.count(5_000), 0);
    });

    it("accepts earlier requests of another process", () => {
        const rate = new RequestRate();
        rate.record(1_000);
        rate.record(600);
        assert.equal(rate.count(1_000), 2);
        assert.equal(rate.count(1_600), 1);
    });
});
