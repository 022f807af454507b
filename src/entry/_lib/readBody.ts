import { Either } from "purify-ts";
import { BodyError, HttpRequest } from "../../ports/index.js";
import { CallerError } from "../callerError/index.js";

/** Retry delay of requests that callers' budget has no room for, in milliseconds. */
const NO_ROOM_RETRY_MS = 1_000;

/** Reads a request's body; maps a body error to the `CallerError` that the caller receives. */
export async function readBody(req: HttpRequest, limitBytes: number): Promise<Either<CallerError, Uint8Array>> {
    return (await req.body(limitBytes)).mapLeft(err => toCallerError(err, limitBytes));
}

function toCallerError(err: BodyError, limitBytes: number): CallerError {
    if (err.reason === "too-large") {
        return new CallerError(413, "body-too-large", `the body has more than ${limitBytes} bytes`);
    }
    if (err.reason === "over-capacity") {
        const message = "this host holds as much for callers as it may";
        return new CallerError(503, "over-capacity", message, "not-run", NO_ROOM_RETRY_MS);
    }
    return new CallerError(408, "body-incomplete", "the body did not come whole");
}
