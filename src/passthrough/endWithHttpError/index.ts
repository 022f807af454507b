import { HttpError } from "../../ports/index.js";
import { PathError } from "../../upstream/index.js";
import { AttemptResult } from "../attempt/index.js";
import { AttemptEnd } from "../nextStep/index.js";

/**
 * Creates the result of an attempt that ended with a connection error.
 *
 * @param end - How the attempt ended.
 * @param err - The error of the HTTP client.
 * @example
 * catch (err) {
 *     return endWithHttpError("lost", err as HttpError);
 * }
 */
export function endWithHttpError(end: AttemptEnd, err: HttpError): AttemptResult {
    const isPathFailure = err instanceof PathError;
    const connectionEnded = err.reason === "closed" && !isPathFailure;
    const isUnsendable = err.reason === "malformed" && !err.mayHaveBeenSent && !isPathFailure;
    return { kind: "ended", end, detail: err.message, connectionEnded, isPathFailure, isUnsendable };
}
