import assert from "node:assert/strict";
import { describe, it } from "node:test";
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
});
