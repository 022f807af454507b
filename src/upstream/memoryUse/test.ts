import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { MemoryUse } from "./index.js";

const SHARED_PART = { id: "sheet", tokens: 6_000 };

function makeDemand(own: string) {
    return { parts: [SHARED_PART, { id: own, tokens: 500 }], promptTokens: 6_500, predictedTokens: 100 };
}

describe("MemoryUse", () => {
    it("counts a leading part shared by several requests once", () => {
        const use = new MemoryUse();
        assert.equal(use.tokensFor(makeDemand("a")), 6_600);
        use.add(makeDemand("a"));
        assert.equal(use.tokensFor(makeDemand("b")), 600);
        use.add(makeDemand("b"));
        assert.equal(use.tokens, 7_200);
    });

    it("frees a shared part with the last request that has it", () => {
        const use = new MemoryUse();
        use.add(makeDemand("a"));
        use.add(makeDemand("b"));
        use.remove(makeDemand("a"));
        assert.equal(use.tokens, 6_600);
        use.remove(makeDemand("b"));
        assert.equal(use.tokens, 0);
    });

    it("counts the whole of a prompt without known parts", () => {
        const use = new MemoryUse();
        use.add({ parts: [], promptTokens: 800, predictedTokens: 50 });
        assert.equal(use.tokens, 850);
    });
});
