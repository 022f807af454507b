import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EventId } from "../../ids/index.js";
import { EventSequence, parseEventId } from "./index.js";

const NUMBERED = { mayOmitIds: false };
const ANY = { mayOmitIds: true };

function judgeAll(sequence: EventSequence, blocks: readonly string[]): string[] {
    return blocks.map(block =>
        sequence.judge(Buffer.from(block)).map(({ kind }): string => kind).mapLeft(({ kind }) => kind).extract()
    );
}

function event(id: number | string): string {
    return `id: ${id}\ndata: x\n\n`;
}

describe("EventSequence", () => {
    describe("events with ids", () => {
        it("accepts consecutive ids, with comments between them", () => {
            const sequence = new EventSequence(NUMBERED, undefined);
            const blocks = [event(1), ": note\n\n", event(2), event(3)];
            assert.deepEqual(judgeAll(sequence, blocks), ["next", "comment", "next", "next"]);
        });

        it("goes on behind the last event of an earlier answer", () => {
            const sequence = new EventSequence(NUMBERED, 7 as EventId);
            assert.deepEqual(judgeAll(sequence, [event(8), event(9)]), ["next", "next"]);
        });

        const faults: readonly [string, string, string][] = [
            ["an event without an id", "data: x\n\n", "no-id"],
            ["an empty id", event(""), "bad-id"],
            ["an id that is no number", event("7f"), "bad-id"],
            ["an id with a leading zero", event("03"), "bad-id"],
            ["an id that is not exact as a number", event("9".repeat(17)), "bad-id"],
            ["the last event once more", event(2), "repeated"],
            ["the first event once more", event(1), "repeated"],
            ["a later event", event(4), "skipped"],
            ["an id in front of another one", "id: 3id: 4\ndata: x\n\n", "bad-id"],
            ["half an event in front of itself", "id: 3\ndata: haid: 3\ndata: x\n\n", "malformed"],
        ];
        for (const [name, block, kind] of faults) {
            it(`rejects ${name}, and still expects the next one`, () => {
                // Failure: a piece is missing, comes twice, or is no piece of the run.
                const sequence = new EventSequence(NUMBERED, undefined);
                const kinds = judgeAll(sequence, [event(1), event(2), block, event(3)]);
                assert.deepEqual(kinds, ["next", "next", kind, "next"]);
            });
        }

        it("rejects a stream that begins anew where its rest is due", () => {
            // Failure: an upstream that ignores the last event's id repeats the stream from its beginning.
            assert.deepEqual(judgeAll(new EventSequence(ANY, 7 as EventId), [event(1)]), ["repeated"]);
        });
    });

    describe("events with the id of the next one in them", () => {
        const merged = "id: 2\ndata: haid: 3\ndata: x\n\n";

        it("are proved by the next event", () => {
            const sequence = new EventSequence(NUMBERED, undefined);
            assert.deepEqual(judgeAll(sequence, [event(1), merged, event(3)]), ["next", "unproven", "next"]);
            assert.equal(sequence.findEndError(), undefined);
        });

        it("are two events where another one follows", () => {
            // Failure: an event that lost its end reaches the caller, with the next one as its text.
            const sequence = new EventSequence(NUMBERED, undefined);
            assert.deepEqual(judgeAll(sequence, [event(1), merged, event(4)]), ["next", "unproven", "skipped"]);
        });

        it("do not end a stream", () => {
            const sequence = new EventSequence(NUMBERED, undefined);
            judgeAll(sequence, [event(1), merged]);
            assert.equal(sequence.findEndError()?.kind, "unproven");
        });
    });

    describe("events without ids", () => {
        it("accepts them where the rules allow it, and no ids among them", () => {
            const sequence = new EventSequence(ANY, undefined);
            assert.deepEqual(judgeAll(sequence, ["data: x\n\n", "data: y\n\n", event(1)]), ["next", "next", "mixed"]);
        });

        it("rejects them behind events with ids", () => {
            const sequence = new EventSequence(ANY, undefined);
            assert.deepEqual(judgeAll(sequence, [event(1), "data: y\n\n"]), ["next", "no-id"]);
        });
    });
});

describe("parseEventId", () => {
    it("accepts whole numbers alone", () => {
        for (const id of [0, 1, 12]) assert.equal(parseEventId(String(id)), id);
        for (const text of ["", "00", "-1", "1.0", " 1", "1e3", "x"]) assert.equal(parseEventId(text), undefined);
    });
});
