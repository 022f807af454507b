/**
 * What a stand-in engine answers: text and length follow from the prompt alone, so that any engine can continue an
 * answer that another began, and the load tool can check a whole answer token for token.
 */
import { createHash } from "node:crypto";

/** The part of a chat message that decides the answer. */
export interface PromptMessage {
    readonly role: string;
    readonly content: string;
}

const WORDS = [
    "brine",
    "loin",
    "shank",
    "saddle",
    "fillet",
    "smoke",
    "salt",
    "curing",
    "order",
    "tray",
    "shelf",
    "knife",
    "chlorine",
    "buffer",
    "acid",
    "drum",
    "pallet",
    "valve",
    "gauge",
    "depot",
    "gate",
    "route",
    "tanker",
    "label",
    "litre",
    "kilo",
    "dozen",
    "batch",
    "check",
    "weigh",
    "seal",
    "store",
];
const LENGTH_HINT = /\[tokens=(\d{1,6})\]/;
const DEFAULT_MEAN_TOKENS = 60;
const CHARACTERS_PER_TOKEN = 4;
const TOKENS_PER_MESSAGE = 4;
const UINT32 = 2 ** 32;

/**
 * The number from which an answer's text and length follow.
 *
 * @param prompt - The messages as the engine gets them.
 * @returns A whole number below 2^32.
 */
export function answerSeed(prompt: readonly PromptMessage[]): number {
    const hash = createHash("sha256");
    for (const { role, content } of prompt) hash.update(`${role}\n${content}\n`);
    return hash.digest().readUInt32LE(0);
}

/**
 * One token of an answer. The text holds the token's number, so that a token given twice or left out shows.
 *
 * @param seed - From `answerSeed`.
 * @param offset - The token's number; the first has 0.
 * @example
 * answerToken(7, 0); // "drum0 "
 */
export function answerToken(seed: number, offset: number): string {
    const mixed = Math.imul(seed ^ Math.imul(offset + 1, 0x9e3779b1), 0x85ebca6b) >>> 0;
    return `${WORDS[(mixed >>> 16) % WORDS.length]}${offset} `;
}

/**
 * How many tokens an engine gives before it stops by itself: the number in a `[tokens=N]` hint in the last message,
 * else one drawn from an exponential distribution by the prompt's seed.
 *
 * @param prompt - The messages as the engine gets them.
 * @param meanTokens - The distribution's mean.
 * @returns At least 1.
 */
export function answerLength(prompt: readonly PromptMessage[], meanTokens = DEFAULT_MEAN_TOKENS): number {
    const hint = LENGTH_HINT.exec(prompt[prompt.length - 1].content);
    if (hint) return Math.max(1, Number(hint[1]));
    const uniform = (answerSeed(prompt) + 0.5) / UINT32;
    return 1 + Math.floor(-Math.log(uniform) * meanTokens);
}

/**
 * The whole text that a caller must get for a prompt.
 *
 * @param prompt - The messages that the caller sent.
 * @param tokens - How many tokens the answer has.
 * @example
 * expectedAnswer([{ role: "user", content: "Cuts for Friday [tokens=12]" }], 12);
 */
export function expectedAnswer(prompt: readonly PromptMessage[], tokens: number): string {
    const seed = answerSeed(prompt);
    return Array.from({ length: tokens }, (_, offset) => answerToken(seed, offset)).join("");
}

/**
 * How many tokens a prompt counts.
 *
 * @param prompt - The messages as the engine gets them.
 */
export function countPromptTokens(prompt: readonly PromptMessage[]): number {
    return prompt.reduce(
        (sum, { content }) => sum + TOKENS_PER_MESSAGE + Math.ceil(content.length / CHARACTERS_PER_TOKEN),
        0,
    );
}
