import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { LogIndex, WindowStart, WorkspaceId } from "../../ids/index.js";
import type { ReserveCommand } from "../usageCommands/index.js";
import { SpendBook } from "./index.js";

const WORKSPACE = "school" as WorkspaceId;
const WINDOW = 0 as WindowStart;
const CONTEXT = { index: 1 as LogIndex, proposedAt: 5 };

function ask(host: string, sequence: number, tokens: number): ReserveCommand {
    const who = { host, incarnation: "1", sequence };
    return { kind: "spend.reserve", workspace: WORKSPACE, window: WINDOW, ...who, tokens };
}

describe("SpendBook", () => {
    describe("reserve", () => {
        it("gives a resend its first answer, and never more than the limit over all hosts", () => {
            // A workspace with a limit of 100 spends 140: two hosts asked at once, and one asked again after a lost
            // answer. Cause: each host looks at the limit by itself, and the resend is taken for a new question.
            const steps = fc.array(fc.tuple(
                fc.constantFrom("a", "b", "c"),
                fc.integer({ min: 1, max: 8 }),
                fc.integer({ min: 0, max: 60 }),
                fc.boolean(),
            ));
            const check = (asks: [string, number, number, boolean][]): void => {
                let book = new SpendBook();
                const granted = new Map<string, number>();
                for (const [host, sequence, tokens, restarts] of asks) {
                    const answer = book.reserve(ask(host, sequence, tokens), 100, CONTEXT).granted;
                    const name = `${host} ${sequence}`;
                    assert.equal(granted.get(name) ?? answer, answer);
                    granted.set(name, answer);
                    if (restarts) {
                        const snapshot = book.snapshot();
                        book = new SpendBook();
                        book.restore(snapshot);
                    }
                }
                assert.ok([...granted.values()].reduce((sum, each) => sum + each, 0) <= 100);
            };
            fc.assert(fc.property(steps, check), { numRuns: 1_000, seed: 3 });
        });

        it("grants nothing in a window that is closed", () => {
            // A workspace spends its limit twice in one window. The window was closed while an entry still worked in it, the
            // sums were dropped, and the entry's next question got the whole limit again.
            let book = new SpendBook();
            assert.equal(book.reserve(ask("a", 1, 100), 100, CONTEXT).granted, 100);
            book.closeWindows(WINDOW);
            const snapshot = book.snapshot();
            book = new SpendBook();
            book.restore(snapshot);
            assert.equal(book.reserve(ask("a", 2, 100), 100, CONTEXT).granted, 0);
        });

        it("grants nothing to a question so old that its answer is forgotten", () => {
            const book = new SpendBook();
            for (let sequence = 1; sequence <= 2_000; sequence++) {
                book.reserve(ask("a", sequence, 1), undefined, CONTEXT);
            }
            assert.equal(book.reserve(ask("a", 1, 1), undefined, CONTEXT).granted, 0);
            assert.equal(book.reserved(WINDOW, WORKSPACE), 2_000);
        });
    });
});
