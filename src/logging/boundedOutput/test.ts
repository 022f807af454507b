import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { BoundedOutput } from "./index.js";

type Done = (err: Error | undefined, written: number) => void;

describe("BoundedOutput", () => {
    function makeOutput() {
        const taken: string[] = [];
        const pending: { bytes: Uint8Array; done: Done; }[] = [];
        const retries: (() => void)[] = [];
        const output = new BoundedOutput(
            (bytes, done) => pending.push({ bytes, done }),
            (_, retry) => retries.push(retry),
        );
        const take = (count = Number.POSITIVE_INFINITY): void => {
            const { bytes, done } = pending.shift()!;
            const written = Math.min(count, bytes.length);
            taken.push(Buffer.from(bytes.subarray(0, written)).toString());
            done(undefined, written);
        };
        return { output, taken, pending, retries, take };
    }

    it("writes lines in order, and what was taken in part to its end", () => {
        const { output, taken, pending, take } = makeOutput();
        output.write("first");
        output.write("second");
        take(3);
        while (pending.length > 0) take();
        assert.equal(taken.join(""), "first\nsecond\n");
    });

    it("drops lines that nobody takes, and says how many", () => {
        // A log collector hangs. The process must go on, and whoever reads the log later must see that lines are missing.
        const { output, taken, pending, take } = makeOutput();
        const line = "x".repeat(100_000);
        for (let i = 0; i < 5; i++) output.write(line);
        while (pending.length > 0) take();
        assert.match(taken.join(""), /"log-lines-dropped","count":3/);
    });

    it("tries again after a write that was refused", () => {
        const { output, taken, pending, retries, take } = makeOutput();
        output.write("first");
        pending.shift()!.done(new Error("try again"), 0);
        retries.shift()!();
        take();
        assert.equal(taken.join(""), "first\n");
    });
});
