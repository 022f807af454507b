import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { readRetryAfter } from "./index.js";

describe("readRetryAfter", () => {
    it("returns milliseconds, also for fractions of a second", () => {
        assert.equal(readRetryAfter("3"), 3_000);
        assert.equal(readRetryAfter(" 0.25 "), 250);
        assert.equal(readRetryAfter("0"), 0);
        assert.equal(readRetryAfter("1e300"), 1e303);
    });

    it("tells a missing value from an unreadable one", () => {
        assert.equal(readRetryAfter(undefined), undefined);
        for (const text of ["", "-1", "soon", "Infinity", "1e400", "Wed, 21 Oct 2026 07:28:00 GMT"]) {
            assert.ok(Number.isNaN(readRetryAfter(text)), text);
        }
    });
});
