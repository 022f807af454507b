import { createHash } from "node:crypto";
import type { KeyHash } from "../../ids/index.js";
import type { Random } from "../../ports/index.js";

const KEY_BYTES = 16;
const KEY_PREFIX = "sqx_";

/**
 * Makes a key. It is shown to the operator once and kept nowhere.
 *
 * @param random - A source fit for secrets.
 * @returns The key, as callers send it: `sqx_` and 32 hex digits, so that one that stands in the wrong place is found.
 */
export function createKey(random: Random): string {
    return KEY_PREFIX + Buffer.from(random.bytes(KEY_BYTES)).toString("hex");
}

/**
 * The form in which a key is kept and compared: SHA-256, in hex.
 *
 * @example
 * cache.findByKey(hashKey(bearerToken));
 */
export function hashKey(key: string): KeyHash {
    return createHash("sha256").update(key.toLowerCase()).digest("hex") as KeyHash;
}
