import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { BoundedOutput } from "./index.js";

type Done = (err: Error | undefined, written: number) => void;

describe("BoundedOutput", () => {
    function makeOutput() {
        const writtenChunks: string[] = [];
        const pendingWrites: { bytes: Uint8Array; done: Done; }[] = [];
        const retries: (() => void)[] = [];
        const output = new BoundedOutput(
            (bytes, done) => pendingWrites.push({ bytes, done }),
            (_, retry) => retries.push(retry),
        );
        const acceptWrite = (count = Number.POSITIVE_INFINITY): void => {
            const { bytes, done } = pendingWrites.shift()!;
            const written = Math.min(count, bytes.length);
            writtenChunks.push(Buffer.from(bytes.subarray(0, written)).toString());
            done(undefined, written);
        };
        return { output, writtenChunks, pendingWrites, retries, acceptWrite };
    }

    it("writes lines in order, and completes partial writes", () => {
        const { output, writtenChunks, pendingWrites, acceptWrite } = makeOutput();
        output.write("first");
        output.write("second");
        acceptWrite(3);
        while (pendingWrites.length > 0) acceptWrite();
        assert.equal(writtenChunks.join(""), "first\nsecond\n");
    });

    it("drops lines beyond the limit, and reports how many", () => {
        // When a log collector hangs, the process must go on, and the log must show that lines are missing.
        const { output, writtenChunks, pendingWrites, acceptWrite } = makeOutput();
        const line = "x".repeat(100_000);
        for (let i = 0; i < 5; i++) output.write(line);
        while (pendingWrites.length > 0) acceptWrite();
        assert.match(writtenChunks.join(""), /"log-lines-dropped","count":3/);
    });

    it("retries a write that failed", () => {
        const { output, writtenChunks, pendingWrites, retries, acceptWrite } = makeOutput();
        output.write("first");
        pendingWrites.shift()!.done(new Error("try again"), 0);
        retries.shift()!();
        acceptWrite();
        assert.equal(writtenChunks.join(""), "first\n");
    });
});
