import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PrefillModel, PrefillWork } from "./index.js";

/** An engine of a large model: 64 ms to begin with, 31 ms for a thousand tokens, 1.2 ms for a million pairs. */
function takeMs({ tokens, held }: PrefillWork): number {
    return 64 + 0.031 * tokens + 1.2 * tokens * (held + tokens / 2) / 1_000_000;
}

describe("PrefillModel", () => {
    it("tells the fixed time from that of a token, and long prompts from short ones", () => {
        // Prompts of all sizes follow each other. A model of one time for each token took the fixed time of short prompts for slow reading and
        // thought that an engine was idle which was reading a long one for another half second.
        const model = new PrefillModel();
        for (let i = 0; i < 300; i++) {
            const work = { tokens: 200 + 3_700 * (i % 5), held: 2_000 * (i % 4) };
            model.learn(work, takeMs(work));
        }
        for (
            const work of [{ tokens: 600, held: 0 }, { tokens: 3_000, held: 6_300 }, { tokens: 18_000, held: 2_000 }]
        ) {
            const predicted = model.baseMs + model.readMs(work);
            assert.ok(Math.abs(predicted / takeMs(work) - 1) < 0.05, `${predicted} ms for ${takeMs(work)} ms`);
        }
    });

    it("stays sane when all prompts are alike", () => {
        const model = new PrefillModel();
        const work = { tokens: 600, held: 0 };
        for (let i = 0; i < 300; i++) model.learn(work, takeMs(work));
        assert.ok(model.baseMs > 0 && model.readMs({ tokens: 10_000, held: 0 }) > 0);
    });

    it("takes an answer that came after seconds for a fault", () => {
        const model = new PrefillModel();
        const work = { tokens: 600, held: 0 };
        for (let i = 0; i < 300; i++) model.learn(work, i === 250 ? 20_000 : takeMs(work));
        assert.ok(model.baseMs + model.readMs(work) < 1.5 * takeMs(work));
    });
});
