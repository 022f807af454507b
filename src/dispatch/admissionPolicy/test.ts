import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { makeTicket } from "../_lib/fixtures.js";
import { makeWaitingTicket } from "../waitingTicket/index.js";
import { DeadlineAdmission, PredictedWaitAdmission } from "./index.js";

const FIRST_TOKEN_MS = 200;

/** Returns whether a ticket is refused that arrived at 0 with a target of 2 s and a maximum wait of 4 s. */
function judge(policy: DeadlineAdmission | PredictedWaitAdmission, now: number, waitMs: number, resumeOffset = 0) {
    const waiting = makeWaitingTicket(makeTicket({ firstTokenMs: 2_000, maxWaitMs: 4_000, resumeOffset }), 0, 100);
    return policy.expectedLatenessMs(waiting, { now, waitMs, firstTokenMs: FIRST_TOKEN_MS }) > 0;
}

describe("DeadlineAdmission", () => {
    const policy = new DeadlineAdmission();

    describe("a new ticket", () => {
        it("may wait although its predicted wait misses the target", () => {
            // If a mean over the last seconds is used as a forecast, a low tier is refused for as long as a burst of a
            // higher one lasts, although half of it would have been served.
            assert.equal(judge(policy, 0, 5_000), false);
            assert.equal(judge(new PredictedWaitAdmission(), 0, 5_000), true);
        });

        it("is refused at once when its predicted wait is far beyond its maximum", () => {
            assert.equal(judge(policy, 0, 8_001), true);
        });
    });

    describe("a ticket that waits", () => {
        it("is kept while a slot granted now would be in time", () => {
            assert.equal(judge(policy, 1_800, 60_000), false);
        });

        it("is refused as soon as it would not", () => {
            assert.equal(judge(policy, 1_801, 0), true);
        });

        it("is never refused when its caller has part of the answer", () => {
            assert.equal(judge(policy, 3_900, 60_000, 12), false);
        });
    });
});
