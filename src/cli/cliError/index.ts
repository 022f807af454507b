/** The command did what it could and failed. */
export const EXIT_FAILED = 1;
/** The command line itself is wrong. */
export const EXIT_USAGE = 2;

/** A failure that the operator gets as one line. */
export class CliError extends Error {
    /** @param exitCode - What the process ends with. */
    constructor(message: string, readonly exitCode: number = EXIT_FAILED) {
        super(message);
    }
}
