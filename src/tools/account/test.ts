import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { formatCallTable, parseCalls, plotCalls, summarizeCalls } from "./index.js";

const START = Date.parse("2026-01-06T05:00:00.000Z");

function makeLine(startMs: number, parts: Record<string, unknown> = {}): string {
    const ms = 400;
    const line = {
        time: new Date(START + startMs + ms).toISOString(),
        event: "call-ended",
        request: "r1",
        route: "briefs",
        outcome: "answered",
        ms,
        firstMs: 100,
        gapMs: 80,
        events: 20,
        targetMs: 1_200,
        gapBoundMs: 250,
        upstream: "u1",
        waitedMs: 1,
        reason: "weight 75 ms, backlog 0 ms, 148 of 662 tokens held, 4 running",
        ...parts,
    };
    return JSON.stringify(line);
}

describe("account", () => {
    it("counts late first bytes, long pauses and unanswered calls separately", () => {
        // The logs alone must tell which kind of failure the callers saw within a short period.
        const calls = parseCalls([
            makeLine(100),
            makeLine(200, { gapMs: 300 }),
            makeLine(300, { firstMs: 1_500 }),
            makeLine(400, { outcome: "upstream-lost", firstMs: undefined, upstream: "u2" }),
            makeLine(2_100, { route: "look-ups" }),
        ]);
        const [first, second] = summarizeCalls(calls, 2_000);
        const { onTime, lateFirstBytes, longPauses, upstreams } = first;
        assert.deepEqual([first.calls, onTime, lateFirstBytes, longPauses, upstreams], [4, 1, 1, 1, 2]);
        assert.deepEqual([...first.unanswered], [["upstream-lost", 1]]);
        assert.deepEqual([second.route, second.windowStartMs - first.windowStartMs], ["look-ups", 2_000]);
    });

    it("parses the upstream choice from the reason, and skips lines that are not ended calls", () => {
        const calls = parseCalls([
            "12.5 host-1 " + makeLine(0),
            "{\"event\":\"started\"}",
            "not JSON",
            makeLine(0).slice(0, 60),
        ]);
        assert.deepEqual(
            calls.map(({ cachedTokens, promptTokens, running }) => [cachedTokens, promptTokens, running]),
            [[
                148,
                662,
                4,
            ]],
        );
    });

    it("writes a table and a plot with each route", () => {
        const sums = summarizeCalls(parseCalls([makeLine(0), makeLine(2_000, { route: "a<b" })]), 2_000);
        assert.equal(formatCallTable(sums).split("\n").length, 3);
        const svg = plotCalls(sums, 2_000);
        assert.match(svg, /briefs, at most 1 calls/);
        assert.doesNotMatch(svg, /a<b/);
    });
});
