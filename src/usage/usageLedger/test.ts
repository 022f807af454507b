import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ApplyContext } from "../../consensus/index.js";
import type { LogIndex, ReportId, WindowStart } from "../../ids/index.js";
import { decodeValue, encodeValue } from "../../wire/index.js";
import type { UsageBatchCommand } from "../usageCommands/index.js";
import { UsageLedger, UsageSnapshot } from "./index.js";

const WINDOW_MS = 1_000;
const CONTEXT: ApplyContext = { index: 1 as LogIndex, proposedAt: 5 };

function makeBatch(host: string, sequence: number, window: number, tokens: number): UsageBatchCommand {
    const counts = { requests: 1, prompt_tokens: tokens, completion_tokens: 1 };
    const line = { workspace: "school", pool: "drafting", class: "sheet", ...counts };
    return { kind: "usage.batch", host, incarnation: "1", sequence, sums: [{ window: window as WindowStart, line }] };
}

function close(ledger: UsageLedger, window: number): void {
    ledger.close({ kind: "usage.close", window: window as WindowStart, windowMs: WINDOW_MS }, CONTEXT);
}

function restart(ledger: UsageLedger): UsageLedger {
    const copy = new UsageLedger();
    copy.restore(decodeValue(encodeValue(ledger.snapshot())) as UsageSnapshot);
    return copy;
}

function sumTokens(ledger: UsageLedger): number {
    const windows = [...ledger.listOpen(), ...ledger.listClosed()];
    return windows.flatMap(window => window.lines).reduce((sum, line) => sum + line.prompt_tokens, 0);
}

describe("UsageLedger", () => {
    describe("a batch that comes twice", () => {
        it("is counted once", () => {
            // Prevents double billing: the entry's batch is applied, the answer is lost with the holder, and the entry resends the
            // batch to the new holder, which must recognise it as a duplicate.
            let ledger = new UsageLedger();
            assert.deepEqual(ledger.count(makeBatch("a", 1, 0, 10), CONTEXT), { counted: true });
            ledger = restart(ledger);
            assert.deepEqual(ledger.count(makeBatch("a", 1, 0, 10), CONTEXT), { counted: false });
            assert.equal(sumTokens(ledger), 10);
        });
    });

    describe("usage after the close", () => {
        it("is an adjustment in the next window, and the closed window stays unchanged", () => {
            // Prevents a resent report with higher figures than the first: the platform has the window's report, an entry that was
            // cut off sends the rest of its usage, and the window's sums would go on growing after the close.
            const ledger = new UsageLedger();
            ledger.count(makeBatch("a", 1, 0, 10), CONTEXT);
            close(ledger, 0);
            const frozen = structuredClone(ledger.listClosed());
            ledger.count(makeBatch("a", 2, 0, 7), CONTEXT);
            close(ledger, 0);
            assert.deepEqual(ledger.listClosed(), frozen);
            const [next] = ledger.listOpen();
            assert.equal(next.window, WINDOW_MS);
            assert.equal(next.adjustments[0].of, 0);
            assert.equal(next.lines[0].prompt_tokens, 7);
        });
    });

    describe("any order of batches, copies, closes, reports and restarts", () => {
        it("counts each batch once and never changes a closed window", () => {
            const step = fc.record({
                act: fc.constantFrom("batch", "batch", "batch", "close", "report", "restart"),
                host: fc.constantFrom("a", "b"),
                sequence: fc.integer({ min: 1, max: 12 }),
                window: fc.integer({ min: 0, max: 4 }),
            });
            fc.assert(fc.property(fc.array(step, { maxLength: 60 }), checkSchedule), { numRuns: 1_500, seed: 11 });
        });
    });
});

function checkSchedule(steps: readonly { act: string; host: string; sequence: number; window: number; }[]): void {
    let ledger = new UsageLedger();
    const counted = new Map<string, number>();
    const frozen = new Map<ReportId, string>();
    for (const { act, host, sequence, window } of steps) {
        if (act === "batch") {
            const tokens = 1 + sequence * 100 + (host === "a" ? 0 : 7);
            ledger.count(makeBatch(host, sequence, window * WINDOW_MS, tokens), CONTEXT);
            counted.set(`${host} ${sequence}`, tokens);
        }
        else if (act === "close") close(ledger, window * WINDOW_MS);
        else if (act === "restart") ledger = restart(ledger);
        else {for (const { reportId } of ledger.listUnreported()) {
                ledger.markReported({ kind: "usage.reported", reportId }, CONTEXT);
            }}
        for (const { reportId, lines } of ledger.listClosed()) {
            const text = JSON.stringify(lines);
            assert.equal(frozen.get(reportId) ?? text, text);
            frozen.set(reportId, text);
        }
        assert.equal(sumTokens(ledger), [...counted.values()].reduce((sum, tokens) => sum + tokens, 0));
    }
}
