import { write } from "node:fs";

const STDOUT_FD = 1;

/**
 * Writes to standard output without blocking the event loop.
 *
 * @param done - Called with the number of bytes written, or with the error.
 * @example
 * writeToStandardOutput(Buffer.from("ready\n"), () => undefined);
 */
export function writeToStandardOutput(
    bytes: Uint8Array,
    done: (err: Error | undefined, written: number) => void,
): void {
    write(STDOUT_FD, bytes, (err, written) => done(err ?? undefined, written));
}
