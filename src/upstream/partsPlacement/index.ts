import { crc32 } from "@node-rs/crc32";
import { UpstreamId } from "../../ids/index.js";
import { PartsFetch } from "../choice/index.js";
import { UpstreamLoad } from "../load/index.js";
import { PromptCache, PromptPart } from "../promptCache/index.js";

/** Fewer tokens are read sooner than fetched. */
const LEAST_FETCHED_TOKENS = 1_000;
/** Parts that were used within this time will probably be used again soon, in milliseconds. */
const HOT_MS = 10_000;

/** Where the parts of prompts that others may begin with too are, and where they belong. */
export class PartsPlacement {
    constructor(private readonly cache: PromptCache) {}

    /**
     * Where parts belong that nobody is known to hold: the candidate with the highest hash of them and its own id, the same one for each
     * owner of the queue. Undefined where a candidate holds some.
     *
     * @param holders - The upstreams that hold some of them.
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
     * An upstream from which the chosen one should fetch shared parts.
     *
     * Only parts that were used of late: their next use is near, while moving what is not used again costs more than reading it once.
     * Only from an upstream that has certainly read them: one that is still reading them has nothing to give. One that leaves is as good a
     * source as any until it has gone, and the only one for what it alone holds.
     *
     * @param findSource - Finds an upstream that is there and answers; it may be the chosen one.
     */
    findFetch(
        chosen: UpstreamLoad,
        findSource: (id: UpstreamId) => UpstreamLoad | undefined,
        parts: readonly PromptPart[],
        now: number,
    ): PartsFetch | undefined {
        const held = this.cache.heldTokens(parts, chosen.upstream.id);
        const hot = { isRead: true, usedAfter: now - HOT_MS };
        let best: PartsFetch | undefined;
        for (const [id, heldThere] of this.cache.listHolders(parts, hot)) {
            const tokens = heldThere - held;
            if (tokens < LEAST_FETCHED_TOKENS || tokens <= (best?.tokens ?? 0)) continue;
            const from = findSource(id);
            if (from && from !== chosen) best = { from, tokens };
        }
        return best;
    }
}
