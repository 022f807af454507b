import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HttpError } from "../../ports/index.js";
import { EventScanner } from "./index.js";

function scan(scanner: EventScanner, text: string): [string, number, string | undefined] {
    const { bytes, count, lastId } = scanner.push(Buffer.from(text));
    return [Buffer.from(bytes).toString(), count, lastId];
}

describe("EventScanner", () => {
    it("returns complete events and holds the rest back", () => {
        const scanner = new EventScanner();
        assert.deepEqual(scan(scanner, "id: 1\ndata: a\n\nid: 2\nda"), ["id: 1\ndata: a\n\n", 1, "1"]);
        assert.deepEqual(scan(scanner, "ta: b\n"), ["", 0, undefined]);
        assert.deepEqual(scan(scanner, "\nid: 3\ndata: c\n\n"), ["id: 2\ndata: b\n\nid: 3\ndata: c\n\n", 2, "3"]);
        assert.equal(scanner.hasPartialEvent, false);
    });

    it("accepts both kinds of line endings", () => {
        const scanner = new EventScanner();
        assert.deepEqual(scan(scanner, "id:7\r\ndata: a\r\n\r\n"), ["id:7\r\ndata: a\r\n\r\n", 1, "7"]);
    });

    it("returns the same events however the bytes are split", () => {
        const text = "id: 1\ndata: a\n\nevent: x\nid: 2\ndata: b\ndata: c\n\n: comment\n\nid: 3\n\n";
        for (let cut = 0; cut <= text.length; cut++) {
            const scanner = new EventScanner();
            const [first, firstCount] = scan(scanner, text.slice(0, cut));
            const [second, secondCount] = scan(scanner, text.slice(cut));
            assert.equal(first + second, text);
            assert.equal(firstCount + secondCount, 4);
        }
    });

    it("returns the held-back bytes", () => {
        const scanner = new EventScanner();
        scan(scanner, "data: a\n");
        assert.equal(Buffer.from(scanner.takePartialEvent()).toString(), "data: a\n");
        assert.equal(scanner.hasPartialEvent, false);
    });

    it("returns the same events when the bytes come one by one", () => {
        const text = "id: 1\r\ndata: a\r\n\r\n\r\nid: 2\n\r\ndata: b\n\n\n\nid: 3\ndata: \r\n\n";
        const [whole, wholeCount, wholeId] = scan(new EventScanner(), text);
        const scanner = new EventScanner();
        const pieces = [...text].map(byte => scan(scanner, byte));
        assert.equal(pieces.map(([bytes]) => bytes).join(""), whole);
        assert.equal(pieces.reduce((sum, [, count]) => sum + count, 0), wholeCount);
        assert.equal(pieces.flatMap(([, , id]) => id ?? []).pop(), wholeId);
    });

    it("accepts a large event in small pieces", () => {
        // Failure: each piece copies and searches all that came before, so that some megabytes block the process for minutes.
        const scanner = new EventScanner();
        const piece = "x".repeat(16);
        const pieceCount = 40_000;
        scan(scanner, "data: ");
        for (let index = 0; index < pieceCount; index++) scan(scanner, piece);
        assert.deepEqual(scan(scanner, "\n\n"), [`data: ${piece.repeat(pieceCount)}\n\n`, 1, undefined]);
    });

    for (const piece of ["x", "data: x\n"]) {
        it(`rejects an event without end, in pieces of ${JSON.stringify(piece)}`, () => {
            // Failure: memory grows for as long as an upstream sends, up to the deadline of the call.
            const scanner = new EventScanner();
            const chunk = piece.repeat(8 * 1024);
            assert.throws(
                () => {
                    for (let sentBytes = 0; sentBytes < 64 * 1024 * 1024; sentBytes += chunk.length) {
                        scan(scanner, chunk);
                    }
                },
                (err: HttpError) => err instanceof HttpError && err.reason === "malformed",
            );
        });
    }
});
