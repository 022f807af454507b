import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { toUpstreamPriority } from "./index.js";

describe("toUpstreamPriority", () => {
    it("keeps ranks where upstreams distinguish enough priorities", () => {
        assert.deepEqual([0, 4, 9].map(rank => toUpstreamPriority(rank, 10, 10)), [0, 4, 9]);
    });

    it("spreads more ranks than priorities evenly, in their order", () => {
        const priorities = Array.from({ length: 25 }, (_, rank) => toUpstreamPriority(rank, 25, 10));
        assert.deepEqual(priorities, [...priorities].sort((a, b) => a - b));
        assert.equal(new Set(priorities).size, 10);
    });

    it("takes a rank that a newer document added for the least urgent", () => {
        assert.equal(toUpstreamPriority(12, 10, 10), 9);
    });
});
