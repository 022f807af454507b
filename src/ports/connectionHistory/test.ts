import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ConnectionHistory } from "./index.js";

describe("ConnectionHistory", () => {
    it("counts the requests of each connection, and those with the same id", () => {
        const history = new ConnectionHistory<object>();
        const [first, second] = [{}, {}];
        assert.deepEqual(history.record(first, "a"), { earlierRequests: 0, sameId: 0 });
        assert.deepEqual(history.record(first, "b"), { earlierRequests: 1, sameId: 0 });
        assert.deepEqual(history.record(first, "a"), { earlierRequests: 2, sameId: 1 });
        assert.deepEqual(history.record(second, "a"), { earlierRequests: 0, sameId: 0 });
    });

    it("takes no two requests without an id for the same", () => {
        const history = new ConnectionHistory<object>();
        const connection = {};
        history.record(connection, undefined);
        assert.deepEqual(history.record(connection, undefined), { earlierRequests: 1, sameId: 0 });
    });
});
