/**
 * Generates the answers of emulated engines. Text and length depend on the prompt alone, so that any engine can resume an
 * answer that another one began, and the load tool can check a whole answer token by token.
 */
import { createHash } from "node:crypto";

/** Fields of a chat message that determine the answer. */
export interface PromptMessage {
    readonly role: string;
    readonly content: string;
}

const VOCABULARY = [
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
const LENGTH_HINT_PATTERN = /\[tokens=(\d{1,6})\]/;
const DEFAULT_MEAN_ANSWER_TOKENS = 60;
const CHARACTERS_PER_TOKEN = 4;
const TOKENS_PER_MESSAGE = 4;
const UINT32_RANGE = 2 ** 32;

/**
 * Derives the seed of an answer's text and length from the prompt.
 *
 * @param prompt - Messages of the request.
 * @returns An unsigned 32-bit integer.
 */
export function answerSeed(prompt: readonly PromptMessage[]): number {
    const hash = createHash("sha256");
    for (const { role, content } of prompt) hash.update(`${role}\n${content}\n`);
    return hash.digest().readUInt32LE(0);
}

/**
 * Returns one token of an answer. Its text contains the offset, which makes duplicate and missing tokens detectable.
 *
 * @param seed - From `answerSeed`.
 * @param offset - Offset of the token in the answer, from 0.
 * @example
 * answerToken(7, 0); // "drum0 "
 */
export function answerToken(seed: number, offset: number): string {
    const hash = Math.imul(seed ^ Math.imul(offset + 1, 0x9e3779b1), 0x85ebca6b) >>> 0;
    return `${VOCABULARY[(hash >>> 16) % VOCABULARY.length]}${offset} `;
}

/**
 * Returns the number of tokens that an engine produces without a token limit: N of a `[tokens=N]` hint in the last
 * message, otherwise a number from an exponential distribution, determined by the prompt's seed.
 *
 * @param prompt - Messages of the request.
 * @param meanTokens - Mean of the distribution, in tokens.
 * @returns At least 1.
 */
export function answerLength(prompt: readonly PromptMessage[], meanTokens = DEFAULT_MEAN_ANSWER_TOKENS): number {
    const hint = LENGTH_HINT_PATTERN.exec(prompt[prompt.length - 1].content);
    if (hint) return Math.max(1, Number(hint[1]));
    const uniform = (answerSeed(prompt) + 0.5) / UINT32_RANGE;
    return 1 + Math.floor(-Math.log(uniform) * meanTokens);
}

/**
 * Returns the complete text that a caller must receive for a prompt.
 *
 * @param prompt - Messages that the caller sent.
 * @param tokens - Number of tokens of the answer.
 * @example
 * expectedAnswer([{ role: "user", content: "Cuts for Friday [tokens=12]" }], 12);
 */
export function expectedAnswer(prompt: readonly PromptMessage[], tokens: number): string {
    const seed = answerSeed(prompt);
    return Array.from({ length: tokens }, (_, offset) => answerToken(seed, offset)).join("");
}

/**
 * Counts the tokens of a prompt.
 *
 * @param prompt - Messages of the request.
 */
export function countPromptTokens(prompt: readonly PromptMessage[]): number {
    return prompt.reduce(
        (sum, { content }) => sum + TOKENS_PER_MESSAGE + Math.ceil(content.length / CHARACTERS_PER_TOKEN),
        0,
    );
}
