import { crc32 } from "@node-rs/crc32";
import { UpstreamId } from "../../ids/index.js";
import { PromptCache, PromptPart } from "../promptCache/index.js";
import { PartsFetch } from "../selectionPolicy/index.js";
import { UpstreamLoad } from "../upstreamLoad/index.js";

/** Below this number of tokens, recomputing is faster than fetching. */
const MIN_FETCHED_TOKENS = 1_000;
/** Parts used within this time will probably be used again soon, in milliseconds. */
const RECENT_USE_MS = 10_000;

/** Locates the shared parts of prompts: which upstreams hold them and which one should. */
export class PartsPlacement {
    constructor(private readonly cache: PromptCache) {}

    /**
     * Returns the upstream on which parts belong that no upstream is known to hold, by rendezvous hashing: the
     * candidate with the highest hash of the parts and its own id, which is the same for each owner of the queue.
     * Undefined if a candidate holds some of them.
     *
     * @param holders - Upstreams that hold some of the parts.
     */
    findHome(
        candidates: readonly UpstreamLoad[],
        parts: readonly PromptPart[],
        holders: ReadonlyMap<UpstreamId, number>,
    ): UpstreamId | undefined {
        if (parts.length === 0) return undefined;
        if (holders.size > 0 && candidates.some(({ upstream }) => holders.has(upstream.id))) return undefined;
        const key = parts.map(({ id }) => id).join(",");
        let home: UpstreamId | undefined;
        let highest = -1;
        for (const { upstream } of candidates) {
            const hash = crc32(`${key}\n${upstream.id}`);
            if (hash <= highest) continue;
            home = upstream.id;
            highest = hash;
        }
        return home;
    }

    /**
     * Finds an upstream from which the chosen one should fetch shared parts.
     *
     * Considers only recently used parts: these will be needed again soon, while transferring parts that are not used
     * again costs more than recomputing them once. Considers only upstreams that have certainly finished the prefill:
     * one that is still prefilling has nothing to transfer. A leaving upstream is as good a source as any until it has gone,
     * and the only one for parts that it alone holds.
     *
     * @param findSource - Finds an upstream that is present and responsive; it may be the chosen one.
     */
    findFetch(
        chosen: UpstreamLoad,
        findSource: (id: UpstreamId) => UpstreamLoad | undefined,
        parts: readonly PromptPart[],
        now: number,
    ): PartsFetch | undefined {
        const chosenTokens = this.cache.heldTokens(parts, chosen.upstream.id);
        const recentlyUsed = { isPrefilled: true, usedAfter: now - RECENT_USE_MS };
        let best: PartsFetch | undefined;
        for (const [id, holderTokens] of this.cache.listHolders(parts, recentlyUsed)) {
            const tokens = holderTokens - chosenTokens;
            if (tokens < MIN_FETCHED_TOKENS || tokens <= (best?.tokens ?? 0)) continue;
            const from = findSource(id);
            if (from && from !== chosen) best = { from, tokens };
        }
        return best;
    }
}
