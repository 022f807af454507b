import { createHash } from "node:crypto";

/** How many prefixes of a prompt are told apart; the rest of a long chat adds nothing to the choice of an upstream. */
const MOST_PREFIXES = 16;
const HASH_DIGITS = 16;

/**
 * Names the prefixes of a prompt, the shortest first: one after each message.
 *
 * @param contents - The messages' texts.
 * @returns 16 hex digits each. Two prompts share a name as far as their messages are the same.
 * @example
 * hashPrefixes(["You answer briefly.", "What is 2 + 2?"]);
 */
export function hashPrefixes(contents: readonly string[]): string[] {
    const hash = createHash("sha256");
    return contents.slice(0, MOST_PREFIXES).map(content => {
        hash.update(`${content.length}:`).update(content);
        return hash.copy().digest("hex").slice(0, HASH_DIGITS);
    });
}
