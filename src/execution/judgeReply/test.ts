import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { judgeReply, ReplyStatement } from "./index.js";

const REFUSAL: ReplyStatement = {
    status: 503,
    requests: ["a"],
    statesNotRun: true,
    connection: { earlierRequests: 3, hasCarried: false },
};

describe("judgeReply", () => {
    it("believes a statement that names the request, on a connection that has not carried it before", () => {
        assert.deepEqual(judgeReply("a", REFUSAL), { owner: "this-call", isOwn: true, execution: "rejected" });
        assert.equal(judgeReply("a", { ...REFUSAL, connection: undefined }).execution, "rejected");
    });

    it("believes no statement that may be about an earlier send of the request", () => {
        // A late copy of an earlier refusal would count as the answer to a send that runs.
        const connection = { earlierRequests: 1, hasCarried: true };
        assert.equal(judgeReply("a", { ...REFUSAL, connection }).execution, "unknown");
    });

    it("believes no statement that names another request, none or several", () => {
        for (const requests of [["b"], [], ["a", "b"], ["a", "a"], ["a, b"]]) {
            assert.equal(judgeReply("a", { ...REFUSAL, requests }).execution, "unknown", requests.join());
        }
    });

    it("believes no statement that its status contradicts", () => {
        // A request that was answered with success would be sent again.
        for (const status of [200, 204, 304]) {
            assert.equal(judgeReply("a", { ...REFUSAL, status }).execution, "unknown");
        }
        for (const status of [400, 421, 429, 500]) {
            assert.equal(judgeReply("a", { ...REFUSAL, status }).execution, "rejected");
        }
    });

    it("takes an answer that names no request for its own on a connection that has carried no other", () => {
        const unnamed = { ...REFUSAL, requests: [], statesNotRun: false };
        const isOwn = (connection: ReplyStatement["connection"]): boolean =>
            judgeReply("a", { ...unnamed, connection }).isOwn;
        assert.equal(isOwn({ earlierRequests: 0, hasCarried: false }), true);
        assert.equal(isOwn({ earlierRequests: 1, hasCarried: false }), false);
        assert.equal(isOwn(undefined), false);
    });

    it("takes an answer without a statement for no proof", () => {
        assert.equal(judgeReply("a", { ...REFUSAL, statesNotRun: false }).execution, "unknown");
    });
});
