import { randomBytes } from "node:crypto";
import { Random } from "../random/index.js";

/**
 * Random numbers from Node, and random bytes from the operating system.
 *
 * @example
 * const key = new SystemRandom().id();
 */
export class SystemRandom extends Random {
    next(): number {
        return Math.random();
    }

    bytes(size: number): Uint8Array {
        return randomBytes(size);
    }
}
