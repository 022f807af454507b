import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { UpstreamRun } from "../../routedProcesses/index.js";
import { checkStops, EntryLife, Exchange, StopRecord } from "./index.js";

const STOPPED_AT = 100_000;
const LIMITS = { graceMs: 6_000, acceptMs: 2_000, readMs: 200, toleranceMs: 0 };
/** When the last sixth of the grace begins. */
const LAST_PART_AT = STOPPED_AT + 5_000;

/** Makes an exchange that the stop of its entry has cut, with some fields replaced. */
function makeCut(parts: Partial<Exchange> = {}): Exchange {
    return {
        request: "one",
        route: "drafts",
        entry: 0,
        beganAt: STOPPED_AT + 1_000,
        sentAt: STOPPED_AT + 1_000,
        status: 200,
        isRefused: false,
        events: [1, 2],
        expectedEvents: 3,
        endedAt: LAST_PART_AT + 500,
        end: "cut",
        ...parts,
    };
}

function makeWhole(parts: Partial<Exchange> = {}): Exchange {
    return makeCut({ end: "whole", events: [1, 2, 3], ...parts });
}

function makeRun(parts: Partial<UpstreamRun> = {}): UpstreamRun {
    return { request: "one", path: "/drafts/1", at: STOPPED_AT + 1_010, isWhole: false, upstream: "a", ...parts };
}

function makeLife(parts: Partial<EntryLife> = {}): EntryLife {
    return { entry: 0, startedAt: 0, stoppedAt: STOPPED_AT, exitedAt: LAST_PART_AT + 500, exit: 3, ...parts };
}

/** Returns the kinds of the faults of one exchange. */
function check(exchange: Exchange, runs: UpstreamRun[], parts: Partial<StopRecord> = {}): string[] {
    const faults = checkStops({
        exchanges: [exchange],
        runs,
        lives: [makeLife()],
        timeouts: new Map([["drafts", 15_000], ["orders", 15_000]]),
        onceRoutes: new Set(["orders"]),
        limits: LIMITS,
        ...parts,
    });
    return faults.map(({ kind }) => kind);
}

describe("checkStops", () => {
    describe("answers that are cut", () => {
        it("is a fault when the upstream had ended before the last sixth of the grace", () => {
            assert.deepEqual(check(makeCut(), [makeRun({ endedAt: LAST_PART_AT - 1 })]), ["cut"]);
        });

        it("is none when the upstream was at work in the last sixth on a request that came in time", () => {
            assert.deepEqual(check(makeCut(), [makeRun({ endedAt: LAST_PART_AT })]), []);
            assert.deepEqual(check(makeCut(), [makeRun()]), []);
        });

        it("is a fault when the request was taken after the time for which a stopping entry takes new ones", () => {
            const late = STOPPED_AT + LIMITS.acceptMs + 1;
            assert.deepEqual(check(makeCut({ beganAt: late, sentAt: late }), [makeRun({ at: late })]), ["cut"]);
        });

        it("counts the time for which new requests are taken from the moment that the process noticed the signal", () => {
            const late = STOPPED_AT + LIMITS.acceptMs + 300;
            const exchange = makeCut({ beganAt: late, sentAt: late });
            const noticing = (afterMs: number) => ({ lives: [makeLife({ noticedAt: STOPPED_AT + afterMs })] });
            assert.deepEqual(check(exchange, [makeRun()], noticing(300)), []);
            assert.deepEqual(check(exchange, [makeRun()], noticing(299)), ["cut"]);
        });

        it("allows for a machine that is late by the tolerance", () => {
            const limits = { ...LIMITS, toleranceMs: 500 };
            const late = STOPPED_AT + LIMITS.acceptMs + 500;
            assert.deepEqual(check(makeCut({ beganAt: late, sentAt: late }), [makeRun()], { limits }), []);
            assert.deepEqual(check(makeCut(), [makeRun({ endedAt: LAST_PART_AT - 501 })], { limits }), ["cut"]);
        });

        it("is a fault where nothing was stopped", () => {
            const lives = [makeLife({ stoppedAt: undefined, exitedAt: undefined })];
            assert.deepEqual(check(makeCut(), [makeRun()], { lives }), ["cut"]);
        });

        it("is none once the route's timeout was reached", () => {
            const timeouts = new Map([["drafts", 4_500]]);
            assert.deepEqual(check(makeCut(), [makeRun({ endedAt: LAST_PART_AT - 1 })], { timeouts }), []);
        });

        it("is none where the request crossed the close of the connection", () => {
            const sentAt = STOPPED_AT + 1_000;
            assert.deepEqual(check(makeCut({ sentAt, endedAt: sentAt + LIMITS.readMs }), []), []);
            assert.deepEqual(check(makeCut({ sentAt, endedAt: sentAt + LIMITS.readMs + 1 }), []), ["cut"]);
        });

        it("is none where the request was not sent whole", () => {
            assert.deepEqual(check(makeCut({ sentAt: undefined }), []), []);
        });

        it("is none where the caller itself read the rest only in the last sixth", () => {
            const run = makeRun({ endedAt: STOPPED_AT + 1_500 });
            assert.deepEqual(check(makeCut({ readAgainAt: LAST_PART_AT }), [run]), []);
            assert.deepEqual(check(makeCut({ readAgainAt: LAST_PART_AT - 1 }), [run]), ["cut"]);
        });

        it("judges by the process that took the request, not by its predecessor", () => {
            const predecessor = makeLife({ startedAt: 0, stoppedAt: 1_000, exitedAt: 2_000 });
            const lives = [predecessor, makeLife({ startedAt: 2_000 })];
            assert.deepEqual(check(makeCut(), [makeRun()], { lives }), []);
        });
    });

    it("finds a caller that got no end at all", () => {
        assert.deepEqual(check(makeCut({ end: "unanswered" }), []), ["unanswered"]);
    });

    describe("events", () => {
        it("accepts a whole stream", () => {
            assert.deepEqual(check(makeWhole(), [makeRun()]), []);
        });

        it("finds events that are missing, come twice, or are not there at a complete end", () => {
            assert.deepEqual(check(makeWhole({ events: [1, 3] }), [makeRun()]), ["wrong-events"]);
            assert.deepEqual(check(makeWhole({ events: [1, 2, 2, 3] }), [makeRun()]), ["wrong-events"]);
            assert.deepEqual(check(makeWhole({ events: [1, 2] }), [makeRun()]), ["wrong-events"]);
        });

        it("accepts an error answer without events", () => {
            assert.deepEqual(check(makeWhole({ status: 503, events: [] }), []), []);
        });
    });

    describe("runs", () => {
        it("finds a call that must not be repeated and ran twice", () => {
            const runs = [makeRun(), makeRun({ upstream: "b" })];
            assert.deepEqual(check(makeWhole(), runs), []);
            assert.deepEqual(check(makeWhole({ route: "orders" }), runs), ["ran-twice"]);
        });

        it("finds a refusal as not run of a call that has run", () => {
            const refusal = makeWhole({ status: 503, events: [], isRefused: true });
            assert.deepEqual(check(refusal, []), []);
            assert.deepEqual(check(refusal, [makeRun()]), ["untrue-refusal"]);
        });
    });

    it("finds a process that ended without SIGTERM", () => {
        const lives = [makeLife({ stoppedAt: undefined, exit: "SIGHUP" })];
        assert.deepEqual(check(makeWhole(), [makeRun()], { lives }), ["process-ended"]);
    });

    it("finds a process that had to be killed when its grace was over", () => {
        const lives = [makeLife({ exit: "SIGKILL" })];
        assert.deepEqual(check(makeWhole(), [makeRun()], { lives }), ["late-exit"]);
    });
});
