import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ServedStream } from "../drawGarbledReply/index.js";
import { listEventLines, STREAM_SHAPES } from "../streamShapes/index.js";
import { STREAM_STYLES } from "../streamStyles/index.js";
import { checkGarbledStreams, GarbledRecord, StreamExchange, tallyContinuations } from "./index.js";

const STREAM = { run: "a", total: 3, from: 1, isResumable: false, style: STREAM_STYLES[0] };
const EXCHANGE: StreamExchange = {
    ...STREAM,
    request: "a-1",
    route: "letters",
    entry: 0,
    sentAt: 0,
    status: 200,
    body: format(1, 2, 3),
    end: "whole",
};
const SERVED: ServedStream = {
    ...STREAM,
    request: "a-1",
    upstream: "u",
    shape: STREAM_SHAPES[0],
    framing: "chunked",
    at: 1,
};
const FAULTY_SHAPE = STREAM_SHAPES.find(({ isFaulty, isBehindLastEvent }) => isFaulty && !isBehindLastEvent)!;

function format(...numbers: readonly number[]): string {
    return numbers.map(number => `${listEventLines(STREAM, number).join("\n")}\n\n`).join("");
}

function makeRecord(exchange: Partial<StreamExchange>, parts: Partial<GarbledRecord> = {}): GarbledRecord {
    const runs = [{ id: "a-1", upstream: "u", at: 0 }];
    return { runs, exchanges: [{ ...EXCHANGE, ...exchange }], served: [SERVED], endedEntries: [], ...parts };
}

function check(exchange: Partial<StreamExchange>, parts: Partial<GarbledRecord> = {}): string[] {
    return checkGarbledStreams(makeRecord(exchange, parts)).map(({ kind }) => kind);
}

describe("checkGarbledStreams", () => {
    it("finds no fault in streams that are right, whatever their line ends, comments and byte-order mark", () => {
        const { body } = EXCHANGE;
        const bodies = [body.replaceAll("\n", "\r\n"), body.replaceAll("\n", "\r"), `: note\n\n${body}`];
        for (const each of [body, `\xef\xbb\xbf${body}`, ...bodies]) assert.deepEqual(check({ body: each }), []);
    });

    it("finds no fault in streams that break off, are taken up, or get an error", () => {
        assert.deepEqual(check({ body: `${format(1)}id: 2\nda`, end: "cut" }), []);
        assert.deepEqual(check({ body: format(2, 3), from: 2 }), []);
        assert.deepEqual(check({ body: "an error", status: 502 }), []);
    });

    it("finds pieces that no run made, that come twice, and that are missing", () => {
        assert.deepEqual(check({ body: `${format(1)}garbage\n\n`, end: "cut" }), ["foreign-piece"]);
        assert.deepEqual(check({ body: `${format(1, 2, 3)}garbage\n\n` }), ["foreign-piece"]);
        assert.deepEqual(check({ body: format(1, 1, 2, 3) }), ["repeated-piece"]);
        assert.deepEqual(check({ body: format(1, 3) }), ["missing-piece"]);
        assert.deepEqual(check({ body: format(1, 2, 3), from: 2 }), ["repeated-piece"]);
        assert.deepEqual(check({ body: `${format(1)}\xef\xbb\xbf${format(2, 3)}` }), ["foreign-piece"]);
    });

    it("finds ends that look complete before the last event, or within one", () => {
        assert.deepEqual(check({ body: format(1, 2) }), ["untrue-end"]);
        assert.deepEqual(check({ body: "" }), ["untrue-end"]);
        assert.deepEqual(check({ body: `${format(1, 2, 3)}garbage` }), ["untrue-end"]);
    });

    it("finds spoilt streams that end as complete, but only where they can't go on elsewhere", () => {
        const served = [{ ...SERVED, shape: FAULTY_SHAPE }];
        assert.deepEqual(check({}, { served }), ["not-broken-off"]);
        assert.deepEqual(check({ isResumable: true }, { served }), []);
        assert.deepEqual(check({ body: format(1), end: "cut" }, { served }), []);
    });

    it("finds runs that came twice, requests without an end, and processes that ended", () => {
        const run = { id: "a-1", upstream: "u", at: 0 };
        assert.deepEqual(check({}, { runs: [run, run] }), ["ran-twice"]);
        assert.deepEqual(check({ end: "unanswered" }), ["unanswered"]);
        assert.deepEqual(check({}, { endedEntries: [2] }), ["process-ended"]);
    });
});

describe("tallyContinuations", () => {
    it("counts spoilt streams that may be resumed, and those of them that are complete and right", () => {
        const served = [{ ...SERVED, shape: FAULTY_SHAPE }];
        const tally = (exchange: Partial<StreamExchange>) => tallyContinuations(makeRecord(exchange, { served }));
        assert.deepEqual(tally({ isResumable: true }), { spoilt: 1, continued: 1 });
        assert.deepEqual(tally({ isResumable: true, body: format(1), end: "cut" }), { spoilt: 1, continued: 0 });
        assert.deepEqual(tally({ isResumable: true, body: format(1, 1, 2, 3) }), { spoilt: 1, continued: 0 });
        assert.deepEqual(tally({}), { spoilt: 0, continued: 0 });
    });

    it("leaves out streams that are spoilt behind their last event", () => {
        const served = [{ ...SERVED, shape: { ...FAULTY_SHAPE, isBehindLastEvent: true } }];
        assert.deepEqual(tallyContinuations(makeRecord({ isResumable: true }, { served })), {
            spoilt: 0,
            continued: 0,
        });
    });
});
