import fc from "fast-check";
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
        cache.recordSent([SYSTEM, SUBJECT], A, 0);
        assert.equal(cache.heldTokens([SYSTEM, SUBJECT, OWN], A), 300);
        assert.equal(cache.heldTokens([OWN, SYSTEM], A), 0);
        assert.equal(cache.heldTokens([SYSTEM], "b" as UpstreamId), 0);
    });

    it("evicts the least recently used part first, and of one prompt's parts the last one", () => {
        const cache = new PromptCache(() => 480);
        cache.recordSent([SYSTEM, SUBJECT], A, 0);
        cache.recordSent([SYSTEM, OWN], A, 0);
        cache.recordSent([SYSTEM, { id: "other", tokens: 100 }], A, 0);
        assert.equal(cache.heldTokens([SYSTEM, SUBJECT], A), 100);
        assert.equal(cache.heldTokens([SYSTEM, OWN], A), 150);
    });

    it("counts reported parts as used less recently than parts sent there", () => {
        const cache = new PromptCache(() => 480);
        cache.recordSent([SYSTEM, SUBJECT], A, 0);
        cache.recordReported([OWN, { id: "other", tokens: 100 }], A, 0);
        assert.equal(cache.heldTokens([SYSTEM, SUBJECT], A), 300);
        assert.equal(cache.heldTokens([OWN], A) + cache.heldTokens([{ id: "other", tokens: 100 }], A) <= 100, true);
    });

    it("forgets an upstream that has ended", () => {
        const cache = new PromptCache(() => undefined);
        cache.recordSent([SYSTEM], A, 0);
        cache.forget(A);
        assert.equal(cache.heldTokens([SYSTEM], A), 0);
    });

    it("lists the same holders as a query of each upstream", () => {
        const upstreams = ["a", "b", "c"].map(id => id as UpstreamId);
        const part = fc.integer({ min: 0, max: 5 }).map(number => ({ id: `p${number}`, tokens: 60 + 20 * number }));
        const step = fc.record({
            upstream: fc.constantFrom(...upstreams),
            parts: fc.uniqueArray(part, { selector: ({ id }) => id, minLength: 1, maxLength: 4 }),
            act: fc.constantFrom("use", "confirm", "learn", "forget"),
        });
        fc.assert(
            fc.property(fc.array(step, { maxLength: 30 }), step, (steps, { parts }) => {
                const cache = new PromptCache(() => 500);
                for (const [now, { upstream, parts: sent, act }] of steps.entries()) {
                    if (act === "use") cache.recordSent(sent, upstream, now);
                    else if (act === "confirm") cache.markPrefilled(sent, upstream);
                    else if (act === "learn") cache.recordReported(sent, upstream, now);
                    else cache.forget(upstream);
                }
                const expected = upstreams.map(id => [id, cache.heldTokens(parts, id)] as const).filter(([, held]) =>
                    held > 0
                );
                assert.deepEqual(new Map([...cache.listHolders(parts)].sort()), new Map(expected));
            }),
            { seed: 1, numRuns: 500 },
        );
    });
});
