/**
 * The only source of chance.
 *
 * @example
 * const delayMs = random.between(50, 100);
 */
export abstract class Random {
    /** A number in [0, 1). */
    abstract next(): number;

    /**
     * Random bytes.
     *
     * @param size - How many.
     */
    abstract bytes(size: number): Uint8Array;

    /** A number in [low, high). */
    between(low: number, high: number): number {
        return low + (high - low) * this.next();
    }

    /** A whole number in [low, high). */
    integer(low: number, high: number): number {
        return Math.floor(this.between(low, high));
    }

    /** One of the items, each as likely. */
    pick<Item>(items: readonly Item[]): Item {
        return items[this.integer(0, items.length)];
    }

    /** A new id of 16 random bytes, in hex. */
    id(): string {
        return Buffer.from(this.bytes(16)).toString("hex");
    }
}
