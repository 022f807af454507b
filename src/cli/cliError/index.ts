/** Exit code of a command that failed. */
export const EXIT_FAILED = 1;
/** Exit code for an invalid command line. */
export const EXIT_USAGE = 2;

/** A failure that is reported to the operator in one line. */
export class CliError extends Error {
    /** @param exitCode - Exit code of the process. */
    constructor(message: string, readonly exitCode: number = EXIT_FAILED) {
        super(message);
    }
}
