import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ChunkDecoder } from "./index.js";

const BODY = "5\r\nhello\r\n7;a=b\r\n, world\r\n0\r\nX-Sum: 1\r\n\r\n";
const MAX_LINES_BYTES = 16 * 1024;

function push(decoder: ChunkDecoder, text: string): string {
    return Buffer.from(decoder.push(Buffer.from(text, "latin1")).unsafeCoerce()).toString("latin1");
}

/** Returns why a text is malformed; undefined where it is not. */
function findFault(text: string): string | undefined {
    return new ChunkDecoder().push(Buffer.from(text, "latin1")).swap().toMaybe().extract();
}

describe("ChunkDecoder", () => {
    it("returns the data of all chunks", () => {
        const decoder = new ChunkDecoder();
        assert.deepEqual([push(decoder, BODY), decoder.isComplete], ["hello, world", true]);
    });

    it("returns data as it comes, at every cut of the bytes", () => {
        for (let cut = 1; cut < BODY.length; cut++) {
            const decoder = new ChunkDecoder();
            const start = push(decoder, BODY.slice(0, cut));
            assert.equal(decoder.isComplete, false, `complete after ${cut} bytes`);
            assert.deepEqual([start + push(decoder, BODY.slice(cut)), decoder.isComplete], ["hello, world", true]);
        }
        assert.equal(push(new ChunkDecoder(), "ffffffff\r\nhel"), "hel");
    });

    it("ignores what follows the end", () => {
        // Failure: the bytes of another answer become a part of the body.
        const decoder = new ChunkDecoder();
        assert.equal(push(decoder, `${BODY}5\r\nwrong\r\n`), "hello, world");
        assert.equal(push(decoder, "5\r\nwrong\r\n"), "");
    });

    const wrong = [
        ["a chunk longer than its size", "3\r\nhello\r\n0\r\n\r\n", "a chunk of another size"],
        ["a line end that is none", "5\r\nhello\n\n0\r\n\r\n", "a chunk of another size"],
        ["a negative size", "-6\r\nhello\r\n", "an invalid chunk size"],
        ["a size that is none", "xyz\r\nhello\r\n", "an invalid chunk size"],
        ["an empty size", "\r\nhello\r\n", "an invalid chunk size"],
        ["a size over 32 bits", "fffffffff\r\nhello\r\n", "an invalid chunk size"],
        ["a blank in the name of a trailer", "0\r\nX A: b\r\n\r\n", "an invalid trailer field"],
        ["an extension without end", `5;${"a".repeat(MAX_LINES_BYTES)}`, "a line that is too long"],
        ["trailers without end", `0\r\n${"X-A: b\r\n".repeat(MAX_LINES_BYTES / 6)}`, "trailers that are too large"],
    ] as const;
    for (const [name, text, fault] of wrong) {
        it(`refuses ${name}`, () => {
            assert.equal(findFault(text), fault);
        });
    }
});
