import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { identifyMessage } from "./index.js";

describe("identifyMessage", () => {
    it("gives equal messages the same id", () => {
        assert.equal(
            identifyMessage({ role: "user", content: "order" }),
            identifyMessage({ role: "user", content: "order" }),
        );
    });

    it("tells messages of other roles and with other contents apart", () => {
        const messages = [["user", "order"], ["system", "order"], ["user", "orders"], ["use", "rorder"]];
        const ids = messages.map(([role, content]) => identifyMessage({ role, content }));
        assert.equal(new Set(ids).size, messages.length);
    });
});
