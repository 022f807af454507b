import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SeededRandom } from "../../ports/index.js";
import { CONSORTIUM_FAULTS, CONSORTIUM_MIDDAY } from "../consortiumPlan/index.js";
import { generateTrace } from "../generateTrace/index.js";
import { UTILITY_MORNING } from "../utilityPlan/index.js";
import { formatTrace, parseTrace, TraceError } from "./index.js";

const TEXT = formatTrace(generateTrace(UTILITY_MORNING, new SeededRandom(1)));

function changeLine(line: number, change: (fields: Record<string, unknown>) => void): string {
    const lines = TEXT.split("\n");
    const fields = JSON.parse(lines[line - 1]) as Record<string, unknown>;
    change(fields);
    lines[line - 1] = JSON.stringify(fields);
    return lines.join("\n");
}

function parseInvalid(text: string): TraceError {
    const parsed = parseTrace(text);
    assert.ok(parsed.isLeft());
    return parsed.extract() as TraceError;
}

describe("trace", () => {
    describe("generateTrace", () => {
        for (const plan of [UTILITY_MORNING, CONSORTIUM_MIDDAY, CONSORTIUM_FAULTS]) {
            it(`generates the same ${plan.name} from the same seed, in the order of time`, () => {
                const trace = generateTrace(plan, new SeededRandom(5));
                assert.deepEqual(trace, generateTrace(plan, new SeededRandom(5)));
                const times = trace.requests.map(request => request.at_ms);
                assert.deepEqual(times, [...times].sort((a, b) => a - b));
                assert.deepEqual(parseTrace(formatTrace(trace)).unsafeCoerce(), trace);
            });
        }
    });

    describe("parseTrace", () => {
        it("reports line and field of an invalid value", () => {
            const err = parseInvalid(changeLine(4, fields => {
                fields.at_ms = "soon";
            }));
            assert.deepEqual([err.line, err.field], [4, "at_ms"]);
        });

        it("reports line and field of a class that the header does not declare", () => {
            const err = parseInvalid(changeLine(7, fields => {
                fields.class = "none";
            }));
            assert.deepEqual([err.line, err.field], [7, "class"]);
            assert.match(err.message, /"none" is not in the header/);
        });

        it("reports an unsupported version in the header", () => {
            const err = parseInvalid(changeLine(1, fields => {
                fields.version = 2;
            }));
            assert.deepEqual([err.line, err.field], [1, "version"]);
        });

        it("reports line and field of a fault with an unknown action", () => {
            const fault = { at_ms: 5, kind: "fault", action: { action: "flood", upstream: "x" } };
            const err = parseInvalid(`${TEXT}${JSON.stringify(fault)}\n`);
            assert.deepEqual([err.line, err.field], [TEXT.split("\n").length, "action.action"]);
        });

        it("reports the line that is truncated", () => {
            assert.equal(parseInvalid(TEXT.slice(0, -20)).line, TEXT.split("\n").length - 1);
        });
    });
});
