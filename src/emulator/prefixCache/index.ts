import { CacheEvents } from "../../protocol/index.js";

type CacheEvent = CacheEvents["events"][number];

/** Told of each prefix that enters or leaves. */
export type CacheListener = (event: CacheEvent) => void;

/**
 * An engine's bounded cache of prompt prefixes; the block used longest ago leaves first.
 *
 * @example
 * const cache = new PrefixCache(512, event => feed.add(event));
 * const cachedBlocks = cache.use(hashPrefixes(messages));
 */
export class PrefixCache {
    /** Oldest use first: a Map keeps the order in which its entries were set. */
    private readonly blocks = new Map<string, true>();

    /**
     * @param capacity - How many blocks fit.
     * @param listener - Told of each change.
     */
    constructor(private readonly capacity: number, private readonly listener: CacheListener) {}

    /** How many blocks are held. */
    get size(): number {
        return this.blocks.size;
    }

    /**
     * Looks a prompt up, then keeps all of its prefixes.
     *
     * @param prefixes - The prompt's prefixes, the shortest first.
     * @returns How many of them, from the shortest on, were held before.
     */
    use(prefixes: readonly string[]): number {
        const missing = prefixes.findIndex(prefix => !this.blocks.has(prefix));
        const held = missing < 0 ? prefixes.length : missing;
        this.keep(prefixes);
        return held;
    }

    /** Keeps prefixes as the ones used last. */
    keep(prefixes: readonly string[]): void {
        // The longest is touched first, so that it also leaves first: a block without its parent is of no use.
        for (const prefix of [...prefixes].reverse()) {
            const isNew = !this.blocks.delete(prefix);
            this.blocks.set(prefix, true);
            if (isNew) this.listener({ kind: "stored", prefix });
        }
        this.evictSurplus();
    }

    private evictSurplus(): void {
        while (this.blocks.size > this.capacity) {
            const oldest: string = this.blocks.keys().next().value!;
            this.blocks.delete(oldest);
            this.listener({ kind: "evicted", prefix: oldest });
        }
    }
}
