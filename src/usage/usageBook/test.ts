import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ApplyContext } from "../../consensus/index.js";
import type { LogIndex, ReportId, WindowStart } from "../../ids/index.js";
import { decodeValue, encodeValue } from "../../wire/index.js";
import type { UsageBatchCommand } from "../usageCommands/index.js";
import { UsageBook, UsageSnapshot } from "./index.js";

const WINDOW_MS = 1_000;
const CONTEXT: ApplyContext = { index: 1 as LogIndex, proposedAt: 5 };

function makeBatch(host: string, sequence: number, window: number, tokens: number): UsageBatchCommand {
    const counts = { requests: 1, prompt_tokens: tokens, completion_tokens: 1 };
    const line = { workspace: "school", pool: "drafting", class: "sheet", ...counts };
    return { kind: "usage.batch", host, incarnation: "1", sequence, sums: [{ window: window as WindowStart, line }] };
}

function close(book: UsageBook, window: number): void {
    book.close({ kind: "usage.close", window: window as WindowStart, windowMs: WINDOW_MS }, CONTEXT);
}

function restart(book: UsageBook): UsageBook {
    const copy = new UsageBook();
    copy.restore(decodeValue(encodeValue(book.snapshot())) as UsageSnapshot);
    return copy;
}

function sumTokens(book: UsageBook): number {
    const windows = [...book.listOpen(), ...book.listClosed()];
    return windows.flatMap(window => window.lines).reduce((sum, line) => sum + line.prompt_tokens, 0);
}

describe("UsageBook", () => {
    describe("a batch that comes twice", () => {
        it("is counted once", () => {
            // A school is billed twice for one sheet. The entry's batch was applied, the answer was lost with the holder, and
            // the entry sent it again to the new holder. Cause: the second copy is not told from a new batch.
            let book = new UsageBook();
            assert.deepEqual(book.count(makeBatch("a", 1, 0, 10), CONTEXT), { counted: true });
            book = restart(book);
            assert.deepEqual(book.count(makeBatch("a", 1, 0, 10), CONTEXT), { counted: false });
            assert.equal(sumTokens(book), 10);
        });
    });

    describe("usage after the close", () => {
        it("is an adjustment in the next window, and the closed one stays as it was", () => {
            // The platform has a window's report; the entry that was cut off sends the rest; the resent report says more than the
            // first. Cause: the window's sums go on growing after the close.
            const book = new UsageBook();
            book.count(makeBatch("a", 1, 0, 10), CONTEXT);
            close(book, 0);
            const frozen = structuredClone(book.listClosed());
            book.count(makeBatch("a", 2, 0, 7), CONTEXT);
            close(book, 0);
            assert.deepEqual(book.listClosed(), frozen);
            const [next] = book.listOpen();
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
    let book = new UsageBook();
    const counted = new Map<string, number>();
    const frozen = new Map<ReportId, string>();
    for (const { act, host, sequence, window } of steps) {
        if (act === "batch") {
            const tokens = 1 + sequence * 100 + (host === "a" ? 0 : 7);
            book.count(makeBatch(host, sequence, window * WINDOW_MS, tokens), CONTEXT);
            counted.set(`${host} ${sequence}`, tokens);
        }
        else if (act === "close") close(book, window * WINDOW_MS);
        else if (act === "restart") book = restart(book);
        else {for (const { reportId } of book.listUnreported()) {
                book.markReported({ kind: "usage.reported", reportId }, CONTEXT);
            }}
        for (const { reportId, lines } of book.listClosed()) {
            const text = JSON.stringify(lines);
            assert.equal(frozen.get(reportId) ?? text, text);
            frozen.set(reportId, text);
        }
        assert.equal(sumTokens(book), [...counted.values()].reduce((sum, tokens) => sum + tokens, 0));
    }
}
