import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { MemoryUse } from "./index.js";

const SHEET = { id: "sheet", tokens: 6_000 };

function makeShape(own: string) {
    return { parts: [SHEET, { id: own, tokens: 500 }], promptTokens: 6_500, predictedTokens: 100 };
}

describe("MemoryUse", () => {
    it("counts a part that several requests begin with once", () => {
        const use = new MemoryUse();
        assert.equal(use.tokensFor(makeShape("a")), 6_600);
        use.add(makeShape("a"));
        assert.equal(use.tokensFor(makeShape("b")), 600);
        use.add(makeShape("b"));
        assert.equal(use.tokens, 7_200);
    });

    it("frees a shared part with the last request that has it", () => {
        const use = new MemoryUse();
        use.add(makeShape("a"));
        use.add(makeShape("b"));
        use.remove(makeShape("a"));
        assert.equal(use.tokens, 6_600);
        use.remove(makeShape("b"));
        assert.equal(use.tokens, 0);
    });

    it("counts a prompt without known parts whole", () => {
        const use = new MemoryUse();
        use.add({ parts: [], promptTokens: 800, predictedTokens: 50 });
        assert.equal(use.tokens, 850);
    });
});
