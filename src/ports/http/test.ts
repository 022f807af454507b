import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { HttpReply, readReplyText } from "./index.js";

const PIECES = 300_000;
/** A list of that many pieces of one byte takes about a hundred bytes for each. */
const MAX_HEAP_BYTES = 10 * 1024 * 1024;

/** Returns the size of the heap without garbage, in bytes. */
function measureHeap(): number {
    setFlagsFromString("--expose-gc");
    (runInNewContext("gc") as () => void)();
    return process.memoryUsage().heapUsed;
}

describe("readReplyText", () => {
    it("takes memory by the size of the body, however small its pieces are", async () => {
        // Failure: a body within its limit takes two hundred times as much memory, and ends the process.
        let heapBytes = 0;
        async function* send(): AsyncIterable<Uint8Array> {
            const before = measureHeap();
            for (let index = 0; index < PIECES; index++) yield Buffer.from("x");
            heapBytes = measureHeap() - before;
        }
        const reply: HttpReply = { status: 200, headers: [], body: send(), reset: () => undefined };
        assert.equal((await readReplyText(reply, PIECES)).length, PIECES);
        assert.ok(heapBytes < MAX_HEAP_BYTES, `${heapBytes} bytes`);
    });
});
