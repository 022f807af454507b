import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ApplyContext } from "../../consensus/index.js";
import type { IdempotencyKey, LogIndex, RequestId, WorkspaceId } from "../../ids/index.js";
import type { BeginCallCommand, CallAnswer } from "../callCommands/index.js";
import { ANSWER_BYTES_KEPT, CALL_RETENTION_MS, CallLedger } from "./index.js";

const WORKSPACE = "depot" as WorkspaceId;
const KEY = "booking-7" as IdempotencyKey;
const ANSWER: CallAnswer = { status: 201, contentType: "application/json", body: Buffer.from("{}") };

function at(time: number): ApplyContext {
    return { index: 1 as LogIndex, proposedAt: time };
}

function beginBy(request: string, host: string, digest = "d1"): BeginCallCommand {
    const call = { workspace: WORKSPACE, key: KEY, digest, request: request as RequestId };
    return { kind: "call.begin", ...call, host, incarnation: "1" };
}

function finishBy(request: string, outcome: "answered" | "unknown" | "not-run") {
    const answer = outcome === "answered" ? { answer: ANSWER } : {};
    const call = { workspace: WORKSPACE, key: KEY, request: request as RequestId };
    return { kind: "call.finish" as const, ...call, outcome, ...answer };
}

describe("CallLedger", () => {
    describe("a resend through another host", () => {
        it("joins the record and gets the recorded answer", () => {
            // A driver books a load; the answer is lost on the way; the app sends the booking again and lands on another host.
            // Two trucks come. Cause: the second host knows nothing of the first one's call.
            const ledger = new CallLedger();
            assert.equal(ledger.begin(beginBy("r1", "a"), at(1)).state, "opened");
            assert.equal(ledger.begin(beginBy("r2", "b"), at(2)).state, "running");
            ledger.finish(finishBy("r1", "answered"), at(3));
            assert.deepEqual(ledger.begin(beginBy("r2", "b"), at(4)), { state: "answered", answer: ANSWER });
        });

        it("is refused with another body under the same key", () => {
            const ledger = new CallLedger();
            ledger.begin(beginBy("r1", "a"), at(1));
            assert.equal(ledger.begin(beginBy("r2", "b", "d2"), at(2)).state, "mismatch");
        });
    });

    describe("a lost host", () => {
        it("leaves 'unknown', and an answer that turns up after all is kept", () => {
            const ledger = new CallLedger();
            ledger.begin(beginBy("r1", "a"), at(1));
            ledger.abandon({ kind: "call.abandon", host: "a", incarnation: "1" }, at(2));
            assert.equal(ledger.begin(beginBy("r2", "b"), at(3)).state, "unknown");
            ledger.finish(finishBy("r1", "answered"), at(4));
            assert.equal(ledger.begin(beginBy("r2", "b"), at(5)).state, "answered");
        });
    });

    describe("a begin that was held up", () => {
        it("does not open again what its own request has closed", () => {
            // A caller gets "running" for good. Its first try was refused before it left, and a second copy of that try's
            // begin came out of the network afterwards. Cause: the copy opened a record that nobody would close.
            const ledger = new CallLedger();
            ledger.begin(beginBy("r1", "a"), at(1));
            ledger.finish(finishBy("r1", "not-run"), at(2));
            assert.equal(ledger.begin(beginBy("r1", "a"), at(3)).state, "unknown");
            assert.equal(ledger.begin(beginBy("r2", "b"), at(4)).state, "opened");
        });
    });

    describe("bounds", () => {
        it("forgets finished calls after the retention, and the oldest answers beyond the bytes kept", () => {
            const ledger = new CallLedger();
            const body = Buffer.alloc(ANSWER_BYTES_KEPT / 2 + 1);
            for (const key of ["x", "y"]) {
                const named = { key: key as IdempotencyKey };
                ledger.begin({ ...beginBy("r1", "a"), ...named }, at(1));
                ledger.finish({ ...finishBy("r1", "answered"), ...named, answer: { ...ANSWER, body } }, at(2));
            }
            assert.equal(ledger.begin({ ...beginBy("r2", "a"), key: "x" as IdempotencyKey }, at(3)).state, "unknown");
            assert.equal(ledger.begin({ ...beginBy("r2", "a"), key: "y" as IdempotencyKey }, at(3)).state, "answered");
            ledger.begin(beginBy("r3", "a"), at(3 + CALL_RETENTION_MS));
            assert.equal(ledger.size, 1);
        });
    });

    describe("any order of tries, copies, ends and losses", () => {
        it("lets at most one request send, unless the one before it did not run", () => {
            const step = fc.record({
                request: fc.constantFrom("r1", "r2", "r3"),
                act: fc.constantFrom("begin", "answered", "unknown", "not-run", "abandon", "restart"),
            });
            fc.assert(fc.property(fc.array(step, { maxLength: 40 }), steps => checkSchedule(steps)), {
                numRuns: 2_000,
                seed: 4,
            });
        });
    });
});

/** Plays requests that send once they are let, and say "not-run" only when they have not sent. */
function checkSchedule(steps: readonly { request: string; act: string; }[]): void {
    let ledger = new CallLedger();
    const sent = new Set<string>();
    const closed = new Set<string>();
    let time = 0;
    for (const { request, act } of steps) {
        const context = at(++time);
        const host = `host-${request}`;
        if (act === "begin") {
            const { state } = ledger.begin(beginBy(request, host), context);
            if (state === "opened" && !closed.has(request)) sent.add(request);
            assert.ok(sent.size <= 1, `sent by ${[...sent]}`);
        }
        else if (act === "abandon") ledger.abandon({ kind: "call.abandon", host, incarnation: "1" }, context);
        else if (act === "restart") {
            const records = ledger.snapshot();
            ledger = new CallLedger();
            ledger.restore(records);
        }
        else if (act !== "not-run") ledger.finish(finishBy(request, act as "answered" | "unknown"), context);
        else if (!sent.has(request)) {
            ledger.finish(finishBy(request, "not-run"), context);
            closed.add(request);
        }
    }
}
