import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EncodedBody, encodeFrame } from "./index.js";

describe("encodeFrame", () => {
    it("produces the same bytes for a body that was encoded before", () => {
        const body = { records: [{ id: "u1", slots: 4 }], wallMs: 17 };
        const whole = encodeFrame([5, 0, "discovery.news", body]);
        const shared = encodeFrame([5, 0, "discovery.news", new EncodedBody(body)]);
        assert.deepEqual(shared, whole);
    });
});
