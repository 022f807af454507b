import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { answerLength, expectedAnswer } from "./index.js";

const PROMPT = [{ role: "user", content: "Cuts for Friday" }];

describe("answerText", () => {
    describe("expectedAnswer", () => {
        it("returns the same text for the same prompt, and different text for a different prompt", () => {
            assert.equal(expectedAnswer(PROMPT, 20), expectedAnswer(PROMPT, 20));
            assert.notEqual(expectedAnswer(PROMPT, 20), expectedAnswer([{ role: "system", content: "x" }], 20));
        });

        it("numbers the tokens, so that duplicate and missing ones are detectable", () => {
            const numbers = expectedAnswer(PROMPT, 30).trim().split(" ").map(token => Number(/\d+$/.exec(token)));
            assert.deepEqual(numbers, Array.from({ length: 30 }, (_, offset) => offset));
        });
    });

    describe("answerLength", () => {
        it("uses the length hint of the last message", () => {
            assert.equal(answerLength([...PROMPT, { role: "user", content: "Friday [tokens=12]" }]), 12);
        });

        it("draws lengths with the given mean for prompts without a hint", () => {
            const lengths = Array.from(
                { length: 2_000 },
                (_, n) => answerLength([{ role: "user", content: `${n}` }], 60),
            );
            const mean = lengths.reduce((sum, length) => sum + length, 0) / lengths.length;
            assert.ok(mean > 54 && mean < 66, `mean ${mean}`);
        });
    });
});
