import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Connection } from "../../ports/index.js";
import { EncodedBody, encodeFrame, FrameReader } from "./index.js";

describe("encodeFrame", () => {
    it("produces the same bytes for a body that was encoded before", () => {
        const body = { records: [{ id: "u1", slots: 4 }], wallMs: 17 };
        const whole = encodeFrame([5, 0, "discovery.news", body]);
        const shared = encodeFrame([5, 0, "discovery.news", new EncodedBody(body)]);
        assert.deepEqual(shared, whole);
    });
});

/** Connection that receives bytes in pieces. */
class PieceConnection extends Connection {
    readonly remote = "";
    private offset = 0;

    constructor(private readonly bytes: Uint8Array, private readonly pieceBytes: number) {
        super();
    }

    async receive(): Promise<Uint8Array | undefined> {
        if (this.offset >= this.bytes.length) return undefined;
        this.offset += this.pieceBytes;
        return this.bytes.subarray(this.offset - this.pieceBytes, this.offset);
    }

    pendingBytes(): number {
        return 0;
    }

    send(): void {}

    close(): void {}

    reset(): void {}
}

describe("FrameReader", () => {
    it("reads a large frame in small pieces, and the one after it", async () => {
        // Failure: each piece copies all that came before, so that a peer can block the process for minutes.
        const text = "x".repeat(2 * 1024 * 1024);
        const bytes = Buffer.concat([encodeFrame([0, text]), encodeFrame([1, "next"])]);
        const reader = new FrameReader(new PieceConnection(bytes, 16));
        assert.deepEqual(await reader.next(), [0, text]);
        assert.deepEqual(await reader.next(), [1, "next"]);
        assert.equal(await reader.next(), undefined);
    });
});
