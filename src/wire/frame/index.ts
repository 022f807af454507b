import { Packr } from "msgpackr";
import { Connection } from "../../ports/index.js";

const LENGTH_BYTES = 4;
/** A larger frame is taken for a damaged stream. */
export const MAX_FRAME_BYTES = 64 * 1024 * 1024;

// Plain maps rather than msgpackr's record extension: an older reader then keeps fields that it does not know.
const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: false });

/** Turns a value into msgpack bytes. */
export function encodeValue(value: unknown): Uint8Array {
    return packr.pack(value);
}

/**
 * Reads msgpack bytes.
 *
 * @throws Error when the bytes are not one whole msgpack value.
 */
export function decodeValue(bytes: Uint8Array): unknown {
    return packr.unpack(bytes as Buffer);
}

/**
 * Puts a value into a frame: four bytes of length, big endian, then msgpack.
 *
 * @example
 * connection.send(encodeFrame(["ping"]));
 */
export function encodeFrame(value: unknown): Uint8Array {
    const body = packr.pack(value);
    const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
    frame.writeUInt32BE(body.length, 0);
    body.copy(frame, LENGTH_BYTES);
    return frame;
}

/**
 * Cuts a connection's bytes into frames.
 *
 * @example
 * const frame = await new FrameReader(connection).next();
 */
export class FrameReader {
    private buffered: Buffer = Buffer.alloc(0);

    /** @param connection - Read by this reader alone. */
    constructor(private readonly connection: Connection) {}

    /**
     * The next frame's value, or undefined at the end of the connection.
     *
     * @throws Error when the bytes are not a frame.
     */
    async next(): Promise<unknown> {
        for (;;) {
            const frame = this.takeFrame();
            if (frame) return packr.unpack(frame);
            const chunk = await this.connection.receive();
            if (!chunk) return undefined;
            this.buffered = this.buffered.length === 0 ? Buffer.from(chunk) : Buffer.concat([this.buffered, chunk]);
        }
    }

    private takeFrame(): Buffer | undefined {
        if (this.buffered.length < LENGTH_BYTES) return undefined;
        const length = this.buffered.readUInt32BE(0);
        if (length > MAX_FRAME_BYTES) throw new Error(`a frame of ${length} bytes`);
        const end = LENGTH_BYTES + length;
        if (this.buffered.length < end) return undefined;
        const frame = this.buffered.subarray(LENGTH_BYTES, end);
        this.buffered = this.buffered.subarray(end);
        return frame;
    }
}
