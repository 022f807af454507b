import { ByteBuffer } from "../../ports/index.js";

const LF = 0x0a;
const CR = 0x0d;
const COLON = 0x3a;
const BYTE_ORDER_MARK = Buffer.from("\uFEFF");
/** Maximum size of an event that is not complete, in bytes. */
export const MAX_EVENT_BYTES = 1024 * 1024;

/** What a part of a stream is: an event with its empty line, lines that are part of no event, or the mark at a stream's beginning. */
export type BlockKind = "event" | "padding" | "byte-order-mark";

/** A part of a stream. */
export interface StreamBlock {
    readonly bytes: Buffer;
    readonly kind: BlockKind;
}

/** Where a block ends in the received bytes. */
interface BlockEnd {
    readonly kind: "event" | "padding";
    offset: number;
}

/**
 * Splits a stream of server-sent events into blocks. Together, they are the bytes of the stream.
 *
 * Prevents streams that are joined in the middle of an event: an upstream may break off anywhere, and the next one
 * begins with a complete event. Bytes after the last complete event are held back until its end arrives. Empty lines and comments before an
 * event are returned as soon as their line is complete.
 *
 * @example
 * for (const { bytes, kind } of scanner.push(chunk)) handle(bytes, kind);
 */
export class EventScanner {
    private readonly partial = new ByteBuffer();
    private isAtStart = true;
    /** Whether a line of the partial block is part of an event. */
    private hasField = false;
    /** First byte of the partial line; undefined while it is empty. */
    private lineFirst: number | undefined;
    /** Whether the last byte was a CR that ended a line, so that an LF behind it ends the same line. */
    private isAfterCr = false;

    /** Whether a part of an event, or of a line, is held back. */
    get hasPartialEvent(): boolean {
        return this.partial.length > 0;
    }

    /** Bytes that are held back. */
    get heldBytes(): number {
        return this.partial.length;
    }

    /** Whether the incomplete event is larger than the maximum; its stream must not be read on. */
    get isOversized(): boolean {
        return this.partial.length > MAX_EVENT_BYTES;
    }

    /** Adds received bytes and returns the blocks that are complete now. */
    push(chunk: Uint8Array): StreamBlock[] {
        const received = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length);
        return this.isAtStart ? this.pushFirst(received) : this.split(received);
    }

    private pushFirst(received: Buffer): StreamBlock[] {
        this.partial.append(received);
        const begun = this.partial.view();
        const isMarkPossible = BYTE_ORDER_MARK.subarray(0, begun.length).equals(
            begun.subarray(0, BYTE_ORDER_MARK.length),
        );
        if (isMarkPossible && begun.length < BYTE_ORDER_MARK.length) return [];
        this.isAtStart = false;
        const mark = isMarkPossible ? this.partial.take(BYTE_ORDER_MARK.length) : undefined;
        const blocks = this.split(this.partial.take());
        return mark ? [{ bytes: mark, kind: "byte-order-mark" }, ...blocks] : blocks;
    }

    private split(received: Buffer): StreamBlock[] {
        const blocks: StreamBlock[] = [];
        let start = 0;
        for (const { kind, offset } of this.findEnds(received)) {
            blocks.push({ bytes: this.complete(received.subarray(start, offset)), kind });
            start = offset;
        }
        if (start < received.length) this.partial.append(received.subarray(start));
        return blocks;
    }

    /** Returns a block that ends with some bytes. */
    private complete(end: Buffer): Buffer {
        if (this.partial.length === 0) return end;
        this.partial.append(end);
        return this.partial.take();
    }

    private findEnds(received: Buffer): BlockEnd[] {
        const ends: BlockEnd[] = [];
        for (let index = 0; index < received.length; index++) {
            const byte = received[index];
            const isRestOfLineEnd = byte === LF && this.isAfterCr;
            this.isAfterCr = byte === CR;
            if (isRestOfLineEnd) {
                if (!this.hasField) extendEnd(ends, index);
            }
            else if (byte === LF || byte === CR) {
                const kind = this.endLine();
                if (kind) addEnd(ends, kind, index + 1);
            }
            else {
                this.lineFirst ??= byte;
            }
        }
        return ends;
    }

    /** Ends a line. Returns the kind of the block that it ends; undefined where it ends none. */
    private endLine(): BlockEnd["kind"] | undefined {
        const isEmpty = this.lineFirst === undefined;
        const isComment = this.lineFirst === COLON;
        this.lineFirst = undefined;
        if (!this.hasField && (isEmpty || isComment)) return "padding";
        this.hasField = !isEmpty;
        return isEmpty ? "event" : undefined;
    }
}

/** Adds the end of a block; lines of padding that follow one another are one block. */
function addEnd(ends: BlockEnd[], kind: BlockEnd["kind"], offset: number): void {
    const last = ends.at(-1);
    if (last?.kind === "padding" && kind === "padding") last.offset = offset;
    else ends.push({ kind, offset });
}

/** Adds the LF behind a CR that ended a block, which may have come with earlier bytes. */
function extendEnd(ends: BlockEnd[], offset: number): void {
    const last = ends.at(-1);
    if (last?.offset === offset) last.offset++;
    else addEnd(ends, "padding", offset + 1);
}
