import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { InvariantError } from "../recordingStateMachine/index.js";
import { StreamOutcome, StreamTry } from "../streamCaller/index.js";
import { checkRefusals, checkStream, tallyResumptions } from "./index.js";

/** Makes a stream of one event for each item, each of its own try; an item is an id and a version, or empty. */
function makeStream(...items: readonly string[]): StreamOutcome {
    const tries = items.map((item, number): StreamTry => {
        const [id, software] = item.split(":");
        const events = item ? [{ id: Number(id), software }] : [];
        const status = item ? 200 : 503;
        const isResumption = number > 0;
        return { request: `r${number}`, entry: 0, sentAt: 100 * number, status, isWhole: true, isResumption, events };
    });
    return { tries, events: tries.flatMap(({ events }) => events), isWhole: tries.at(-1)!.status === 200 };
}

describe("checkStream", () => {
    it("accepts a whole stream of one version", () => {
        checkStream(makeStream("1:v1", "2:v1", "3:v1"), 3);
    });

    const BROKEN: Readonly<Record<string, readonly string[]>> = {
        "events of two versions": ["1:v1", "2:v2", "3:v2"],
        "a missing event": ["1:v1", "3:v1"],
        "an event that comes twice": ["1:v1", "2:v1", "2:v1"],
        "an incomplete stream that ends as complete": ["1:v1", "2:v1"],
    };
    for (const [title, items] of Object.entries(BROKEN)) {
        it(`finds ${title}`, () => {
            assert.throws(() => checkStream(makeStream(...items), 3), InvariantError);
        });
    }
});

describe("checkRefusals", () => {
    it("finds a try that was refused as not run, and ran", () => {
        const stream = makeStream("1:v1", "");
        checkRefusals(stream, new Set(["r0"]));
        assert.throws(() => checkRefusals(stream, new Set(["r1"])), InvariantError);
    });
});

describe("tallyResumptions", () => {
    it("counts streams that go on, of those taken up while their version serves", () => {
        const streams = [
            makeStream("1:v1"),
            makeStream(""),
            makeStream("1:v1", "2:v1"),
            makeStream("1:v1", ""),
            makeStream("1:v2", ""),
        ];
        const tally = tallyResumptions(streams, software => software === "v1");
        assert.deepEqual(tally, { sent: 5, begun: 4, resumed: 2, continued: 1 });
    });
});
