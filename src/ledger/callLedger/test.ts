import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ApplyContext } from "../../consensus/index.js";
import type { IdempotencyKey, LogIndex, RequestId, WorkspaceId } from "../../ids/index.js";
import type { BeginCallCommand, CallAnswer } from "../callCommands/index.js";
import { CALL_RETENTION_MS, CallLedger, MAX_ANSWER_BYTES } from "./index.js";

const WORKSPACE = "depot" as WorkspaceId;
const KEY = "booking-7" as IdempotencyKey;
const ANSWER: CallAnswer = { status: 201, contentType: "application/json", body: Buffer.from("{}") };

function makeContext(time: number): ApplyContext {
    return { index: 1 as LogIndex, proposedAt: time };
}

function makeBegin(request: string, host: string, digest = "d1"): BeginCallCommand {
    const call = { workspace: WORKSPACE, key: KEY, digest, request: request as RequestId };
    return { kind: "call.begin", ...call, host, incarnation: "1" };
}

function makeFinish(request: string, outcome: "answered" | "unknown" | "not-run") {
    const answer = outcome === "answered" ? { answer: ANSWER } : {};
    const call = { workspace: WORKSPACE, key: KEY, request: request as RequestId };
    return { kind: "call.finish" as const, ...call, outcome, ...answer };
}

describe("CallLedger", () => {
    describe("a resend through another host", () => {
        it("finds the record and gets the recorded answer", () => {
            // Prevents a booking from being made twice: its answer is lost, the client resends it through another host, and that
            // host has no knowledge of the first call unless the record is shared.
            const ledger = new CallLedger();
            assert.equal(ledger.begin(makeBegin("r1", "a"), makeContext(1)).state, "opened");
            assert.equal(ledger.begin(makeBegin("r2", "b"), makeContext(2)).state, "running");
            ledger.finish(makeFinish("r1", "answered"), makeContext(3));
            assert.deepEqual(ledger.begin(makeBegin("r2", "b"), makeContext(4)), { state: "answered", answer: ANSWER });
        });

        it("is refused with another body under the same key", () => {
            const ledger = new CallLedger();
            ledger.begin(makeBegin("r1", "a"), makeContext(1));
            assert.equal(ledger.begin(makeBegin("r2", "b", "d2"), makeContext(2)).state, "mismatch");
        });
    });

    describe("a lost host", () => {
        it("leaves the call 'unknown', and keeps an answer that arrives later", () => {
            const ledger = new CallLedger();
            ledger.begin(makeBegin("r1", "a"), makeContext(1));
            ledger.abandon({ kind: "call.abandon", host: "a", incarnation: "1" }, makeContext(2));
            assert.equal(ledger.begin(makeBegin("r2", "b"), makeContext(3)).state, "unknown");
            ledger.finish(makeFinish("r1", "answered"), makeContext(4));
            assert.equal(ledger.begin(makeBegin("r2", "b"), makeContext(5)).state, "answered");
        });
    });

    describe("a delayed copy of a begin", () => {
        it("does not reopen the record that its own request has closed", () => {
            // Prevents a caller from getting "running" permanently: its first attempt was refused before it was sent, and a delayed
            // copy of that attempt's begin would open a record that nothing closes.
            const ledger = new CallLedger();
            ledger.begin(makeBegin("r1", "a"), makeContext(1));
            ledger.finish(makeFinish("r1", "not-run"), makeContext(2));
            assert.equal(ledger.begin(makeBegin("r1", "a"), makeContext(3)).state, "unknown");
            assert.equal(ledger.begin(makeBegin("r2", "b"), makeContext(4)).state, "opened");
        });
    });

    describe("bounds", () => {
        it("drops finished calls after the retention, and the oldest answers beyond the maximum size", () => {
            const ledger = new CallLedger();
            const body = Buffer.alloc(MAX_ANSWER_BYTES / 2 + 1);
            for (const key of ["x", "y"]) {
                const named = { key: key as IdempotencyKey };
                ledger.begin({ ...makeBegin("r1", "a"), ...named }, makeContext(1));
                ledger.finish(
                    { ...makeFinish("r1", "answered"), ...named, answer: { ...ANSWER, body } },
                    makeContext(2),
                );
            }
            assert.equal(
                ledger.begin({ ...makeBegin("r2", "a"), key: "x" as IdempotencyKey }, makeContext(3)).state,
                "unknown",
            );
            assert.equal(
                ledger.begin({ ...makeBegin("r2", "a"), key: "y" as IdempotencyKey }, makeContext(3)).state,
                "answered",
            );
            ledger.begin(makeBegin("r3", "a"), makeContext(3 + CALL_RETENTION_MS));
            assert.equal(ledger.size, 1);
        });
    });

    describe("any order of attempts, duplicates, finishes and host losses", () => {
        it("lets at most one request send the call, unless the one before did not run", () => {
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

/** Simulates requests that send the call once they may, and finish as "not-run" only when they have not sent it. */
function checkSchedule(steps: readonly { request: string; act: string; }[]): void {
    let ledger = new CallLedger();
    const sent = new Set<string>();
    const closed = new Set<string>();
    let time = 0;
    for (const { request, act } of steps) {
        const context = makeContext(++time);
        const host = `host-${request}`;
        if (act === "begin") {
            const { state } = ledger.begin(makeBegin(request, host), context);
            if (state === "opened" && !closed.has(request)) sent.add(request);
            assert.ok(sent.size <= 1, `sent by ${[...sent]}`);
        }
        else if (act === "abandon") ledger.abandon({ kind: "call.abandon", host, incarnation: "1" }, context);
        else if (act === "restart") {
            const records = ledger.snapshot();
            ledger = new CallLedger();
            ledger.restore(records);
        }
        else if (act !== "not-run") ledger.finish(makeFinish(request, act as "answered" | "unknown"), context);
        else if (!sent.has(request)) {
            ledger.finish(makeFinish(request, "not-run"), context);
            closed.add(request);
        }
    }
}
