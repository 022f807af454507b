/** Writes bytes somewhere, perhaps fewer than asked for, and says how many. */
export type WriteBytes = (bytes: Uint8Array, done: (err: Error | undefined, written: number) => void) => void;

/** What is held back at most while the far end does not take it, in bytes. */
const MOST_HELD_BYTES = 256 * 1024;
/** How long to wait before a write that was refused is tried again, in milliseconds. */
const RETRY_MS = 20;

/**
 * Takes lines without ever blocking their writer.
 *
 * Guards against a process that stands still since nobody reads its log: lines wait in memory up to a bound, beyond it they are
 * dropped, and a line says how many.
 *
 * @example
 * const output = new BoundedOutput(writeToStdout, later);
 * output.write("{\"event\":\"ready\"}");
 */
export class BoundedOutput {
    private held: Buffer[] = [];
    private heldBytes = 0;
    private dropped = 0;
    private isWriting = false;

    /**
     * @param writeBytes - Where the lines go.
     * @param later - Calls back after some milliseconds.
     */
    constructor(
        private readonly writeBytes: WriteBytes,
        private readonly later: (ms: number, callback: () => void) => void,
    ) {}

    /** Takes one line, without its end. */
    write(line: string): void {
        const bytes = Buffer.from(`${line}\n`);
        if (this.heldBytes + bytes.length > MOST_HELD_BYTES) {
            this.dropped++;
            return;
        }
        this.hold(bytes);
        if (!this.isWriting) this.flush();
    }

    private hold(bytes: Buffer): void {
        this.held.push(bytes);
        this.heldBytes += bytes.length;
    }

    private flush(): void {
        if (this.dropped > 0) {
            this.hold(Buffer.from(`${JSON.stringify({ event: "log-lines-dropped", count: this.dropped })}\n`));
            this.dropped = 0;
        }
        if (this.held.length === 0) {
            this.isWriting = false;
            return;
        }
        this.isWriting = true;
        const bytes = Buffer.concat(this.held);
        this.held = [];
        this.writeBytes(bytes, (err, written) => this.takeWritten(bytes, err, written));
    }

    private takeWritten(bytes: Buffer, err: Error | undefined, written: number): void {
        const rest = bytes.subarray(err ? 0 : written);
        this.heldBytes -= bytes.length - rest.length;
        if (rest.length > 0) this.held.unshift(rest);
        if (err) this.later(RETRY_MS, () => this.flush());
        else this.flush();
    }
}
