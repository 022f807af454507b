import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PartId } from "../../ids/index.js";
import { ServedParts } from "./index.js";

const PART = "p1" as PartId;

describe("ServedParts", () => {
    it("knows the parts that it has recorded", () => {
        const served = new ServedParts();
        assert.equal(served.has(PART), false);
        served.record([PART]);
        assert.equal(served.has(PART), true);
    });

    it("forgets the part answered longest ago beyond its maximum size", () => {
        const served = new ServedParts();
        const others = Array.from({ length: 8_191 }, (_, number) => `n${number}` as PartId);
        served.record([PART, ...others]);
        served.record([PART, "last" as PartId]);
        assert.equal(served.has(PART), true);
        assert.equal(served.has(others[0]), false);
    });
});
