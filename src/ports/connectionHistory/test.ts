import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ConnectionHistory } from "./index.js";

describe("ConnectionHistory", () => {
    it("counts the requests of each connection, and knows their ids", () => {
        const history = new ConnectionHistory<object>();
        const [first, second] = [{}, {}];
        assert.deepEqual(history.record(first, "a"), { earlierRequests: 0, hasCarried: false });
        assert.deepEqual(history.record(first, "b"), { earlierRequests: 1, hasCarried: false });
        assert.deepEqual(history.record(first, "a"), { earlierRequests: 2, hasCarried: true });
        assert.deepEqual(history.record(second, "a"), { earlierRequests: 0, hasCarried: false });
    });

    it("takes no two requests without an id for the same", () => {
        const history = new ConnectionHistory<object>();
        const connection = {};
        history.record(connection, undefined);
        assert.deepEqual(history.record(connection, undefined), { earlierRequests: 1, hasCarried: false });
    });

    it("takes a bounded number of ids for each connection", () => {
        const history = new ConnectionHistory<object>();
        const connection = {};
        for (let number = 0; !history.isFull(connection); number++) {
            assert.ok(number < 1_000);
            history.record(connection, `id-${number}`);
        }
        assert.ok(history.hasCarried(connection, "id-0"));
    });
});
