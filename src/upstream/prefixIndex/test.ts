import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { UpstreamId } from "../../ids/index.js";
import { PrefixIndex } from "./index.js";

const U1 = "u1" as UpstreamId;
const PROMPT = ["a", "a/b", "a/b/c", "a/b/c/d"];

describe("PrefixIndex", () => {
    it("returns the longest prefix that was sent there", () => {
        const index = new PrefixIndex();
        index.record(["a", "a/b"], U1);
        assert.equal(index.cachedShare(PROMPT, U1), 0.5);
        assert.deepEqual(index.likelyHolders(PROMPT), [U1]);
    });

    it("applies eviction events", () => {
        const index = new PrefixIndex();
        index.record(PROMPT, U1);
        index.apply(U1, { sequence: 0, events: PROMPT.map(prefix => ({ kind: "evicted", prefix })) });
        assert.equal(index.cachedShare(PROMPT, U1), 0);
    });

    it("lowers the trust after a gap, and raises it after complete batches", () => {
        const index = new PrefixIndex();
        index.record(PROMPT, U1);
        index.apply(U1, { sequence: 0, events: [] });
        index.apply(U1, { sequence: 7, events: [] });
        assert.equal(index.cachedShare(PROMPT, U1), 0.5);
        index.apply(U1, { sequence: 7, events: [] });
        assert.ok(index.cachedShare(PROMPT, U1) > 0.5);
    });

    it("stays within its bound and forgets everything known of an upstream", () => {
        const index = new PrefixIndex(3);
        index.record(["p1", "p2", "p3", "p4"], U1);
        assert.equal(index.cachedShare(["p1"], U1), 0);
        assert.equal(index.cachedShare(["p4"], U1), 1);
        index.forget(U1);
        assert.equal(index.cachedShare(["p4"], U1), 0);
    });
});
