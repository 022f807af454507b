import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EventScanner } from "./index.js";

function scan(scanner: EventScanner, text: string): string[] {
    return scanner.push(Buffer.from(text)).map(block => block.toString());
}

describe("EventScanner", () => {
    describe("complete events", () => {
        it("returns complete events and holds the rest back", () => {
            const scanner = new EventScanner();
            assert.deepEqual(scan(scanner, "id: 1\ndata: a\n\nid: 2\nda"), ["id: 1\ndata: a\n\n"]);
            assert.deepEqual(scan(scanner, "ta: b\n"), []);
            assert.equal(scanner.hasPartialEvent, true);
            assert.deepEqual(scan(scanner, "\nid: 3\ndata: c\n\n"), ["id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"]);
            assert.equal(scanner.hasPartialEvent, false);
        });

        it("accepts both kinds of line endings", () => {
            const scanner = new EventScanner();
            assert.deepEqual(scan(scanner, "id:7\r\ndata: a\r\n\r\n"), ["id:7\r\ndata: a\r\n\r\n"]);
        });

        it("returns the same events however the bytes are split", () => {
            const events = [
                "id: 1\ndata: a\n\n",
                "event: x\nid: 2\ndata: b\ndata: c\n\n",
                ": comment\n\n",
                "id: 3\n\n",
            ];
            const text = events.join("");
            for (let cut = 0; cut <= text.length; cut++) {
                const scanner = new EventScanner();
                const blocks = [...scan(scanner, text.slice(0, cut)), ...scan(scanner, text.slice(cut))];
                assert.deepEqual(blocks, events);
            }
        });

        it("returns the same events when the bytes come one by one", () => {
            const text = "\uFEFFid: 1\r\ndata: a\r\n\r\n\r\nid: 2\n\r\ndata: b\n\n\n\nid: 3\ndata: \r\n\n\r\n";
            const whole = scan(new EventScanner(), text);
            const scanner = new EventScanner();
            const pieces = [...Buffer.from(text)].flatMap(byte => scanner.push(Buffer.from([byte])));
            assert.deepEqual(pieces.map(String), whole);
            assert.equal(whole.length, 4);
        });
    });

    describe("bytes that belong to no event", () => {
        it("leaves empty lines before an event and a byte-order mark out", () => {
            // Failure: callers that split at empty lines take further ones for an event without an id.
            const scanner = new EventScanner();
            assert.deepEqual(scan(scanner, "\uFEFF\r\n\nid: 1\ndata: a\n\n\n\n"), ["id: 1\ndata: a\n\n"]);
            assert.equal(scanner.hasPartialEvent, false);
            assert.deepEqual(scan(scanner, "\n\r\nid: 2\ndata: b\n\n"), ["id: 2\ndata: b\n\n"]);
        });
    });

    describe("large events", () => {
        it("accepts a large event in small pieces", () => {
            // Failure: each piece copies and searches all that came before, so that some megabytes block the process for minutes.
            const scanner = new EventScanner();
            const piece = "x".repeat(16);
            const pieceCount = 40_000;
            scan(scanner, "data: ");
            for (let index = 0; index < pieceCount; index++) scan(scanner, piece);
            assert.deepEqual(scan(scanner, "\n\n"), [`data: ${piece.repeat(pieceCount)}\n\n`]);
        });

        for (const piece of ["x", "data: x\n"]) {
            it(`reports an event without end, in pieces of ${JSON.stringify(piece)}`, () => {
                // Failure: memory grows for as long as an upstream sends, up to the deadline of the call.
                const scanner = new EventScanner();
                const chunk = piece.repeat(8 * 1024);
                let sentBytes = 0;
                for (; sentBytes < 64 * 1024 * 1024 && !scanner.isOversized; sentBytes += chunk.length) {
                    scan(scanner, chunk);
                }
                assert.ok(sentBytes <= 1024 * 1024 + chunk.length, `${sentBytes} bytes`);
            });
        }
    });
});
