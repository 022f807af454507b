import { UpstreamId } from "../../ids/index.js";

/** A part of a prompt that other prompts may begin with too. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** Tokens that an upstream's memory is assumed to take where nothing says so. */
const DEFAULT_CAPACITY = 400_000;
/** The share of the memory that is counted on for parts at rest: running requests have the rest. */
const RESTING_SHARE = 0.75;

interface Holding {
    /** Tokens by part, the longest unused first. */
    readonly parts: Map<string, number>;
    tokens: number;
}

/**
 * Which parts of prompts each upstream probably holds: what was sent there, less what must have yielded since. The longest unused
 * part yields first, as in the upstreams themselves.
 *
 * @example
 * cache.use(parts, upstream);
 * cache.heldTokens(parts, upstream); // tokens that need not be read again
 */
export class PromptCache {
    private readonly holdings = new Map<UpstreamId, Holding>();

    /** @param capacity - How many tokens an upstream's memory takes; undefined where that is not known. */
    constructor(private readonly capacity: () => number | undefined) {}

    /** Tokens of the leading parts that the upstream holds: a part counts only behind others that are held. */
    heldTokens(parts: readonly PromptPart[], upstream: UpstreamId): number {
        const held = this.holdings.get(upstream)?.parts;
        if (!held) return 0;
        let tokens = 0;
        for (const part of parts) {
            if (!held.has(part.id)) return tokens;
            tokens += part.tokens;
        }
        return tokens;
    }

    /** A prompt with these parts went to the upstream. */
    use(parts: readonly PromptPart[], upstream: UpstreamId): void {
        const holding = this.holdings.get(upstream) ?? { parts: new Map<string, number>(), tokens: 0 };
        this.holdings.set(upstream, holding);
        // The last part is touched first, so that of one prompt the leading parts yield last.
        for (const { id, tokens } of [...parts].reverse()) {
            holding.tokens += tokens - (holding.parts.get(id) ?? 0);
            holding.parts.delete(id);
            holding.parts.set(id, tokens);
        }
        this.evict(holding);
    }

    /** The upstream says that it holds these parts: what was sent there before counts as used later. */
    learn(parts: readonly PromptPart[], upstream: UpstreamId): void {
        const sent = this.holdings.get(upstream)?.parts ?? new Map<string, number>();
        this.holdings.delete(upstream);
        this.use(parts, upstream);
        const longestUnusedLast = [...sent].map(([id, tokens]) => ({ id, tokens })).reverse();
        this.use(longestUnusedLast, upstream);
    }

    /** Forgets an upstream that has ended. */
    forget(upstream: UpstreamId): void {
        this.holdings.delete(upstream);
    }

    private evict(holding: Holding): void {
        const most = RESTING_SHARE * (this.capacity() ?? DEFAULT_CAPACITY);
        for (const [id, tokens] of holding.parts) {
            if (holding.tokens <= most) return;
            holding.parts.delete(id);
            holding.tokens -= tokens;
        }
    }
}
