import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Random } from "../random/index.js";

/**
 * Deterministic pseudorandom numbers: equal seeds produce equal sequences.
 *
 * @example
 * const random = new SeededRandom(42);
 */
export class SeededRandom extends Random {
    private readonly generator;

    /** @param seed - An integer. */
    constructor(seed: number) {
        super();
        this.generator = xoroshiro128plus(seed);
    }

    next(): number {
        return uniformFloat64(this.generator);
    }

    bytes(size: number): Uint8Array {
        return Uint8Array.from({ length: size }, () => uniformInt(this.generator, 0, 255));
    }
}
