const LF = 0x0a;
const CR = 0x0d;
const EMPTY = Buffer.alloc(0);
const ID_FIELD = /^id: ?(.*)$/m;

/** Whole events, as the upstream wrote them. */
export interface ScannedEvents {
    readonly bytes: Uint8Array;
    readonly count: number;
    /** The id of the last of them that has one. */
    readonly lastId: string | undefined;
}

/**
 * Cuts a stream of server-sent events into whole events.
 *
 * Guards against a stream that is joined in the middle of an event: an upstream may break off anywhere, and the next one begins
 * with a whole event. What comes after the last whole event is held back until its end has come.
 *
 * @example
 * const events = scanner.push(chunk);
 * if (events.count > 0) await res.write(events.bytes);
 */
export class EventScanner {
    private tail: Buffer = EMPTY;

    /** Whether part of an event is held back. */
    get hasTail(): boolean {
        return this.tail.length > 0;
    }

    /** Takes bytes in, and gives the events that are whole by now. */
    push(chunk: Uint8Array): ScannedEvents {
        const bytes = this.tail.length === 0
            ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length)
            : Buffer.concat([
                this.tail,
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
        this.tail = start === bytes.length ? EMPTY : Buffer.from(bytes.subarray(start));
        return { bytes: bytes.subarray(0, start), count, lastId };
    }

    /** Gives up what is held back, for a stream whose last event has no empty line behind it. */
    takeTail(): Uint8Array {
        const { tail } = this;
        this.tail = EMPTY;
        return tail;
    }
}

/** Where the event that begins at `start` ends, behind its empty line; -1 when it is not whole. */
function findEventEnd(bytes: Buffer, start: number): number {
    let lineStart = start;
    for (;;) {
        const at = bytes.indexOf(LF, lineStart);
        if (at < 0) return -1;
        const lineEnd = at > lineStart && bytes[at - 1] === CR ? at - 1 : at;
        if (lineEnd === lineStart && lineStart > start) return at + 1;
        lineStart = at + 1;
    }
}
