import { Either, Left, Right } from "purify-ts";
import { KeyHash } from "../../ids/index.js";
import { findHeader, HttpRequest } from "../../ports/index.js";
import { hashKey } from "../../workspace/index.js";
import { CallerError } from "../callerError/index.js";

/** The form of a key: `sqx_` and 32 hex digits. */
const KEY_PATTERN = /sqx_[0-9a-f]{32}/i;
const BEARER_PATTERN = /^Bearer[ ]+(sqx_[0-9a-f]{32})$/i;

/** A key as a caller presented it. Never logged, never sent on. */
export interface PresentedKey {
    readonly text: string;
    readonly hash: KeyHash;
}

/**
 * Reads the key from `Authorization: Bearer …`, the only place where it may stand.
 *
 * @returns The key, or 401 without one, 400 where one stands in the path, in the query or twice.
 */
export function readKey(req: HttpRequest): Either<CallerError, PresentedKey> {
    if (hasKey(req.path)) return Left(misplacedKey("path or query"));
    const given = req.headers.filter(([name]) => name === "authorization");
    if (given.length > 1) return Left(new CallerError(400, "key-ambiguous", "more than one Authorization header"));
    const match = BEARER_PATTERN.exec(findHeader(req.headers, "authorization")?.trim() ?? "");
    if (!match) return Left(new CallerError(401, "key-missing", "send the key as Authorization: Bearer sqx_…"));
    const text = match[1].toLowerCase();
    return Right({ text, hash: hashKey(text) });
}

/**
 * Refuses content that carries the caller's key.
 *
 * Guards against a key that leaks to an upstream inside a body: a client library that copies its settings into the
 * request does this unnoticed. Headers need no such check, since only listed ones are sent on.
 *
 * @param content - What would be sent to an upstream.
 */
export function refuseKeyInContent(content: string, key: PresentedKey): Either<CallerError, string> {
    const lower = content.toLowerCase();
    if (lower.includes(key.text) || decodePercent(lower).includes(key.text)) return Left(misplacedKey("body"));
    return Right(content);
}

function hasKey(text: string): boolean {
    return KEY_PATTERN.test(text) || KEY_PATTERN.test(decodePercent(text));
}

function misplacedKey(place: string): CallerError {
    return new CallerError(400, "key-misplaced", `a key stands in the ${place}; withdraw it, it may have been logged`);
}

/** Decodes `%xx` twice over, leaving what is no such code alone. */
function decodePercent(text: string): string {
    const decode = (part: string): string =>
        part.replace(/%([0-9a-f]{2})/gi, (_, hex) => String.fromCharCode(parseInt(hex, 16)));
    return decode(decode(text));
}
