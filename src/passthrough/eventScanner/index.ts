const LF = 0x0a;
const CR = 0x0d;
const EMPTY = Buffer.alloc(0);
const ID_FIELD = /^id: ?(.*)$/m;

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
    private partialEvent: Buffer = EMPTY;

    /** Whether an incomplete event is held back. */
    get hasPartialEvent(): boolean {
        return this.partialEvent.length > 0;
    }

    /** Adds received bytes and returns the events that are complete now. */
    push(chunk: Uint8Array): ScannedEvents {
        const bytes = this.partialEvent.length === 0
            ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length)
            : Buffer.concat([
                this.partialEvent,
                chunk,
            ]);
        let start = 0;
        let count = 0;
        let lastId: string | undefined;
        for (let end = findEventEnd(bytes, 0); end >= 0; end = findEventEnd(bytes, start)) {
            const id = ID_FIELD.exec(bytes.toString("latin1", start, end))?.[1].trimEnd();
            lastId = id ?? lastId;
            start = end;
            count++;
        }
        this.partialEvent = start === bytes.length ? EMPTY : Buffer.from(bytes.subarray(start));
        return { bytes: bytes.subarray(0, start), count, lastId };
    }

    /** Removes and returns the held-back bytes, for a stream whose last event has no empty line after it. */
    takePartialEvent(): Uint8Array {
        const { partialEvent } = this;
        this.partialEvent = EMPTY;
        return partialEvent;
    }
}

/** Returns the offset after the empty line that ends the event at `start`; -1 when the event is incomplete. */
function findEventEnd(bytes: Buffer, start: number): number {
    let lineStart = start;
    for (;;) {
        const lineFeedAt = bytes.indexOf(LF, lineStart);
        if (lineFeedAt < 0) return -1;
        const lineEnd = lineFeedAt > lineStart && bytes[lineFeedAt - 1] === CR ? lineFeedAt - 1 : lineFeedAt;
        if (lineEnd === lineStart && lineStart > start) return lineFeedAt + 1;
        lineStart = lineFeedAt + 1;
    }
}
