import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { LogIndex, WindowStart, WorkspaceId } from "../../ids/index.js";
import type { ReserveCommand } from "../usageCommands/index.js";
import { SpendLedger } from "./index.js";

const WORKSPACE = "school" as WorkspaceId;
const WINDOW = 0 as WindowStart;
const CONTEXT = { index: 1 as LogIndex, proposedAt: 5 };

function makeReserve(host: string, sequence: number, tokens: number): ReserveCommand {
    const sender = { host, incarnation: "1", sequence };
    return { kind: "spend.reserve", workspace: WORKSPACE, window: WINDOW, ...sender, tokens };
}

describe("SpendLedger", () => {
    describe("reserve", () => {
        it("answers a resend with the first result, and never grants more than the limit over all hosts", () => {
            // Prevents overspending: a workspace with a limit of 100 spends 140 when two hosts ask at the same time and one of them
            // resends after a lost answer, if each host checks the limit on its own and the resend counts as a new request.
            const steps = fc.array(fc.tuple(
                fc.constantFrom("a", "b", "c"),
                fc.integer({ min: 1, max: 8 }),
                fc.integer({ min: 0, max: 60 }),
                fc.boolean(),
            ));
            const check = (requests: [string, number, number, boolean][]): void => {
                let ledger = new SpendLedger();
                const granted = new Map<string, number>();
                for (const [host, sequence, tokens, restarts] of requests) {
                    const answer = ledger.reserve(makeReserve(host, sequence, tokens), 100, CONTEXT).granted;
                    const name = `${host} ${sequence}`;
                    assert.equal(granted.get(name) ?? answer, answer);
                    granted.set(name, answer);
                    if (restarts) {
                        const snapshot = ledger.snapshot();
                        ledger = new SpendLedger();
                        ledger.restore(snapshot);
                    }
                }
                assert.ok([...granted.values()].reduce((sum, each) => sum + each, 0) <= 100);
            };
            fc.assert(fc.property(steps, check), { numRuns: 1_000, seed: 3 });
        });

        it("grants nothing in a window that is closed", () => {
            // Prevents a limit spent twice in one window: the window is closed while an entry still uses it, the sums are
            // dropped, and the entry's next request would get the whole limit again.
            let ledger = new SpendLedger();
            assert.equal(ledger.reserve(makeReserve("a", 1, 100), 100, CONTEXT).granted, 100);
            ledger.closeWindows(WINDOW);
            const snapshot = ledger.snapshot();
            ledger = new SpendLedger();
            ledger.restore(snapshot);
            assert.equal(ledger.reserve(makeReserve("a", 2, 100), 100, CONTEXT).granted, 0);
        });

        it("grants nothing to a request so old that its result is no longer kept", () => {
            const ledger = new SpendLedger();
            for (let sequence = 1; sequence <= 2_000; sequence++) {
                ledger.reserve(makeReserve("a", sequence, 1), undefined, CONTEXT);
            }
            assert.equal(ledger.reserve(makeReserve("a", 1, 1), undefined, CONTEXT).granted, 0);
            assert.equal(ledger.reserved(WINDOW, WORKSPACE), 2_000);
        });
    });
});
