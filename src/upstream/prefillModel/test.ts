import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PrefillModel, PrefillWork } from "./index.js";

/**
 * Time to first token of a large model's engine: 64 ms fixed, 31 ms per thousand tokens, 1.2 ms per million token
 * pairs.
 */
function firstTokenMs({ tokens, held }: PrefillWork): number {
    return 64 + 0.031 * tokens + 1.2 * tokens * (held + tokens / 2) / 1_000_000;
}

describe("PrefillModel", () => {
    it("separates the fixed time from the time per token, for short and long prompts", () => {
        // With prompts of mixed lengths, a model with a single time per token attributes the fixed time of short
        // prompts to slow prefill, and considers an engine idle that still needs half a second for a long prompt.
        const model = new PrefillModel();
        for (let i = 0; i < 300; i++) {
            const work = { tokens: 200 + 3_700 * (i % 5), held: 2_000 * (i % 4) };
            model.learn(work, firstTokenMs(work));
        }
        for (
            const work of [{ tokens: 600, held: 0 }, { tokens: 3_000, held: 6_300 }, { tokens: 18_000, held: 2_000 }]
        ) {
            const predicted = model.baseMs + model.prefillMs(work);
            assert.ok(
                Math.abs(predicted / firstTokenMs(work) - 1) < 0.05,
                `${predicted} ms for ${firstTokenMs(work)} ms`,
            );
        }
    });

    it("keeps positive factors when all prompts are alike", () => {
        const model = new PrefillModel();
        const work = { tokens: 600, held: 0 };
        for (let i = 0; i < 300; i++) model.learn(work, firstTokenMs(work));
        assert.ok(model.baseMs > 0 && model.prefillMs({ tokens: 10_000, held: 0 }) > 0);
    });

    it("treats an answer after many seconds as a fault", () => {
        const model = new PrefillModel();
        const work = { tokens: 600, held: 0 };
        for (let i = 0; i < 300; i++) model.learn(work, i === 250 ? 20_000 : firstTokenMs(work));
        assert.ok(model.baseMs + model.prefillMs(work) < 1.5 * firstTokenMs(work));
    });
});
