import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ReceivedGarbage } from "./index.js";

const MIB = 1_024 * 1_024;
const MAX_GARBAGE_BYTES = 16 * MIB;

describe("ReceivedGarbage", () => {
    it("is collected again and again, by the bytes that were received", () => {
        let collections = 0;
        const garbage = new ReceivedGarbage(() => collections++);
        for (let count = 0; count < 64; count++) garbage.add(MIB / 2);
        assert.equal(collections, 8);
        garbage.add(1);
        assert.equal(collections, 8);
    });

    it("does not pile up outside the heap", () => {
        // Failure: buffers that nobody needs take more memory than a small host has to spare.
        const garbage = new ReceivedGarbage();
        let mostBytes = 0;
        for (let count = 0; count < 1_000; count++) {
            const chunk = Buffer.alloc(64 * 1_024);
            garbage.add(chunk.length);
            mostBytes = Math.max(mostBytes, process.memoryUsage().arrayBuffers);
        }
        assert.ok(mostBytes < MAX_GARBAGE_BYTES, `${mostBytes} bytes`);
    });
});
