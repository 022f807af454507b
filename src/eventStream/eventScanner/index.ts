import { ByteBuffer } from "../../ports/index.js";

const LF = 0x0a;
const CR = 0x0d;
const NO_BYTES = Buffer.alloc(0);
const COMMENT_LINES_PATTERN = /^(?::[^\n]*\n)*$/;
const BYTE_ORDER_MARK = Buffer.from("\uFEFF");
/** Maximum size of an event that is not complete, in bytes. */
const MAX_EVENT_BYTES = 1024 * 1024;

/**
 * Splits a stream of server-sent events into blocks, each of which ends with an empty line.
 *
 * Prevents streams that are joined in the middle of an event: an upstream may break off anywhere, and the next one
 * begins with a complete event. Bytes after the last complete event are held back until its end arrives. Empty lines before an event, and a
 * byte-order mark at the beginning of the stream, are left out.
 *
 * @example
 * for (const block of scanner.push(chunk)) handle(block);
 */
export class EventScanner {
    private readonly partialEvent = new ByteBuffer();
    /** Offset of the last line of the partial event. */
    private lineStart = 0;
    /** Whether no block has been returned. */
    private isAtStart = true;

    /** Whether an incomplete event is held back. Whole lines of comments are part of none. */
    get hasPartialEvent(): boolean {
        return !COMMENT_LINES_PATTERN.test(this.trimStart(this.partialEvent.view()).toString("latin1"));
    }

    /** Whether the incomplete event is larger than the maximum; its stream must not be read on. */
    get isOversized(): boolean {
        return this.partialEvent.length > MAX_EVENT_BYTES;
    }

    /** Adds received bytes and returns the events that are complete now. */
    push(chunk: Uint8Array): Buffer[] {
        const received = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length);
        const ends = this.findEventEnds(received);
        return this.split(this.takeEvents(received, ends.at(-1)), ends);
    }

    private split(bytes: Buffer, ends: readonly number[]): Buffer[] {
        const blocks: Buffer[] = [];
        let start = 0;
        for (const end of ends) {
            const block = this.trimStart(bytes.subarray(start, end));
            this.isAtStart = false;
            start = end;
            if (block.length > 0) blocks.push(block);
        }
        return blocks;
    }

    private trimStart(bytes: Buffer): Buffer {
        const hasMark = this.isAtStart && bytes.subarray(0, BYTE_ORDER_MARK.length).equals(BYTE_ORDER_MARK);
        let start = hasMark ? BYTE_ORDER_MARK.length : 0;
        for (;;) {
            if (bytes[start] === LF) start++;
            else if (bytes[start] === CR && bytes[start + 1] === LF) start += 2;
            else return bytes.subarray(start);
        }
    }

    /**
     * Returns the offset after the empty line that ends each event, from the beginning of the first one. An empty line before
     * the first other one of an event does not end it.
     */
    private findEventEnds(received: Buffer): number[] {
        const held = this.partialEvent.view();
        const byteAt = (offset: number): number => held[offset] ?? received[offset - held.length];
        const ends: number[] = [];
        let eventStart = 0;
        for (let index = received.indexOf(LF); index >= 0; index = received.indexOf(LF, index + 1)) {
            const lineFeedAt = held.length + index;
            const { lineStart } = this;
            const hasOnlyCr = lineFeedAt === lineStart + 1 && byteAt(lineStart) === CR;
            const isEmpty = lineFeedAt === lineStart || hasOnlyCr;
            this.lineStart = lineFeedAt + 1;
            if (!isEmpty || lineStart === eventStart) continue;
            eventStart = this.lineStart;
            ends.push(eventStart);
        }
        this.lineStart -= eventStart;
        return ends;
    }

    /** Returns the complete events, and holds the rest back. */
    private takeEvents(received: Buffer, lastEnd: number | undefined): Buffer {
        const { partialEvent } = this;
        if (lastEnd === undefined) {
            partialEvent.append(received);
            return NO_BYTES;
        }
        const endAt = lastEnd - partialEvent.length;
        const complete = received.subarray(0, endAt);
        if (partialEvent.length > 0) partialEvent.append(complete);
        const bytes = partialEvent.length > 0 ? partialEvent.take() : complete;
        if (endAt < received.length) partialEvent.append(received.subarray(endAt));
        return bytes;
    }
}
