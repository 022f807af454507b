import { Packr } from "msgpackr";
import { ByteBuffer, Connection } from "../../ports/index.js";

const LENGTH_BYTES = 4;
/** First byte of a msgpack array of up to fifteen items, without its length. */
const MSGPACK_FIXARRAY = 0x90;
/** Maximum frame size. A larger frame indicates a corrupt stream. */
export const MAX_FRAME_BYTES = 64 * 1024 * 1024;

// Plain maps instead of msgpackr's record extension, so that older readers preserve fields that they do not know.
const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: false });

/** Encodes a value as msgpack. */
export function encodeValue(value: unknown): Uint8Array {
    return packr.pack(value);
}

/**
 * Decodes msgpack bytes.
 *
 * @throws Error when the bytes are not one complete msgpack value.
 */
export function decodeValue(bytes: Uint8Array): unknown {
    return packr.unpack(bytes as Buffer);
}

/** A message body that is sent to several peers and encoded only once. */
export class EncodedBody {
    /** Body encoded as msgpack. */
    readonly bytes: Buffer;

    /** @param value - A value that msgpack can encode. */
    constructor(value: unknown) {
        this.bytes = packr.pack(value);
    }
}

/**
 * Encodes a list of values as a frame: four bytes of length, big endian, then a msgpack array.
 *
 * @param values - At most fifteen values. The bytes of an `EncodedBody` among them are copied unchanged.
 * @example
 * connection.send(encodeFrame(["ping"]));
 */
export function encodeFrame(values: readonly unknown[]): Uint8Array {
    const parts = values.some(value => value instanceof EncodedBody) ? packParts(values) : [packr.pack(values)];
    const length = parts.reduce((sum, part) => sum + part.length, 0);
    const frame = Buffer.allocUnsafe(LENGTH_BYTES + length);
    let offset = frame.writeUInt32BE(length, 0);
    for (const part of parts) offset += part.copy(frame, offset);
    return frame;
}

function packParts(values: readonly unknown[]): Buffer[] {
    const head = Buffer.from([MSGPACK_FIXARRAY | values.length]);
    return [head, ...values.map(value => value instanceof EncodedBody ? value.bytes : packr.pack(value))];
}

/**
 * Splits the bytes of a connection into frames.
 *
 * @example
 * const frame = await new FrameReader(connection).next();
 */
export class FrameReader {
    private readonly buffered = new ByteBuffer();
    private lastBytes = 0;

    /** @param connection - Connection that only this reader reads. */
    constructor(private readonly connection: Connection) {}

    /** Size of the last frame, in bytes. */
    get lastFrameBytes(): number {
        return this.lastBytes;
    }

    /**
     * Returns the value of the next frame, or undefined at the end of the connection.
     *
     * @throws Error when the bytes are not a valid frame.
     */
    async next(): Promise<unknown> {
        for (;;) {
            const frame = this.extractFrame();
            if (frame) {
                this.lastBytes = LENGTH_BYTES + frame.length;
                return packr.unpack(frame);
            }
            const chunk = await this.connection.receive();
            if (!chunk) return undefined;
            this.buffered.append(chunk);
        }
    }

    private extractFrame(): Buffer | undefined {
        if (this.buffered.length < LENGTH_BYTES) return undefined;
        const length = this.buffered.view().readUInt32BE(0);
        if (length > MAX_FRAME_BYTES) throw new Error(`frame of ${length} bytes exceeds the limit`);
        const end = LENGTH_BYTES + length;
        if (this.buffered.length < end) return undefined;
        return this.buffered.take(end).subarray(LENGTH_BYTES);
    }
}
