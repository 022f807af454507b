import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
    decodeRelayMessage,
    encodeRelayFrame,
    encodeRelayMessage,
    FRAME_KINDS,
    readRelayFrames,
    RelayFrame,
    splitRelayRequest,
} from "./index.js";

async function* splitInto(bytes: Uint8Array, sizes: readonly number[]): AsyncIterable<Uint8Array> {
    let offset = 0;
    for (const size of [...sizes, bytes.length]) {
        yield bytes.subarray(offset, offset + size);
        offset += size;
    }
}

async function collect(chunks: AsyncIterable<Uint8Array>): Promise<RelayFrame[]> {
    const frames: RelayFrame[] = [];
    for await (const { kind, payload } of readRelayFrames(chunks)) frames.push({ kind, payload: Buffer.from(payload) });
    return frames;
}

describe("relay frames", () => {
    it("are read when a large one comes in small pieces", async () => {
        // Failure: each piece copies all that came before, so that one answer blocks the process for minutes.
        const payload = Buffer.alloc(2 * 1024 * 1024, "x");
        const sizes = Array.from({ length: payload.length / 16 }, () => 16);
        const [frame] = await collect(splitInto(encodeRelayFrame(FRAME_KINDS.data, payload), sizes));
        assert.ok(payload.equals(frame.payload));
    });

    it("are read as they were written, however the bytes are split", async () => {
        const payloads = fc.array(fc.uint8Array({ maxLength: 40 }), { maxLength: 6 });
        const sizes = fc.array(fc.integer({ min: 0, max: 20 }), { maxLength: 20 });
        await fc.assert(
            fc.asyncProperty(payloads, sizes, async (written, split) => {
                const bytes = Buffer.concat(written.map(payload => encodeRelayFrame(FRAME_KINDS.data, payload)));
                const read = await collect(splitInto(bytes, split));
                assert.deepEqual(read.map(({ payload }) => [...payload]), written.map(payload => [...payload]));
            }),
            { seed: 7, numRuns: 100 },
        );
    });

    it("carry values", () => {
        const frame = encodeRelayMessage(FRAME_KINDS.message, { kind: "not-sent", headers: [["a", "b"]] });
        const { message, body } = splitRelayRequest(Buffer.concat([frame, Buffer.from("body")]));
        assert.deepEqual(message, { kind: "not-sent", headers: [["a", "b"]] });
        assert.equal(Buffer.from(body).toString(), "body");
        assert.deepEqual(decodeRelayMessage({ kind: FRAME_KINDS.message, payload: frame.subarray(5) }), message);
    });

    it("throw where the bytes end within a frame, or are none", async () => {
        const frame = encodeRelayFrame(FRAME_KINDS.data, Buffer.from("half of it"));
        await assert.rejects(collect(splitInto(frame.subarray(0, 9), [])), /within a frame/);
        await assert.rejects(collect(splitInto(Buffer.from("HTTP/1.1 200 OK"), [])), /frame of \d+ bytes/);
        assert.throws(() => splitRelayRequest(Buffer.from("POST")), /first frame/);
    });
});
