import { UpstreamId } from "../../ids/index.js";

/** Part of a prompt that other prompts may share. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** Assumed KV cache capacity of an upstream whose capacity is unknown. */
const DEFAULT_CAPACITY_TOKENS = 400_000;
/** Share of the capacity assumed to be available for cached parts; running requests use the rest. */
const CACHE_SHARE = 0.75;

interface HeldPart {
    readonly tokens: number;
    /** Monotonic time at which it was last sent there, in milliseconds. */
    readonly usedAt: number;
    /** Whether a prompt with it has produced its first token there, or the upstream reports that it holds it. */
    readonly isPrefilled: boolean;
}

interface UpstreamParts {
    /** By part id, the least recently used first. */
    readonly parts: Map<string, HeldPart>;
    tokens: number;
}

/** Conditions that a held part must meet to count. */
export interface HeldPartFilter {
    /** Only parts whose prefill has certainly finished. */
    readonly isPrefilled: boolean;
    /** Only parts last used at this monotonic time or later, in milliseconds. */
    readonly usedAfter: number;
}

const NO_FILTER: HeldPartFilter = { isPrefilled: false, usedAfter: Number.NEGATIVE_INFINITY };

/**
 * Estimates which prompt parts each upstream holds: those sent there, minus those that must have been evicted since.
 * The least recently used part is evicted first, as in the upstreams themselves.
 *
 * @example
 * cache.recordSent(parts, upstream, now);
 * cache.heldTokens(parts, upstream); // tokens that need no prefill
 */
export class PromptCache {
    private readonly partsByUpstream = new Map<UpstreamId, UpstreamParts>();
    /** Upstreams that hold a part, by part id. */
    private readonly holdersByPart = new Map<string, Set<UpstreamId>>();

    /** @param capacityTokens - Returns the KV cache capacity of an upstream in tokens; undefined if unknown. */
    constructor(private readonly capacityTokens: () => number | undefined) {}

    /**
     * Returns the tokens of the leading parts that the upstream holds: a part counts only if all parts before it are
     * held.
     */
    heldTokens(
        parts: readonly PromptPart[],
        upstream: UpstreamId,
        { isPrefilled, usedAfter } = NO_FILTER,
    ): number {
        const held = this.partsByUpstream.get(upstream)?.parts;
        if (!held) return 0;
        let tokens = 0;
        for (const { id, tokens: partTokens } of parts) {
            const part = held.get(id);
            if (!part || (isPrefilled && !part.isPrefilled) || part.usedAt < usedAfter) return tokens;
            tokens += partTokens;
        }
        return tokens;
    }

    /**
     * Returns the upstreams that hold the first of these parts, with the number of tokens of the leading parts that
     * each holds. The cost grows with the number of holders, not with the number of upstreams.
     */
    listHolders(parts: readonly PromptPart[], filter = NO_FILTER): Map<UpstreamId, number> {
        const found = new Map<UpstreamId, number>();
        if (parts.length === 0) return found;
        for (const upstream of this.holdersByPart.get(parts[0].id) ?? []) {
            const tokens = this.heldTokens(parts, upstream, filter);
            if (tokens > 0) found.set(upstream, tokens);
        }
        return found;
    }

    /** Records that a prompt with these parts is sent to the upstream now. */
    recordSent(parts: readonly PromptPart[], upstream: UpstreamId, now: number): void {
        // In reverse order, so that the leading parts of a prompt are evicted last.
        for (const { id, tokens } of [...parts].reverse()) {
            this.moveToNewest(upstream, id, { tokens, usedAt: now, isPrefilled: false });
        }
        this.evict(upstream);
    }

    /** Records that a prompt with these parts has produced its first token there. */
    markPrefilled(parts: readonly PromptPart[], upstream: UpstreamId): void {
        const held = this.partsByUpstream.get(upstream)?.parts;
        for (const { id } of parts) {
            const part = held?.get(id);
            if (part && !part.isPrefilled) held!.set(id, { ...part, isPrefilled: true });
        }
    }

    /** Records the parts that the upstream reports to hold: parts sent there before count as used more recently. */
    recordReported(parts: readonly PromptPart[], upstream: UpstreamId, now: number): void {
        const sent = this.partsByUpstream.get(upstream)?.parts ?? new Map<string, HeldPart>();
        this.forget(upstream);
        for (const { id, tokens } of parts) this.moveToNewest(upstream, id, { tokens, usedAt: now, isPrefilled: true });
        for (const [id, part] of sent) this.moveToNewest(upstream, id, part);
        this.evict(upstream);
    }

    /** Forgets an upstream that has ended. */
    forget(upstream: UpstreamId): void {
        for (const id of this.partsByUpstream.get(upstream)?.parts.keys() ?? []) this.removeHolder(id, upstream);
        this.partsByUpstream.delete(upstream);
    }

    private moveToNewest(upstream: UpstreamId, id: string, part: HeldPart): void {
        const upstreamParts = this.partsByUpstream.get(upstream) ?? { parts: new Map<string, HeldPart>(), tokens: 0 };
        this.partsByUpstream.set(upstream, upstreamParts);
        const known = upstreamParts.parts.get(id);
        upstreamParts.tokens += part.tokens - (known?.tokens ?? 0);
        upstreamParts.parts.delete(id);
        upstreamParts.parts.set(id, { ...part, isPrefilled: part.isPrefilled || (known?.isPrefilled ?? false) });
        if (!known) this.addHolder(id, upstream);
    }

    private addHolder(id: string, upstream: UpstreamId): void {
        const holders = this.holdersByPart.get(id);
        if (holders) holders.add(upstream);
        else this.holdersByPart.set(id, new Set([upstream]));
    }

    private removeHolder(id: string, upstream: UpstreamId): void {
        const holders = this.holdersByPart.get(id);
        holders?.delete(upstream);
        if (holders?.size === 0) this.holdersByPart.delete(id);
    }

    private evict(upstream: UpstreamId): void {
        const upstreamParts = this.partsByUpstream.get(upstream);
        if (!upstreamParts) return;
        const maxTokens = CACHE_SHARE * (this.capacityTokens() ?? DEFAULT_CAPACITY_TOKENS);
        for (const [id, { tokens }] of upstreamParts.parts) {
            if (upstreamParts.tokens <= maxTokens) return;
            upstreamParts.parts.delete(id);
            upstreamParts.tokens -= tokens;
            this.removeHolder(id, upstream);
        }
    }
}
