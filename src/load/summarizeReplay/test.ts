import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SeededRandom } from "../../ports/index.js";
import { formatReport } from "../formatReport/index.js";
import { generateTrace } from "../generateTrace/index.js";
import { RequestResult } from "../requestResult/index.js";
import { UTILITY_MORNING } from "../utilityPlan/index.js";
import { summarizeReplay } from "./index.js";

const TRACE = generateTrace(UTILITY_MORNING, new SeededRandom(1));
const ATTAINED: RequestResult = {
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
    it("counts a stream as attained when it is complete and within both targets", () => {
        const report = summarizeReplay(TRACE, [
            ATTAINED,
            { ...ATTAINED, firstTokenMs: 2_001 },
            { ...ATTAINED, tokenMs: 81 },
            { ...ATTAINED, verdict: "refused", firstTokenMs: undefined },
        ], 10_000);
        assert.equal(report.classes[0].attainment, 0.25);
        assert.equal(report.goodputTokens, 10);
    });

    it("allows a non-streamed answer the time of a stream that just meets both targets", () => {
        const whole = { ...ATTAINED, isStreamed: false, tokenMs: undefined };
        const bound = 2_000 + 99 * 80;
        const report = summarizeReplay(TRACE, [
            { ...whole, firstTokenMs: bound },
            { ...whole, firstTokenMs: bound + 1 },
        ], 1_000);
        assert.equal(report.classes[0].attainment, 0.5);
    });

    it("excludes requests whose callers left from attainment", () => {
        const report = summarizeReplay(TRACE, [ATTAINED, { ...ATTAINED, verdict: "left" }], 1_000);
        assert.equal(report.classes[0].attainment, 1);
    });

    it("lists the missed bounds of the trace, for classes and for the worst workspace", () => {
        const lost: RequestResult = { ...ATTAINED, workspace: "smokehouse-hafnir", verdict: "lost", reason: "cut" };
        const report = summarizeReplay(TRACE, [ATTAINED, lost], 1_000);
        assert.deepEqual(report.missed, [
            "lost 1, at most 0",
            "class sheets: attainment 0.500, at least 0.95",
            "workspace smokehouse-hafnir: attainment 0.000, at least 0.5",
        ]);
        assert.match(formatReport(report), /MISSED lost 1/);
    });
});
