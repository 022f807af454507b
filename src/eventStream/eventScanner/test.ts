import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EventScanner } from "./index.js";

/** Returns the events that are complete. */
function scan(scanner: EventScanner, text: string): string[] {
    return scanner.push(Buffer.from(text)).flatMap(({ kind, bytes }) => kind === "event" ? [String(bytes)] : []);
}

/** Returns all blocks that are complete, whatever their kind. */
function scanAll(scanner: EventScanner, text: string): string[] {
    return scanner.push(Buffer.from(text)).map(({ bytes }) => String(bytes));
}

/** Returns an event's lines, without their ends. */
function linesOf(event: string): string[] {
    return event.split(/\r\n|\r|\n/).filter(line => line !== "");
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
            const events = ["id: 1\ndata: a\n\n", "event: x\nid: 2\ndata: b\ndata: c\n\n", "id: 3\n\n"];
            const text = [...events.slice(0, 2), ": comment\n\n", events[2]].join("");
            for (let cut = 0; cut <= text.length; cut++) {
                const scanner = new EventScanner();
                const blocks = [...scan(scanner, text.slice(0, cut)), ...scan(scanner, text.slice(cut))];
                assert.deepEqual(blocks, events);
            }
        });

        const mixed = "\uFEFFid: 1\r\ndata: a\r\n\r\n\r\nid: 2\n\r\ndata: b\n\n\n\nid: 3\ndata: \r\n\n\r\n";

        it("returns the same events when the bytes come one by one", () => {
            const whole = scan(new EventScanner(), mixed);
            const scanner = new EventScanner();
            const pieces = [...Buffer.from(mixed)].flatMap(byte => scanner.push(Buffer.from([byte])));
            const events = pieces.filter(({ kind }) => kind === "event").map(({ bytes }) => String(bytes));
            assert.deepEqual(events.map(linesOf), whole.map(linesOf));
            assert.equal(whole.length, 4);
        });

        it("leaves no byte out, however the bytes are split", () => {
            // Failure: comments and empty lines of a sound stream are missing at the caller.
            const text = `${mixed}: note\r\r\n:\n\n`;
            for (let cut = 0; cut <= text.length; cut++) {
                const scanner = new EventScanner();
                const blocks = [...scanAll(scanner, text.slice(0, cut)), ...scanAll(scanner, text.slice(cut))];
                assert.equal(blocks.join(""), text);
                assert.equal(scanner.hasPartialEvent, false);
            }
        });

        it("ends lines at a CR alone, without a wait for the next byte", () => {
            // Failure: no event of a stream whose lines end with CR ever reaches the caller.
            const scanner = new EventScanner();
            assert.deepEqual(scan(scanner, "id: 1\rdata: a\r\r"), ["id: 1\rdata: a\r\r"]);
            assert.deepEqual(scan(scanner, "id: 2\rdata: b\r\r: note\rid: 3\r"), ["id: 2\rdata: b\r\r"]);
        });
    });

    describe("bytes that belong to no event", () => {
        it("are blocks of their own, returned as soon as their line ends", () => {
            // Failure: a comment that keeps a caller's connection alive waits for the next event.
            const scanner = new EventScanner();
            const kinds = (text: string): string[][] =>
                scanner.push(Buffer.from(text)).map(({ kind, bytes }) => [kind, String(bytes)]);
            assert.deepEqual(kinds("\uFEFF\r\n\nid: 1\ndata: a\n\n\n\n"), [
                ["byte-order-mark", "\uFEFF"],
                ["padding", "\r\n\n"],
                ["event", "id: 1\ndata: a\n\n"],
                ["padding", "\n\n"],
            ]);
            assert.equal(scanner.hasPartialEvent, false);
            assert.deepEqual(kinds(": note\n"), [["padding", ": note\n"]]);
            assert.deepEqual(kinds("id: 2\n: within\ndata: b\n\n"), [["event", "id: 2\n: within\ndata: b\n\n"]]);
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
