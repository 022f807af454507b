import { CacheEvents } from "../../protocol/index.js";

type CacheEvent = CacheEvents["events"][number];

/** Called for each prefix that is stored or evicted. */
export type CacheListener = (event: CacheEvent) => void;

/**
 * An engine's bounded cache of prompt prefixes; the least recently used block is evicted first.
 *
 * @example
 * const cache = new PrefixCache(512, event => feed.add(event));
 * const cachedBlocks = cache.use(hashPrefixes(messages));
 */
export class PrefixCache {
    /** Least recently used first: a Map keeps the insertion order of its entries. */
    private readonly blocks = new Map<string, true>();

    /**
     * @param capacity - Maximum number of blocks.
     * @param listener - Called for each change.
     */
    constructor(private readonly capacity: number, private readonly listener: CacheListener) {}

    /** Number of cached blocks. */
    get size(): number {
        return this.blocks.size;
    }

    /**
     * Looks up a prompt's prefixes, then caches all of them.
     *
     * @param prefixes - Prefixes of the prompt, shortest first.
     * @returns Number of leading prefixes that were cached before.
     */
    use(prefixes: readonly string[]): number {
        const firstMissing = prefixes.findIndex(prefix => !this.blocks.has(prefix));
        const cachedCount = firstMissing < 0 ? prefixes.length : firstMissing;
        this.keep(prefixes);
        return cachedCount;
    }

    /** Caches prefixes and marks them as the most recently used. */
    keep(prefixes: readonly string[]): void {
        // The longest prefix is touched first, so that it is also evicted first: a block is useless without its parent.
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
