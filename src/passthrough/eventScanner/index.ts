import { ByteBuffer, HttpError } from "../../ports/index.js";

const LF = 0x0a;
const CR = 0x0d;
const ID_FIELD = /^id: ?(.*)$/m;
const NO_BYTES = new Uint8Array();
/** Maximum size of an event that is not complete, in bytes. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** Complete events, byte for byte as the upstream sent them. */
export interface ScannedEvents {
    readonly bytes: Uint8Array;
    readonly count: number;
    /** The id of the last event that has one. */
    readonly lastId: string | undefined;
}

/**
 * Splits a stream of server-sent events into complete events.
 *
 * Prevents streams that are joined in the middle of an event: an upstream may break off anywhere, and the next one
 * begins with a complete event. Bytes after the last complete event are held back until its end arrives.
 *
 * @example
 * const events = scanner.push(chunk);
 * if (events.count > 0) await res.write(events.bytes);
 */
export class EventScanner {
    private readonly partialEvent = new ByteBuffer();
    /** Offset of the last line of the partial event. */
    private lineStart = 0;

    /** Whether an incomplete event is held back. */
    get hasPartialEvent(): boolean {
        return this.partialEvent.length > 0;
    }

    /**
     * Adds received bytes and returns the events that are complete now.
     *
     * @throws HttpError when an event is larger than the maximum.
     */
    push(chunk: Uint8Array): ScannedEvents {
        const received = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length);
        const ends = this.findEventEnds(received);
        const bytes = this.takeEvents(received, ends.at(-1));
        if (this.partialEvent.length > MAX_EVENT_BYTES) {
            throw new HttpError("malformed", true, `an event of more than ${MAX_EVENT_BYTES} bytes`);
        }
        return { bytes, count: ends.length, lastId: findLastId(bytes, ends) };
    }

    /** Removes and returns the held-back bytes, for a stream whose last event has no empty line after it. */
    takePartialEvent(): Uint8Array {
        this.lineStart = 0;
        return this.partialEvent.take();
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
    private takeEvents(received: Buffer, lastEnd: number | undefined): Uint8Array {
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

function findLastId(bytes: Uint8Array, ends: readonly number[]): string | undefined {
    const events = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
    let lastId: string | undefined;
    let start = 0;
    for (const end of ends) {
        lastId = ID_FIELD.exec(events.toString("latin1", start, end))?.[1].trimEnd() ?? lastId;
        start = end;
    }
    return lastId;
}
