import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { UpstreamId } from "../../ids/index.js";
import { PromptCache } from "./index.js";

const A = "a" as UpstreamId;
const SYSTEM = { id: "system", tokens: 100 };
const SUBJECT = { id: "subject", tokens: 200 };
const OWN = { id: "own", tokens: 50 };

describe("PromptCache", () => {
    it("counts leading parts only", () => {
        const cache = new PromptCache(() => 10_000);
        cache.use([SYSTEM, SUBJECT], A, 0);
        assert.equal(cache.heldTokens([SYSTEM, SUBJECT, OWN], A), 300);
        assert.equal(cache.heldTokens([OWN, SYSTEM], A), 0);
        assert.equal(cache.heldTokens([SYSTEM], "b" as UpstreamId), 0);
    });

    it("lets the longest unused part yield first, and of one prompt the last one", () => {
        const cache = new PromptCache(() => 480);
        cache.use([SYSTEM, SUBJECT], A, 0);
        cache.use([SYSTEM, OWN], A, 0);
        cache.use([SYSTEM, { id: "other", tokens: 100 }], A, 0);
        assert.equal(cache.heldTokens([SYSTEM, SUBJECT], A), 100);
        assert.equal(cache.heldTokens([SYSTEM, OWN], A), 150);
    });

    it("counts what the upstream says that it holds as used before what was sent there", () => {
        const cache = new PromptCache(() => 480);
        cache.use([SYSTEM, SUBJECT], A, 0);
        cache.learn([OWN, { id: "other", tokens: 100 }], A, 0);
        assert.equal(cache.heldTokens([SYSTEM, SUBJECT], A), 300);
        assert.equal(cache.heldTokens([OWN], A) + cache.heldTokens([{ id: "other", tokens: 100 }], A) <= 100, true);
    });

    it("forgets an upstream that has ended", () => {
        const cache = new PromptCache(() => undefined);
        cache.use([SYSTEM], A, 0);
        cache.forget(A);
        assert.equal(cache.heldTokens([SYSTEM], A), 0);
    });
});
