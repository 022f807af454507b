/** Writes bytes, possibly only a part of them, and calls `done` with the number written or an error. */
export type WriteBytes = (bytes: Uint8Array, done: (err: Error | undefined, written: number) => void) => void;

/** Maximum number of bytes buffered while the output does not accept them. */
const MAX_BUFFERED_BYTES = 256 * 1024;
/** Delay before a failed write is retried. */
const RETRY_DELAY_MS = 20;

/**
 * Output for lines that never blocks the writer.
 *
 * Prevents a process from stalling when its log is not read: lines are buffered up to a limit, and dropped beyond it. A line
 * then reports the number of dropped lines.
 *
 * @example
 * const output = new BoundedOutput(writeToStandardOutput, schedule);
 * output.write("{\"event\":\"ready\"}");
 */
export class BoundedOutput {
    private buffered: Buffer[] = [];
    private bufferedBytes = 0;
    private droppedLines = 0;
    private isWriting = false;

    /**
     * @param writeBytes - Writes to the underlying output.
     * @param schedule - Calls a function after a delay in milliseconds.
     */
    constructor(
        private readonly writeBytes: WriteBytes,
        private readonly schedule: (ms: number, callback: () => void) => void,
    ) {}

    /** Writes one line, passed without its line break. */
    write(line: string): void {
        const bytes = Buffer.from(`${line}\n`);
        if (this.bufferedBytes + bytes.length > MAX_BUFFERED_BYTES) {
            this.droppedLines++;
            return;
        }
        this.buffer(bytes);
        if (!this.isWriting) this.flush();
    }

    private buffer(bytes: Buffer): void {
        this.buffered.push(bytes);
        this.bufferedBytes += bytes.length;
    }

    private flush(): void {
        if (this.droppedLines > 0) {
            this.buffer(Buffer.from(`${JSON.stringify({ event: "log-lines-dropped", count: this.droppedLines })}\n`));
            this.droppedLines = 0;
        }
        if (this.buffered.length === 0) {
            this.isWriting = false;
            return;
        }
        this.isWriting = true;
        const bytes = Buffer.concat(this.buffered);
        this.buffered = [];
        this.writeBytes(bytes, (err, written) => this.handleWritten(bytes, err, written));
    }

    private handleWritten(bytes: Buffer, err: Error | undefined, written: number): void {
        const unwritten = bytes.subarray(err ? 0 : written);
        this.bufferedBytes -= bytes.length - unwritten.length;
        if (unwritten.length > 0) this.buffered.unshift(unwritten);
        if (err) this.schedule(RETRY_DELAY_MS, () => this.flush());
        else this.flush();
    }
}
