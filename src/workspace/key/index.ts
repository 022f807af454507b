import { createHash } from "node:crypto";
import type { KeyHash } from "../../ids/index.js";
import type { Random } from "../../ports/index.js";

const KEY_BYTES = 16;
const KEY_PREFIX = "sqx_";

/**
 * Creates an API key. It is shown to the operator once and stored nowhere.
 *
 * @param random - A cryptographically secure source.
 * @returns The key, as callers send it: `sqx_` and 32 hex digits; the prefix makes a leaked key easy to find.
 */
export function createKey(random: Random): string {
    return KEY_PREFIX + Buffer.from(random.bytes(KEY_BYTES)).toString("hex");
}

/**
 * Hashes a key for storage and comparison.
 *
 * @returns SHA-256 of the key in lower case, in hex.
 * @example
 * cache.findByKey(hashKey(bearerToken));
 */
export function hashKey(key: string): KeyHash {
    return createHash("sha256").update(key.toLowerCase()).digest("hex") as KeyHash;
}
