import { Random, SeededRandom } from "../../ports/index.js";

const SKIPPED_NUMBERS = 32;

/**
 * Makes a random generator. The first numbers of similar seeds are similar, and are skipped.
 *
 * @example
 * const random = makeRandom(42);
 */
export function makeRandom(seed: number): Random {
    const random = new SeededRandom(seed);
    random.bytes(SKIPPED_NUMBERS);
    return random;
}
