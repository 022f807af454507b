import { ByteBuffer, HttpError } from "../../ports/index.js";
import { decodeValue, encodeValue } from "../../wire/index.js";

/** Kinds of frames between a host and its relay: a message, bytes of a body, the end of a complete body, or why a body is not complete. */
export const FRAME_KINDS = { message: 1, data: 2, end: 3, broken: 4 } as const;

/** One frame. */
export interface RelayFrame {
    readonly kind: number;
    readonly payload: Uint8Array;
}

/** One byte for the kind and four for the length of the payload, big endian. */
const HEADER_BYTES = 5;
/** Maximum size of a payload, in bytes; a larger one shows that the bytes are no frames. */
const MAX_PAYLOAD_BYTES = 16 * 1024 * 1024;

/**
 * Encodes a frame.
 *
 * @example
 * await res.write(encodeRelayFrame(FRAME_KINDS.data, chunk));
 */
export function encodeRelayFrame(kind: number, payload: Uint8Array = new Uint8Array()): Uint8Array {
    const frame = Buffer.allocUnsafe(HEADER_BYTES + payload.length);
    frame.writeUInt8(kind, 0);
    frame.writeUInt32BE(payload.length, 1);
    frame.set(payload, HEADER_BYTES);
    return frame;
}

/** Encodes a frame whose payload is a value. */
export function encodeRelayMessage(kind: number, value: unknown): Uint8Array {
    return encodeRelayFrame(kind, encodeValue(value));
}

/**
 * Decodes the value of a frame.
 *
 * @throws Error when the payload is not one complete value.
 */
export function decodeRelayMessage({ payload }: RelayFrame): unknown {
    return decodeValue(payload);
}

/**
 * Splits bytes into frames.
 *
 * @param chunks - The bytes, split anywhere.
 * @throws HttpError when the bytes are no frames, or end within one.
 * @example
 * for await (const { kind, payload } of readRelayFrames(reply.body)) handle(kind, payload);
 */
export async function* readRelayFrames(chunks: AsyncIterable<Uint8Array>): AsyncIterable<RelayFrame> {
    const buffered = new ByteBuffer();
    for await (const chunk of chunks) {
        buffered.append(chunk);
        for (
            let length = frameLength(buffered.view());
            buffered.length >= length;
            length = frameLength(buffered.view())
        ) {
            const frame = buffered.take(length);
            yield { kind: frame.readUInt8(0), payload: frame.subarray(HEADER_BYTES) };
        }
    }
    if (buffered.length > 0) throw new HttpError("closed", true, "the relay's answer ends within a frame");
}

/** Returns the length of the first frame; infinity while its header is not complete. */
function frameLength(buffered: Buffer): number {
    if (buffered.length < HEADER_BYTES) return Number.POSITIVE_INFINITY;
    const length = buffered.readUInt32BE(1);
    if (length > MAX_PAYLOAD_BYTES) throw new HttpError("malformed", true, `a relay's frame of ${length} bytes`);
    return HEADER_BYTES + length;
}

/**
 * Splits a request into the value of its first frame and the bytes after it.
 *
 * @throws Error when it does not begin with a whole frame.
 */
export function splitRelayRequest(bytes: Uint8Array): { readonly message: unknown; readonly body: Uint8Array; } {
    const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
    const length = frameLength(buffer);
    if (buffer.length < length) throw new HttpError("malformed", false, "a request without a first frame");
    return { message: decodeValue(buffer.subarray(HEADER_BYTES, length)), body: buffer.subarray(length) };
}
