import { HttpError } from "../../ports/index.js";

/** What is known, after one send of a request, of whether the upstream runs it. */
export type Execution =
    /** No byte of it can have been sent. */
    | "never-sent"
    /** The upstream states of this send that it has not run the request and will not. */
    | "rejected"
    /** It may have run, may be running, or may still run. */
    | "unknown";

/**
 * Decides what a failure to get an answer proves.
 *
 * @example
 * if (judgeFailure(err) === "unknown") return endAsLost(err);
 */
export function judgeFailure({ mayHaveBeenSent }: HttpError): Execution {
    return mayHaveBeenSent ? "unknown" : "never-sent";
}
