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

interface HeldPart {
    readonly tokens: number;
    /** When it was last sent there; monotonic, in milliseconds. */
    readonly usedAt: number;
    /** A prompt with it has shown its first token there, or the upstream says that it holds it. */
    readonly isRead: boolean;
}

interface Holding {
    /** By part, the longest unused first. */
    readonly parts: Map<string, HeldPart>;
    tokens: number;
}

/** What a part must be to count, beside being sent there. */
export interface HeldCondition {
    /** It has certainly been read. */
    readonly isRead: boolean;
    /** It was last used no earlier than this; monotonic, in milliseconds. */
    readonly usedAfter: number;
}

const ANY: HeldCondition = { isRead: false, usedAfter: Number.NEGATIVE_INFINITY };

/**
 * Which parts of prompts each upstream probably holds: what was sent there, less what must have yielded since. The longest unused
 * part yields first, as in the upstreams themselves.
 *
 * @example
 * cache.use(parts, upstream, now);
 * cache.heldTokens(parts, upstream); // tokens that need not be read again
 */
export class PromptCache {
    private readonly holdings = new Map<UpstreamId, Holding>();
    /** By part, the upstreams that hold it. */
    private readonly holders = new Map<string, Set<UpstreamId>>();

    /** @param capacity - How many tokens an upstream's memory takes; undefined where that is not known. */
    constructor(private readonly capacity: () => number | undefined) {}

    /** Tokens of the leading parts that the upstream holds: a part counts only behind others that are held. */
    heldTokens(parts: readonly PromptPart[], upstream: UpstreamId, { isRead, usedAfter } = ANY): number {
        const held = this.holdings.get(upstream)?.parts;
        if (!held) return 0;
        let tokens = 0;
        for (const { id, tokens: size } of parts) {
            const part = held.get(id);
            if (!part || (isRead && !part.isRead) || part.usedAt < usedAfter) return tokens;
            tokens += size;
        }
        return tokens;
    }

    /**
     * The upstreams that hold the first of these parts, and how many tokens of the leading ones. Costs as much as there are holders, however
     * many upstreams there are.
     */
    listHolders(parts: readonly PromptPart[], condition = ANY): Map<UpstreamId, number> {
        const found = new Map<UpstreamId, number>();
        if (parts.length === 0) return found;
        for (const upstream of this.holders.get(parts[0].id) ?? []) {
            const tokens = this.heldTokens(parts, upstream, condition);
            if (tokens > 0) found.set(upstream, tokens);
        }
        return found;
    }

    /** A prompt with these parts goes to the upstream now. */
    use(parts: readonly PromptPart[], upstream: UpstreamId, now: number): void {
        // The last part is touched first, so that of one prompt the leading parts yield last.
        for (const { id, tokens } of [...parts].reverse()) {
            this.touch(upstream, id, { tokens, usedAt: now, isRead: false });
        }
        this.evict(upstream);
    }

    /** A prompt with these parts has shown its first token there. */
    confirm(parts: readonly PromptPart[], upstream: UpstreamId): void {
        const held = this.holdings.get(upstream)?.parts;
        for (const { id } of parts) {
            const part = held?.get(id);
            if (part && !part.isRead) held!.set(id, { ...part, isRead: true });
        }
    }

    /** The upstream says that it holds these parts: what was sent there before counts as used later. */
    learn(parts: readonly PromptPart[], upstream: UpstreamId, now: number): void {
        const sent = this.holdings.get(upstream)?.parts ?? new Map<string, HeldPart>();
        this.forget(upstream);
        for (const { id, tokens } of parts) this.touch(upstream, id, { tokens, usedAt: now, isRead: true });
        for (const [id, part] of sent) this.touch(upstream, id, part);
        this.evict(upstream);
    }

    /** Forgets an upstream that has ended. */
    forget(upstream: UpstreamId): void {
        for (const id of this.holdings.get(upstream)?.parts.keys() ?? []) this.removeHolder(id, upstream);
        this.holdings.delete(upstream);
    }

    private touch(upstream: UpstreamId, id: string, part: HeldPart): void {
        const holding = this.holdings.get(upstream) ?? { parts: new Map<string, HeldPart>(), tokens: 0 };
        this.holdings.set(upstream, holding);
        const known = holding.parts.get(id);
        holding.tokens += part.tokens - (known?.tokens ?? 0);
        holding.parts.delete(id);
        holding.parts.set(id, { ...part, isRead: part.isRead || (known?.isRead ?? false) });
        if (!known) this.addHolder(id, upstream);
    }

    private addHolder(id: string, upstream: UpstreamId): void {
        const holders = this.holders.get(id);
        if (holders) holders.add(upstream);
        else this.holders.set(id, new Set([upstream]));
    }

    private removeHolder(id: string, upstream: UpstreamId): void {
        const holders = this.holders.get(id);
        holders?.delete(upstream);
        if (holders?.size === 0) this.holders.delete(id);
    }

    private evict(upstream: UpstreamId): void {
        const holding = this.holdings.get(upstream);
        if (!holding) return;
        const most = RESTING_SHARE * (this.capacity() ?? DEFAULT_CAPACITY);
        for (const [id, { tokens }] of holding.parts) {
            if (holding.tokens <= most) return;
            holding.parts.delete(id);
            holding.tokens -= tokens;
            this.removeHolder(id, upstream);
        }
    }
}
