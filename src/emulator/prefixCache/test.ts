import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { hashPrefixes, PREFIX_BLOCK_CHARACTERS } from "../../protocol/index.js";
import { PrefixCache } from "./index.js";

describe("PrefixCache", () => {
    it("counts the leading prefixes that are cached", () => {
        const cache = new PrefixCache(8, () => undefined);
        assert.equal(cache.use(["a", "ab", "abc"]), 0);
        assert.equal(cache.use(["a", "ab", "abx"]), 2);
    });

    it("evicts the least recently used block beyond its capacity, a child before its parent", () => {
        const evicted: string[] = [];
        const cache = new PrefixCache(3, event => {
            if (event.kind === "evicted") evicted.push(event.prefix);
        });
        cache.use(["a", "ab"]);
        cache.use(["x"]);
        cache.use(["y", "yz"]);
        assert.equal(cache.size, 3);
        assert.deepEqual(evicted, ["ab", "a"]);
    });
});

describe("hashPrefixes", () => {
    it("returns equal hashes for the common blocks of two prompts, and different ones from where they differ", () => {
        const shared = "s".repeat(2 * PREFIX_BLOCK_CHARACTERS);
        const [a, b] = ["a", "b"].map(letter =>
            hashPrefixes([{ role: "user", content: shared + letter.repeat(PREFIX_BLOCK_CHARACTERS) }])
        );
        assert.equal(a.length, 3);
        assert.deepEqual(a.map((name, index) => name === b[index]), [true, true, false]);
    });
});
