const EMPTY = Buffer.alloc(0);
const MIN_CAPACITY_BYTES = 1_024;

/**
 * Bytes that arrive in pieces: appended at the end, taken from the beginning.
 *
 * However small the pieces are, the time is proportional to the number of bytes, and so is the memory. A list of pieces that each
 * have one byte takes about a hundred times as much.
 *
 * @example
 * buffer.append(chunk);
 * if (buffer.length >= HEADER_BYTES) handle(buffer.take(HEADER_BYTES));
 */
export class ByteBuffer {
    private storage: Buffer = EMPTY;
    private start = 0;
    private end = 0;

    /** Number of bytes held. */
    get length(): number {
        return this.end - this.start;
    }

    /** Adds a copy of some bytes. */
    append(bytes: Uint8Array): void {
        if (bytes.length > this.storage.length - this.end) this.grow(bytes.length);
        this.storage.set(bytes, this.end);
        this.end += bytes.length;
    }

    /** Returns all bytes held, which stay. */
    view(): Buffer {
        return this.storage.subarray(this.start, this.end);
    }

    /** Removes and returns bytes from the beginning. */
    take(count = this.length): Buffer {
        const taken = this.storage.subarray(this.start, Math.min(this.end, this.start + count));
        this.start += taken.length;
        if (this.length === 0) this.clear();
        return taken;
    }

    private clear(): void {
        this.storage = EMPTY;
        this.start = 0;
        this.end = 0;
    }

    /** Moves the bytes to a larger storage. The old one is never written again: bytes that were taken may still be in use. */
    private grow(count: number): void {
        const held = this.view();
        const storage = Buffer.allocUnsafeSlow(
            Math.max(MIN_CAPACITY_BYTES, held.length + Math.max(count, held.length)),
        );
        held.copy(storage);
        this.storage = storage;
        this.start = 0;
        this.end = held.length;
    }
}
