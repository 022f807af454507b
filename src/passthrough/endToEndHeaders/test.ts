import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { endToEndHeaders } from "./index.js";

describe("endToEndHeaders", () => {
    it("removes hop-by-hop headers and keeps the rest in order", () => {
        const headers = [
            ["host", "shop.example"],
            ["connection", "close, X-Hop"],
            ["x-hop", "1"],
            ["te", "trailers"],
            ["x-twice", "a"],
            ["transfer-encoding", "chunked"],
            ["x-twice", "b"],
        ] as const;
        assert.deepEqual(endToEndHeaders(headers, new Set()), [["host", "shop.example"], ["x-twice", "a"], [
            "x-twice",
            "b",
        ]]);
    });

    it("removes the given names", () => {
        assert.deepEqual(endToEndHeaders([["authorization", "x"]], new Set(["authorization"])), []);
    });
});
