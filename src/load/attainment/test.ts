import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SeededRandom } from "../../ports/index.js";
import { RequestResult } from "../outcome/index.js";
import { recordTrace } from "../recordTrace/index.js";
import { formatReport } from "../report/index.js";
import { UTILITY_MORNING } from "../utilityPlan/index.js";
import { summarizeReplay } from "./index.js";

const TRACE = recordTrace(UTILITY_MORNING, new SeededRandom(1));
const GOOD: RequestResult = {
    workspace: "care-homes",
    className: "sheets",
    kind: "chat",
    isStreamed: true,
    verdict: "answered",
    attempts: 1,
    firstTokenMs: 1_000,
    tokenMs: 40,
    longestGapMs: 60,
    totalMs: 5_000,
    tokens: 100,
};

describe("summarizeReplay", () => {
    it("counts as attained what came whole, and within both targets", () => {
        const report = summarizeReplay(TRACE, [
            GOOD,
            { ...GOOD, firstTokenMs: 2_001 },
            { ...GOOD, tokenMs: 81 },
            { ...GOOD, verdict: "refused", firstTokenMs: undefined },
        ], 10_000);
        assert.equal(report.classes[0].attainment, 0.25);
        assert.equal(report.goodputTokens, 10);
    });

    it("gives an answer in one body the time that a stream within target would take", () => {
        const whole = { ...GOOD, isStreamed: false, tokenMs: undefined };
        const bound = 2_000 + 99 * 80;
        const report = summarizeReplay(TRACE, [
            { ...whole, firstTokenMs: bound },
            { ...whole, firstTokenMs: bound + 1 },
        ], 1_000);
        assert.equal(report.classes[0].attainment, 0.5);
    });

    it("leaves out those whose callers went away", () => {
        const report = summarizeReplay(TRACE, [GOOD, { ...GOOD, verdict: "left" }], 1_000);
        assert.equal(report.classes[0].attainment, 1);
    });

    it("says which of the trace's bounds were missed, for classes and for the worst workspace", () => {
        const lost: RequestResult = { ...GOOD, workspace: "smokehouse-hafnir", verdict: "lost", reason: "cut" };
        const report = summarizeReplay(TRACE, [GOOD, lost], 1_000);
        assert.deepEqual(report.missed, [
            "lost 1, at most 0",
            "class sheets: attainment 0.500, at least 0.95",
            "workspace smokehouse-hafnir: attainment 0.000, at least 0.5",
        ]);
        assert.match(formatReport(report), /MISSED lost 1/);
    });
});
