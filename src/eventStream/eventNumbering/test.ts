import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EventId } from "../../ids/index.js";
import { NumberingHistory } from "../numberingHistory/index.js";
import { EventNumbering } from "./index.js";

const SEED = 73;

function judgeAll(ids: readonly number[], numbering = new EventNumbering(undefined)): string[] {
    return ids.map(id => numbering.judge(id as EventId));
}

/** Returns the ids that reach a caller: those up to the last proven one before a rejected one. */
function passed(ids: readonly number[], numbering: EventNumbering): number[] {
    const out: number[] = [];
    const waiting: number[] = [];
    for (const id of ids) {
        const verdict = numbering.judge(id as EventId);
        if (verdict === "repeated" || verdict === "skipped") break;
        waiting.push(id);
        if (verdict === "next") out.push(...waiting.splice(0));
    }
    return out;
}

describe("EventNumbering", () => {
    describe("streams that prove themselves", () => {
        const streams: readonly (readonly [string, readonly number[], readonly string[]])[] = [
            ["from 1", [1, 2, 3], ["next", "next", "next"]],
            ["from 0", [0, 1, 2], ["next", "next", "next"]],
            ["far above the number of events", [1_000, 1_001], ["next", "next"]],
            ["by their own beginning", [4, 8, 12], ["unproven", "next", "next"]],
            ["from 1 by 4", [1, 5, 9, 13], ["next", "unproven", "next", "next"]],
            ["from 1,000 by 10", [1_000, 1_010, 1_020], ["next", "unproven", "next"]],
        ];
        for (const [name, ids, verdicts] of streams) {
            it(`are accepted ${name}`, () => assert.deepEqual(judgeAll(ids), verdicts));
        }
    });

    describe("events that are missing or come again", () => {
        // Failure: the caller gets a stream with a piece too few or too many.
        const streams: readonly (readonly [string, readonly number[], readonly string[]])[] = [
            ["the first", [2, 3, 4], ["unproven", "unproven", "skipped"]],
            ["the first, by 4", [8, 12, 16], ["unproven", "unproven", "skipped"]],
            ["the second", [1, 3, 4], ["next", "unproven", "skipped"]],
            ["the third", [1, 2, 4], ["next", "next", "skipped"]],
            ["a later one, by 4", [4, 8, 16], ["unproven", "next", "skipped"]],
            ["one behind a step that is not proved", [1, 5, 13], ["next", "unproven", "skipped"]],
            ["the first again", [1, 1], ["next", "repeated"]],
            ["an unproven one again", [2, 2], ["unproven", "repeated"]],
            ["an earlier one", [4, 8, 4], ["unproven", "next", "repeated"]],
        ];
        for (const [name, ids, verdicts] of streams) {
            it(`are found: ${name}`, () => assert.deepEqual(judgeAll(ids), verdicts));
        }

        it("are found in each stream whose numbering is known, whichever it is", () => {
            const numberings = fc.tuple(fc.constantFrom(0, 1, 4, 1_000), fc.constantFrom(1, 4, 10));
            fc.assert(
                fc.property(numberings, fc.integer({ min: 2, max: 9 }), fc.nat(9), ([first, step], kept, behind) => {
                    const history = new NumberingHistory();
                    Object.assign(history.observe(), { first, step });
                    const whole = Array.from({ length: kept }, (_, index) => first + index * step);
                    const spoilt = [...whole, first + (kept + 1 + behind) * step];
                    const ids = passed(spoilt, new EventNumbering(undefined, { history }));
                    return ids.join() === whole.join();
                }),
                { seed: SEED, numRuns: 500 },
            );
        });
    });

    describe("the rest of a stream", () => {
        it("goes on by the step of its beginning", () => {
            const rest = (id: number): string[] => judgeAll([id], new EventNumbering(8 as EventId, { step: 4 }));
            assert.deepEqual([rest(12), rest(9), rest(16), rest(8)], [["next"], ["skipped"], ["skipped"], [
                "repeated",
            ]]);
        });

        it("proves its step by its own events where it is not known", () => {
            const rest = (): EventNumbering => new EventNumbering(8 as EventId);
            assert.deepEqual(judgeAll([9, 10], rest()), ["next", "next"]);
            assert.deepEqual(judgeAll([12, 16], rest()), ["unproven", "next"]);
            assert.deepEqual(judgeAll([12, 13], rest()), ["unproven", "skipped"]);
        });
    });

    describe("pools with a numbering of their own", () => {
        const play = (history: NumberingHistory, ids: readonly number[]): string[] =>
            judgeAll(ids, new EventNumbering(undefined, { history }));

        it("are accepted without a wait once their streams have shown it", () => {
            const history = new NumberingHistory();
            play(history, [4, 8, 12]);
            assert.deepEqual(play(history, [4, 8]), ["next", "next"]);
            assert.deepEqual(judgeAll([12], new EventNumbering(8 as EventId, { history })), ["next"]);
        });

        it("are accepted where a stream has been rejected for it, and most do the same", () => {
            // Failure: no stream of a pool that counts from 7, or in uneven steps, ever reaches its caller.
            const beginning = new NumberingHistory();
            assert.deepEqual(play(beginning, [7, 8, 9]), ["unproven", "unproven", "skipped"]);
            assert.deepEqual(play(beginning, [7, 8, 9]), ["next", "next", "next"]);
            const uneven = new NumberingHistory();
            assert.deepEqual(play(uneven, [3, 7, 8]), ["unproven", "unproven", "skipped"]);
            assert.deepEqual(play(uneven, [2, 9, 11, 30]), ["next", "next", "next", "next"]);
        });

        it("still have no event twice", () => {
            const history = new NumberingHistory();
            play(history, [3, 7, 8]);
            assert.deepEqual(play(history, [2, 9, 9]), ["next", "next", "repeated"]);
        });

        it("are not those of a few streams that lack an event", () => {
            // Failure: damage counts as the numbering of its pool.
            const history = new NumberingHistory();
            for (const ids of [[1, 2, 3], [2, 3, 4], [1, 2, 3], [1, 2, 4]]) play(history, ids);
            assert.deepEqual(play(history, [2, 3, 4]), ["unproven", "unproven", "skipped"]);
            assert.deepEqual(play(history, [1, 2, 4]), ["next", "next", "skipped"]);
        });
    });
});
