import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { AttemptEnd, AttemptReview, chooseNextStep } from "./index.js";

function choose(end: AttemptEnd, parts: Partial<AttemptReview> = {}): string {
    const review: AttemptReview = {
        end,
        kind: "once",
        resumable: false,
        begun: 1,
        attempts: 2,
        tries: 1,
        takeRepeat: () => true,
        ...parts,
    };
    return chooseNextStep(review);
}

describe("chooseNextStep", () => {
    describe("a call that runs once at most", () => {
        it("goes on only where it can't have run", () => {
            // A customer pays twice. The ledger runs the order, the connection breaks before its answer, and the order is
            // sent to another ledger: an answer that does not come says nothing of what has run.
            assert.equal(choose("not-sent", { begun: 0 }), "again");
            assert.equal(choose("refused", { begun: 0 }), "again");
            for (const end of ["lost", "failed", "broken"] as const) assert.equal(choose(end), "give-up");
        });

        it("holds for streams that can't be resumed", () => {
            for (const end of ["lost", "broken"] as const) assert.equal(choose(end, { kind: "stream" }), "give-up");
        });
    });

    describe("a call that may be repeated", () => {
        it("goes on while its route lets another upstream begin", () => {
            assert.equal(choose("lost", { kind: "idempotent" }), "again");
            assert.equal(choose("failed", { kind: "idempotent" }), "again");
            assert.equal(choose("lost", { kind: "idempotent", begun: 2 }), "give-up");
        });

        it("goes on with a resumable stream that broke off", () => {
            assert.equal(choose("broken", { kind: "stream", resumable: true }), "again");
        });
    });

    describe("bounds", () => {
        it("asks the budget last, and for repeats that reach an upstream only", () => {
            const takeRepeat = (): boolean => false;
            assert.equal(choose("refused", { takeRepeat }), "give-up");
            assert.equal(choose("not-sent", { takeRepeat }), "again");
        });

        it("ends after a few tries", () => {
            assert.equal(choose("not-sent", { tries: 5 }), "give-up");
        });
    });
});
