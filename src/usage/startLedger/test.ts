import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CloseStartsCommand, StartLedger } from "./index.js";

function close(window: number, count: number): CloseStartsCommand {
    return { kind: "starts.close", window, counts: { butcher: count } as CloseStartsCommand["counts"] };
}

describe("StartLedger", () => {
    it("keeps the first counts of a window", () => {
        // Prevents two reports of one window with different figures, and a disputed bill: a holder closes the window and is lost
        // before it has reported it, and its successor has meanwhile received counts of more requests.
        const ledger = new StartLedger();
        ledger.close(close(5, 10));
        assert.equal(ledger.close(close(5, 12)).counts["butcher" as never], 10);
        assert.deepEqual(ledger.listUnreported(), [{ window: 5, counts: { butcher: 10 }, reported: false }]);
    });

    it("lists what is not reported, the oldest first, also after a snapshot", () => {
        const ledger = new StartLedger();
        for (const window of [7, 5, 6]) ledger.close(close(window, window));
        ledger.markReported({ kind: "starts.reported", window: 6 });
        const restored = new StartLedger();
        restored.restore(ledger.snapshot());
        assert.deepEqual(restored.listUnreported().map(({ window }) => window), [5, 7]);
        assert.equal(restored.lastClosed, 7);
    });

    it("drops only the oldest reported windows", () => {
        const ledger = new StartLedger();
        ledger.close(close(0, 1));
        for (let window = 1; window <= 1_010; window++) {
            ledger.close(close(window, 1));
            ledger.markReported({ kind: "starts.reported", window });
        }
        assert.equal(ledger.listUnreported()[0].window, 0);
        assert.ok(ledger.snapshot().length <= 1_002);
    });
});
