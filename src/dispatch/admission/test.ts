import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { makeTicket } from "../_lib/fixtures.js";
import { makeWaitingTicket } from "../waiting/index.js";
import { LastMomentAdmission, PredictedWaitAdmission } from "./index.js";

const FIRST_TOKEN_MS = 200;

/** A ticket that came at 0, with a target of 2 s and a longest wait of 4 s, judged later. */
function judge(policy: LastMomentAdmission | PredictedWaitAdmission, now: number, waitMs: number, resumeOffset = 0) {
    const waiting = makeWaitingTicket(makeTicket({ firstTokenMs: 2_000, maxWaitMs: 4_000, resumeOffset }), 0, 100);
    return policy.expectedLatenessMs(waiting, { now, waitMs, firstTokenMs: FIRST_TOKEN_MS }) > 0;
}

describe("LastMomentAdmission", () => {
    const policy = new LastMomentAdmission();

    describe("a new ticket", () => {
        it("may wait although its predicted wait misses the target", () => {
            // Summaries are refused for as long as a burst of sheets lasts, and half of them would have been served.
            // Cause: a mean over the last seconds taken for what will come.
            assert.equal(judge(policy, 0, 5_000), false);
            assert.equal(judge(new PredictedWaitAdmission(), 0, 5_000), true);
        });

        it("is refused at once when there is no hope", () => {
            assert.equal(judge(policy, 0, 8_001), true);
        });
    });

    describe("a ticket that waits", () => {
        it("is kept while a slot at this moment would do", () => {
            assert.equal(judge(policy, 1_800, 60_000), false);
        });

        it("is given up as soon as it would not", () => {
            assert.equal(judge(policy, 1_801, 0), true);
        });

        it("is never given up when its caller has part of the answer", () => {
            assert.equal(judge(policy, 3_900, 60_000, 12), false);
        });
    });
});
