import { createHash } from "node:crypto";

/** Number of prompt characters in a cache block. */
export const PREFIX_BLOCK_CHARACTERS = 256;
/** Number of tokens in a cache block. */
export const PREFIX_BLOCK_TOKENS = 64;
const HASH_HEX_DIGITS = 16;

/** Fields of a chat message that prefix hashes cover. */
export interface PrefixMessage {
    readonly role: string;
    readonly content: string;
}

/**
 * Returns the hashes that identify a prompt's prefixes in cache events. The prompt text is the concatenation of each message
 * as `role\ncontent\n`. The hash of the prefix of n blocks is the first 16 hex digits of SHA-256 over the hash of the prefix
 * of n - 1 blocks followed by the n-th block. An incomplete last block has no hash.
 *
 * @param prompt - The messages as the engine gets them.
 * @param maxCount - Maximum number of hashes.
 * @returns The hashes, the shortest prefix first.
 * @example
 * hashPrefixes([{ role: "user", content: "What is 2 + 2?" }]); // []
 */
export function hashPrefixes(prompt: readonly PrefixMessage[], maxCount = Number.POSITIVE_INFINITY): string[] {
    const text = prompt.map(({ role, content }) => `${role}\n${content}\n`).join("");
    const hashes: string[] = [];
    for (
        let end = PREFIX_BLOCK_CHARACTERS;
        end <= text.length && hashes.length < maxCount;
        end += PREFIX_BLOCK_CHARACTERS
    ) {
        const block = text.slice(end - PREFIX_BLOCK_CHARACTERS, end);
        const parentHash = hashes.length > 0 ? hashes[hashes.length - 1] : "";
        hashes.push(createHash("sha256").update(parentHash + block).digest("hex").slice(0, HASH_HEX_DIGITS));
    }
    return hashes;
}
