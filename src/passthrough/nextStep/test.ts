import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { AttemptEnd, AttemptSummary, chooseNextStep } from "./index.js";

function choose(end: AttemptEnd, fields: Partial<AttemptSummary> = {}): string {
    const summary: AttemptSummary = {
        end,
        kind: "once",
        isSoftwareKnown: true,
        resumable: false,
        begun: 1,
        attempts: 2,
        tries: 1,
        mayWait: false,
        tryTakeRepeat: () => true,
        ...fields,
    };
    return chooseNextStep(summary);
}

describe("chooseNextStep", () => {
    describe("a call that may run at most once", () => {
        it("is sent again only if it can't have run", () => {
            // An upstream runs an order, the connection breaks before its answer, and the order is sent to another
            // upstream, which runs it again: a missing answer does not show that nothing has run.
            assert.equal(choose("not-sent", { begun: 0 }), "again");
            assert.equal(choose("refused", { begun: 0 }), "again");
            for (const end of ["lost", "failed", "broken"] as const) assert.equal(choose(end), "give-up");
        });

        it("treats streams that can't be resumed alike", () => {
            for (const end of ["lost", "broken"] as const) assert.equal(choose(end, { kind: "stream" }), "give-up");
        });
    });

    describe("a call that may be repeated", () => {
        it("is sent again while its route allows another upstream", () => {
            assert.equal(choose("lost", { kind: "idempotent" }), "again");
            assert.equal(choose("failed", { kind: "idempotent" }), "again");
            assert.equal(choose("lost", { kind: "idempotent", begun: 2 }), "give-up");
        });

        it("resumes a stream that broke off", () => {
            assert.equal(choose("broken", { kind: "stream", resumable: true }), "again");
        });
    });

    describe("bounds", () => {
        it("asks the budget last, and only for repeats after an upstream was reached", () => {
            const tryTakeRepeat = (): boolean => false;
            assert.equal(choose("refused", { tryTakeRepeat }), "give-up");
            assert.equal(choose("not-sent", { tryTakeRepeat }), "again");
        });

        it("gives up after the maximum number of tries", () => {
            assert.equal(choose("not-sent", { tries: 5 }), "give-up");
        });
    });

    describe("a call that has left a sound upstream", () => {
        it("waits for a repeat, however often it was turned away since", () => {
            // Its answer would end because its upstream was silent for a moment.
            const moved = { mayWait: true, kind: "stream", resumable: true } as const;
            for (const tries of [2, 20]) {
                assert.equal(choose("refused", { ...moved, tries }), "again");
                assert.equal(choose("refused", { ...moved, tries, tryTakeRepeat: () => false }), "later");
                assert.equal(choose("not-sent", { ...moved, tries }), "again");
            }
        });

        it("ends with its last attempt all the same", () => {
            assert.equal(choose("broken", { mayWait: true, kind: "stream", resumable: true, begun: 2 }), "give-up");
        });
    });
});
