import { Packr } from "msgpackr";
import { Connection } from "../../ports/index.js";

const LENGTH_BYTES = 4;
/** The first byte of a msgpack array of up to fifteen items, less its length. */
const MSGPACK_SHORT_ARRAY = 0x90;
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

/** A body that goes to several peers: it is encoded once. */
export class EncodedBody {
    /** The body as msgpack. */
    readonly bytes: Buffer;

    /** @param value - A value msgpack can carry. */
    constructor(value: unknown) {
        this.bytes = packr.pack(value);
    }
}

/**
 * Puts a list of values into a frame: four bytes of length, big endian, then a msgpack array.
 *
 * @param values - At most fifteen; an `EncodedBody` among them is copied as it is.
 * @example
 * connection.send(encodeFrame(["ping"]));
 */
export function encodeFrame(values: readonly unknown[]): Uint8Array {
    const parts = values.some(value => value instanceof EncodedBody) ? packParts(values) : [packr.pack(values)];
    const length = parts.reduce((sum, part) => sum + part.length, 0);
    const frame = Buffer.allocUnsafe(LENGTH_BYTES + length);
    let at = frame.writeUInt32BE(length, 0);
    for (const part of parts) at += part.copy(frame, at);
    return frame;
}

function packParts(values: readonly unknown[]): Buffer[] {
    const head = Buffer.from([MSGPACK_SHORT_ARRAY | values.length]);
    return [head, ...values.map(value => value instanceof EncodedBody ? value.bytes : packr.pack(value))];
}

/**
 * Cuts a connection's bytes into frames.
 *
 * @example
 * const frame = await new FrameReader(connection).next();
 */
export class FrameReader {
    private buffered: Buffer = Buffer.alloc(0);
    private taken = 0;

    /** @param connection - Read by this reader alone. */
    constructor(private readonly connection: Connection) {}

    /** The size of the last frame, in bytes. */
    get lastFrameBytes(): number {
        return this.taken;
    }

    /**
     * The next frame's value, or undefined at the end of the connection.
     *
     * @throws Error when the bytes are not a frame.
     */
    async next(): Promise<unknown> {
        for (;;) {
            const frame = this.takeFrame();
            if (frame) {
                this.taken = LENGTH_BYTES + frame.length;
                return packr.unpack(frame);
            }
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
