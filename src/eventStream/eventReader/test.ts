import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EventId } from "../../ids/index.js";
import { EventSequence } from "../eventSequence/index.js";
import { EventReader } from "./index.js";

const SEED = 64;
const RULES = { mayOmitIds: false };

function event(id: number): string {
    return `id: ${id}\ndata: event ${id}\n\n`;
}

/** Leaves out comments, and empty lines behind the one that ends an event. */
function dropPadding(text: string): string {
    return text.replace(/^:.*\n/gm, "").replace(/\n{3,}/g, "\n\n").replace(/^\n+/, "");
}

function makeReader(): EventReader {
    return new EventReader(new EventSequence(RULES, undefined), false);
}

describe("EventReader", () => {
    it("returns the events with the comments among them", () => {
        const sent = `${event(1)}: note\n\n${event(2)}`;
        const { bytes, count, lastId, error } = makeReader().push(Buffer.from(sent));
        assert.deepEqual([String(bytes), count, lastId, error], [sent, 2, 2, undefined]);
    });

    describe("bytes that are part of no event", () => {
        const push = (reader: EventReader, text: string): [string, number] => {
            const { bytes, count } = reader.push(Buffer.from(text));
            return [String(bytes), count];
        };

        it("wait for the first event, and pass at once behind it", () => {
            const reader = makeReader();
            assert.deepEqual(push(reader, "\uFEFF: wait\n\n"), ["", 0]);
            assert.deepEqual(push(reader, event(1)), [`\uFEFF: wait\n\n${event(1)}`, 1]);
            assert.deepEqual(push(reader, ": alive\n"), [": alive\n", 0]);
            assert.deepEqual(push(reader, "\n\n"), ["\n\n", 0]);
        });

        it("pass without a byte-order mark in the rest of a stream", () => {
            // Failure: the mark becomes part of a line within the caller's stream.
            const reader = new EventReader(new EventSequence(RULES, 1 as EventId), true);
            assert.deepEqual(push(reader, `\uFEFF: wait\n${event(2)}`), [`: wait\n${event(2)}`, 1]);
        });

        it("are not collected without a limit", () => {
            // Failure: memory grows for as long as an upstream sends comments and no event.
            const reader = makeReader();
            const chunk = Buffer.from(": wait\n".repeat(8 * 1024));
            let sentBytes = 0;
            while (sentBytes < 64 * 1024 * 1024 && !reader.push(chunk).error) sentBytes += chunk.length;
            assert.ok(sentBytes <= 2 * 1024 * 1024 + chunk.length, `${sentBytes} bytes`);
        });

        it("are malformed where they are not UTF-8", () => {
            const { error } = makeReader().push(Buffer.from(": \xff\xfe\n", "latin1"));
            assert.equal(error?.kind, "malformed");
        });
    });

    describe("an event with the id of the next one in it", () => {
        const merged = "id: 2\ndata: haid: 3\ndata: event 3\n\n";

        it("waits until the next event proves that it is one", () => {
            const reader = makeReader();
            assert.equal(reader.push(Buffer.from(event(1) + merged)).count, 1);
            assert.equal(reader.push(Buffer.from(": alive\n")).bytes.length, 0);
            const { bytes, count, lastId } = reader.push(Buffer.from(event(3)));
            assert.deepEqual([String(bytes), count, lastId], [`${merged}: alive\n${event(3)}`, 2, 3]);
        });

        it("is left out where the next event shows that it is two", () => {
            // Failure: two events of which the first lacks its end reach the caller as one.
            const { bytes, error } = makeReader().push(Buffer.from(event(1) + merged + event(4)));
            assert.deepEqual([String(bytes), error?.kind], [event(1), "skipped"]);
        });
    });

    describe("the end of a stream", () => {
        const endOf = (text: string): string => {
            const reader = makeReader();
            reader.push(Buffer.from(text));
            return reader.end().map(String).mapLeft(({ kind }): string => kind).extract();
        };

        it("returns the bytes that waited", () => {
            assert.equal(endOf(": end\n"), ": end\n");
            assert.equal(endOf(`${event(1)}: end\n`), "");
        });

        it("is none behind an event with the id of the next one in it", () => {
            // Failure: the last two events reach the caller as one, since the first lacks its end.
            assert.equal(endOf(`${event(1)}id: 2\ndata: haid: 3\ndata: event 3\n\n`), "unproven");
        });

        it("is none within an event, or within a comment", () => {
            for (const part of ["id: 2\nda", "id: 2\ndata: x\n", ": en"]) {
                assert.equal(endOf(event(1) + part), "partial");
            }
        });
    });

    it("returns the events before a fault, and nothing behind it", () => {
        // Failure: what follows garbage is forwarded as if nothing were missing.
        const { bytes, lastId, error } = makeReader().push(Buffer.from(`${event(1)}garbage\n\n${event(2)}`));
        assert.deepEqual([String(bytes), lastId, error?.kind], [event(1), 1, "malformed"]);
    });

    it("returns true events in equal steps, whatever stands in place of the others", () => {
        // Failure: bytes that no run made reach the caller.
        const spoilt = fc.array(fc.oneof(fc.nat(5).map(id => event(id)), fc.string(), fc.constant("\n\n")));
        fc.assert(
            fc.property(fc.nat(4), spoilt, fc.nat(200), (good, rest, cut) => {
                const truth = Array.from({ length: good }, (_, index) => event(index + 1)).join("");
                const sent = Buffer.from(truth + rest.join(""));
                const reader = makeReader();
                const first = reader.push(sent.subarray(0, cut));
                const second = first.error ? undefined : reader.push(sent.subarray(cut));
                const read = dropPadding(String(first.bytes) + String(second?.bytes ?? ""));
                const ids = [...read.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
                const step = good >= 2 ? 1 : ids[1] - ids[0];
                const isEven = ids.every((id, index) => index === 0 || id - ids[index - 1] === step);
                return read.startsWith(truth) && read === ids.map(event).join("") && isEven
                    && !(ids[0] > 1 && ids[0] !== step);
            }),
            { seed: SEED, numRuns: 2_000 },
        );
    });
});
