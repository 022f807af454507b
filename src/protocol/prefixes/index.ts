import { createHash } from "node:crypto";

/** How many characters of prompt one cache block holds. */
export const PREFIX_BLOCK_CHARACTERS = 256;
/** How many tokens one cache block holds. */
export const PREFIX_BLOCK_TOKENS = 64;
const HASH_CHARACTERS = 16;

/** The part of a chat message that prefix names are made of. */
export interface PrefixMessage {
    readonly role: string;
    readonly content: string;
}

/**
 * The names that cache events give to a prompt's prefixes. The prompt is the text of each message, `role\ncontent\n`,
 * one after the other; the prefix of n blocks is named by the first 16 hex digits of SHA-256 over the name of the
 * prefix of n - 1 blocks followed by the n-th block. A last block that is not full has no name.
 *
 * @param prompt - The messages as the engine gets them.
 * @param most - How many names to make at the most.
 * @returns The names, the shortest prefix first.
 * @example
 * hashPrefixes([{ role: "user", content: "What is 2 + 2?" }]); // []
 */
export function hashPrefixes(prompt: readonly PrefixMessage[], most = Number.POSITIVE_INFINITY): string[] {
    const text = prompt.map(({ role, content }) => `${role}\n${content}\n`).join("");
    const names: string[] = [];
    for (let end = PREFIX_BLOCK_CHARACTERS; end <= text.length && names.length < most; end += PREFIX_BLOCK_CHARACTERS) {
        const block = text.slice(end - PREFIX_BLOCK_CHARACTERS, end);
        const parent = names.length > 0 ? names[names.length - 1] : "";
        names.push(createHash("sha256").update(parent + block).digest("hex").slice(0, HASH_CHARACTERS));
    }
    return names;
}
