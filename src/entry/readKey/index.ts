import { Either, Left, Right } from "purify-ts";
import { KeyHash } from "../../ids/index.js";
import { findHeader, HttpRequest } from "../../ports/index.js";
import { hashKey } from "../../workspace/index.js";
import { CallerError } from "../callerError/index.js";

/** Format of a key: `sqx_` and 32 hex digits. */
const KEY_PATTERN = /sqx_[0-9a-f]{32}/i;
const BEARER_PATTERN = /^Bearer[ ]+(sqx_[0-9a-f]{32})$/i;

/** A key as a caller presented it. It must never be logged or forwarded. */
export interface PresentedKey {
    readonly text: string;
    readonly hash: KeyHash;
}

/**
 * Reads the key from `Authorization: Bearer …`, the only place where it may be sent.
 *
 * @returns The key; an error with status 401 without a key, and 400 where one is in the path or the query or there are several
 * Authorization headers.
 */
export function readKey(req: HttpRequest): Either<CallerError, PresentedKey> {
    if (containsKey(req.path)) return Left(misplacedKeyError("path or query"));
    const given = req.headers.filter(([name]) => name === "authorization");
    if (given.length > 1) return Left(new CallerError(400, "key-ambiguous", "more than one Authorization header"));
    const match = BEARER_PATTERN.exec(findHeader(req.headers, "authorization")?.trim() ?? "");
    if (!match) return Left(new CallerError(401, "key-missing", "send the key as Authorization: Bearer sqx_…"));
    const text = match[1].toLowerCase();
    return Right({ text, hash: hashKey(text) });
}

/**
 * Refuses content that contains the caller's key.
 *
 * Prevents a key from leaking to an upstream in a body, as happens unnoticed with a client library that copies its settings
 * into the request. Headers need no such check, since only listed ones are forwarded.
 *
 * @param content - Content that would be sent to an upstream.
 */
export function refuseKeyInContent(content: string, key: PresentedKey): Either<CallerError, string> {
    const lower = content.toLowerCase();
    if (lower.includes(key.text) || decodePercent(lower).includes(key.text)) return Left(misplacedKeyError("body"));
    return Right(content);
}

function containsKey(text: string): boolean {
    return KEY_PATTERN.test(text) || KEY_PATTERN.test(decodePercent(text));
}

function misplacedKeyError(place: string): CallerError {
    return new CallerError(400, "key-misplaced", `a key stands in the ${place}; withdraw it, it may have been logged`);
}

/** Decodes percent-encoding twice; leaves invalid sequences unchanged. */
function decodePercent(text: string): string {
    const decode = (part: string): string =>
        part.replace(/%([0-9a-f]{2})/gi, (_, hex) => String.fromCharCode(parseInt(hex, 16)));
    return decode(decode(text));
}
