import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SeededRandom } from "../../ports/index.js";
import { digestCall } from "../callService/index.js";
import { generateTrace } from "../generateTrace/index.js";
import { RequestResult } from "../requestResult/index.js";
import { Trace } from "../trace/index.js";
import { UTILITY_MORNING } from "../utilityPlan/index.js";
import { crossCheck } from "./index.js";

const GENERATED = generateTrace(UTILITY_MORNING, new SeededRandom(1));
const CHAT = GENERATED.requests.find(request => request.kind === "chat")!;
const CALL = GENERATED.requests.find(request => request.kind === "service")!;
const TRACE: Trace = { ...GENERATED, requests: [CHAT, CALL] };
const DIGEST = digestCall(CALL);

function makeResult(change: Partial<RequestResult>): RequestResult {
    return {
        workspace: "care-homes",
        className: "sheets",
        kind: "chat",
        isStreamed: true,
        verdict: "answered",
        request: "r1",
        attempts: 1,
        totalMs: 1,
        tokens: 0,
        ...change,
    };
}

describe("crossCheck", () => {
    it("reports nothing when what ran matches the results that callers received", () => {
        const results = [makeResult({ tokens: 30 }), makeResult({ kind: "service", request: "r2" })];
        const runs = {
            calls: [{ service: "ledger", digest: DIGEST, runs: 1 }],
            chats: [{ request: "r1", runs: 2, tokens: 34 }],
        };
        const check = crossCheck(TRACE, results, runs);
        assert.deepEqual(check, { untruthful: [], doubledCalls: [], wastedTokens: 4, tokens: 34 });
    });

    it("reports a refusal as not run of a request that ran", () => {
        // The call was sent and its answer came late; a system that treats a missing answer as not run refuses the call,
        // the caller books again, and the booking runs twice.
        const results = [makeResult({ verdict: "refused" }), makeResult({ kind: "service", verdict: "refused" })];
        const runs = { calls: [{ service: "ledger", digest: DIGEST, runs: 1 }], chats: [] };
        assert.deepEqual(crossCheck(TRACE, results, runs).untruthful, [
            CALL.kind === "service" && CALL.idempotency_key,
        ]);
    });

    it("reports a call that ran twice although its caller received one answer", () => {
        const results = [makeResult({}), makeResult({ kind: "service" })];
        const runs = {
            calls: [{ service: "ledger", digest: DIGEST, runs: 2 }],
            chats: [{ request: "r1", runs: 1, tokens: 1 }],
        };
        assert.equal(crossCheck(TRACE, results, runs).doubledCalls.length, 1);
    });

    it("reports an answer to a request that no upstream ran", () => {
        const results = [makeResult({}), makeResult({ kind: "service", verdict: "left" })];
        assert.deepEqual(crossCheck(TRACE, results, { calls: [], chats: [] }).untruthful, ["r1"]);
    });
});
