/**
 * The only source of randomness in the system.
 *
 * @example
 * const delayMs = random.between(50, 100);
 */
export abstract class Random {
    /** Returns a number in [0, 1). */
    abstract next(): number;

    /**
     * Returns random bytes.
     *
     * @param size - The number of bytes.
     */
    abstract bytes(size: number): Uint8Array;

    /** Returns a number in [low, high). */
    between(low: number, high: number): number {
        return low + (high - low) * this.next();
    }

    /** Returns an integer in [low, high). */
    integer(low: number, high: number): number {
        return Math.floor(this.between(low, high));
    }

    /** Returns one of the items, with equal probability. */
    pick<Item>(items: readonly Item[]): Item {
        return items[this.integer(0, items.length)];
    }

    /** Returns a new id of 16 random bytes, in hex. */
    id(): string {
        return Buffer.from(this.bytes(16)).toString("hex");
    }
}
