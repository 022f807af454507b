import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RefusalReason } from "../../dispatch/index.js";
import { promisesNotRun } from "../../execution/index.js";
import { RequestId } from "../../ids/index.js";
import { Outcome } from "../../protocol/index.js";
import { makeCancelError, makeQuarantineError } from "../requestErrors/index.js";
import { toRefusalError } from "../toRefusalError/index.js";
import { CallerError } from "./index.js";

const REQUEST = "r" as RequestId;
const REASONS: readonly RefusalReason[] = ["no-upstream", "over-capacity", "shed", "wait-expired", "over-limit"];

function listErrors(outcome: Outcome): CallerError[] {
    return [
        ...REASONS.map(reason => toRefusalError({ reason, detail: "", request: REQUEST, retryAfterMs: 100 }, outcome)),
        makeCancelError("stopping", outcome),
        makeCancelError("caller-gone", outcome),
        makeQuarantineError(100, outcome),
    ];
}

describe("CallerError", () => {
    it("has no status that promises that a request has not run, where it may have", () => {
        // A caller would send a request again that must not run twice.
        for (const outcome of ["partly-run", "unknown"] as const) {
            for (const err of listErrors(outcome)) {
                assert.ok(!promisesNotRun(err.status), `${err.type} ${outcome}: ${err.status}`);
                assert.equal(err.outcome, outcome);
            }
        }
    });

    it("keeps its status where the request has not run", () => {
        for (const err of listErrors("not-run")) assert.ok(promisesNotRun(err.status), `${err.type}: ${err.status}`);
    });
});
