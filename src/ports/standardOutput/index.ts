import { write } from "node:fs";

const STANDARD_OUTPUT = 1;

/**
 * Writes to the standard output off the event loop.
 *
 * @param done - Told how many bytes were taken, or why none were.
 * @example
 * writeToStandardOutput(Buffer.from("ready\n"), () => undefined);
 */
export function writeToStandardOutput(
    bytes: Uint8Array,
    done: (err: Error | undefined, written: number) => void,
): void {
    write(STANDARD_OUTPUT, bytes, (err, written) => done(err ?? undefined, written));
}
