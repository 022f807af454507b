import { Either, Left, Right } from "purify-ts";
import { findHeaders, HeaderList } from "../http/index.js";
import { ResponseHead } from "../responseHead/index.js";

/** Where a body ends: after a number of bytes, after its last chunk, or with its connection. */
export type BodyFraming = number | "chunked" | "connection";

const LENGTH = /^\d{1,15}$/;
const CHUNKED = "chunked";
/** The statuses of final responses without a body, whatever their headers state. */
const STATUSES_WITHOUT_BODY: readonly number[] = [204, 304];

/**
 * Determines where the body of a response ends (RFC 9112, section 6.3).
 *
 * Prevents bytes from passing as a body that are not: the chunks of a coding that is not recognised, or bytes in a coding that nobody
 * decodes, since the header that names it is not passed on. Only `chunked` is supported.
 *
 * @param method - The method of the request.
 * @returns Left: why the response is malformed.
 * @example
 * const framing = readBodyFraming(head, "GET");
 */
export function readBodyFraming(
    { status, headers }: Pick<ResponseHead, "status" | "headers">,
    method: string,
): Either<string, BodyFraming> {
    if (method === "HEAD" || STATUSES_WITHOUT_BODY.includes(status)) return Right(0);
    const lengths = findHeaders(headers, "content-length");
    const codings = findCodings(headers);
    if (codings && lengths.length > 0) return Left("a length and a transfer coding");
    if (codings) return isChunkedAlone(codings) ? Right(CHUNKED) : Left("an unsupported transfer coding");
    if (lengths.length === 0) return Right("connection");
    if (lengths.length > 1) return Left("several lengths");
    return LENGTH.test(lengths[0]) ? Right(Number(lengths[0])) : Left("an invalid length");
}

/** Returns the transfer codings, without the empty elements that lists may have; undefined where no header states any. */
function findCodings(headers: HeaderList): string[] | undefined {
    const values = findHeaders(headers, "transfer-encoding");
    if (values.length === 0) return undefined;
    return values.flatMap(value => value.split(/[ \t]*,[ \t]*/)).filter(coding => coding !== "");
}

function isChunkedAlone(codings: readonly string[]): boolean {
    return codings.length === 1 && codings[0].toLowerCase() === CHUNKED;
}
