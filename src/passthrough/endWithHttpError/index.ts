import { HttpError } from "../../ports/index.js";
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
export function endWithHttpError(end: AttemptEnd, { message, reason }: HttpError): AttemptResult {
    return { kind: "ended", end, detail: message, connectionEnded: reason === "closed" };
}
