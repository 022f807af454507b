import { createHash } from "node:crypto";
import type { KeyHash } from "../../ids/index.js";
import type { Random } from "../../ports/index.js";

const KEY_BYTES = 32;
const KEY_PREFIX = "sqm-";

/**
 * Makes a key. It is shown to the operator once and kept nowhere.
 *
 * @param random - A source fit for secrets.
 * @returns The key, as callers send it.
 */
export function createKey(random: Random): string {
    return KEY_PREFIX + Buffer.from(random.bytes(KEY_BYTES)).toString("base64url");
}

/**
 * The form in which a key is kept and compared.
 *
 * @example
 * cache.findByKey(hashKey(bearerToken));
 */
export function hashKey(key: string): KeyHash {
    return createHash("sha256").update(key).digest("hex") as KeyHash;
}
