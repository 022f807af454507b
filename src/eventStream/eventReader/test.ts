import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EventSequence } from "../eventSequence/index.js";
import { EventReader } from "./index.js";

const SEED = 64;
const RULES = { mayOmitIds: false, maxDataLines: 1 };

function event(id: number): string {
    return `id: ${id}\ndata: event ${id}\n\n`;
}

function makeReader(): EventReader {
    return new EventReader(new EventSequence(RULES, undefined));
}

describe("EventReader", () => {
    it("returns the events without the comments among them", () => {
        const { bytes, count, lastId, error } = makeReader().push(Buffer.from(`${event(1)}: note\n\n${event(2)}`));
        assert.deepEqual([String(bytes), count, lastId, error], [event(1) + event(2), 2, 2, undefined]);
    });

    it("returns the events before a fault, and nothing behind it", () => {
        // Failure: what follows garbage is forwarded as if nothing were missing.
        const { bytes, lastId, error } = makeReader().push(Buffer.from(`${event(1)}garbage\n\n${event(2)}`));
        assert.deepEqual([String(bytes), lastId, error?.kind], [event(1), 1, "malformed"]);
    });

    it("returns a prefix of the true events, whatever stands in place of the others", () => {
        // Failure: bytes that no run made reach the caller.
        const spoilt = fc.array(fc.oneof(fc.nat(5).map(id => event(id)), fc.string(), fc.constant("\n\n")));
        fc.assert(
            fc.property(fc.nat(4), spoilt, fc.nat(200), (good, rest, cut) => {
                const truth = Array.from({ length: good }, (_, index) => event(index + 1)).join("");
                const sent = Buffer.from(truth + rest.join(""));
                const reader = makeReader();
                const first = reader.push(sent.subarray(0, cut));
                const second = first.error ? undefined : reader.push(sent.subarray(cut));
                const read = String(first.bytes) + String(second?.bytes ?? "");
                const expected = Array.from({ length: 9 }, (_, index) => event(index + 1)).join("");
                return expected.startsWith(read) && read.length >= truth.length;
            }),
            { seed: SEED, numRuns: 2_000 },
        );
    });
});
