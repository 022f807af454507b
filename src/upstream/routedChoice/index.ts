import { RequestId, UpstreamId } from "../../ids/index.js";
import { pickLeast } from "../_lib/pickLeast/index.js";
import { Choice, ChoiceRequest, PartsFetch, UpstreamChoice } from "../choice/index.js";
import { UpstreamLoad } from "../load/index.js";
import { PartsPlacement } from "../partsPlacement/index.js";
import { PauseForecast } from "../pauseForecast/index.js";
import { PrefillModel, PrefillWork } from "../prefillModel/index.js";
import { PromptCache, PromptPart } from "../promptCache/index.js";
import { ReadingLoad } from "../readingLoad/index.js";
import { DEFAULT_ROUTED_WEIGHTS, RoutedWeights } from "../routedWeights/index.js";
import { GrantedRequest, UpstreamWork } from "../upstreamWork/index.js";

const BYTES_PER_KILOBYTE = 1_024;
/** An upstream that fails more of its requests than this is not asked for parts. */
const MOST_FAILING = 0.3;

/** The upstreams that hold leading parts of a prompt, and how many tokens of it. */
type Holders = ReadonlyMap<UpstreamId, number>;

/** The parts of a prompt that others may begin with too: all but the last, which is its own. */
interface SharedParts {
    readonly parts: readonly PromptPart[];
    readonly tokens: number;
    /** Where they belong, if no candidate is known to hold them. */
    readonly home: UpstreamId | undefined;
    /** How many tokens an upstream's memory takes; without bound where that is not known. */
    readonly capacity: number;
}

/**
 * The upstream where the first token will probably come first, by what this process sent there: prompts that it still has to read,
 * the parts of this prompt that it holds, and how many requests run beside. Upstreams that fail requests come last.
 *
 * Answers bursts of long prompts: reports of load are a few hundred milliseconds old, and in that time a burst fills the engine that
 * was idle when it reported. Here each grant counts at once. Answers engines that go dark: connections to them stay open, requests
 * get no answer for as long as their callers wait, and no health check says so; an engine whose running requests all show nothing gets no
 * more after some hundred milliseconds. Answers an owner that has lost its memory: parts that nobody is known to hold go to the engine
 * that a hash names, which is the one that had them. Answers long prompts beside short questions too: while an engine reads a
 * prompt its running streams stand still, so a long one goes where no stream runs that could not bear the pause. Answers engines whose memory
 * is full before their slots are: they put requests back, urgent ones too, and read them again.
 */
export class RoutedChoice extends UpstreamChoice {
    /** Any candidate may hold the prompt's parts, and few are weighed in full: there is no need for a sample. */
    override readonly mostCandidates = Number.POSITIVE_INFINITY;
    private readonly work = new Map<UpstreamId, UpstreamWork>();
    private readonly granting = new Map<RequestId, GrantedRequest>();
    private readonly cache: PromptCache;
    private readonly placement: PartsPlacement;
    private readonly model = new PrefillModel();
    private readonly pauses = new PauseForecast(this.model);
    private readonly load = new ReadingLoad();

    /**
     * @param capacity - How many tokens an upstream's memory takes; undefined where that is not known.
     * @param weights - What the parts of a choice weigh.
     * @param pick - How the lightest candidate is found.
     */
    constructor(
        private readonly capacity: () => number | undefined,
        private readonly weights: RoutedWeights = DEFAULT_ROUTED_WEIGHTS,
        private readonly pick: typeof pickLeast = pickLeast,
    ) {
        super();
        this.cache = new PromptCache(capacity);
        this.placement = new PartsPlacement(this.cache);
    }

    choose(candidates: readonly UpstreamLoad[], request: ChoiceRequest): Choice {
        const holders = this.cache.listHolders(request.parts);
        const shared = this.describeShared(candidates, request, holders);
        const { item: best, weight } = this.pick(
            candidates,
            load => this.weighWithoutStalls(load, request, shared, holders),
            (load, withoutStalls) => withoutStalls + this.weighStalls(load, request, holders),
        );
        const { now, promptTokens } = request;
        const fetch = this.findFetch(best, request, shared);
        const held = holders.get(best.upstream.id) ?? 0;
        const backlog = this.workOf(best.upstream.id).prefill.backlogMs(now);
        const reason = `weight ${Math.round(weight)} ms, backlog ${Math.round(backlog)} ms, `
            + `${held} of ${promptTokens} tokens held, ${best.outstanding} running`
            + (fetch ? `, ${fetch.tokens} from ${fetch.from.upstream.id}` : "");
        return { load: best, reason, fetch };
    }

    override granted({ load: { upstream }, fetch }: Choice, request: ChoiceRequest): void {
        const { now, parts } = request;
        const work = this.workOf(upstream.id);
        const held = this.cache.heldTokens(parts, upstream.id) + (fetch?.tokens ?? 0);
        const prefill = describeWork(request, held);
        this.cache.use(parts, upstream.id, now);
        this.load.add(work.prefill.readMs(prefill), now);
        this.granting.set(request.request, work.begin(request, prefill));
    }

    /**
     * Guards against a new owner of the queue that takes upstreams for free of streams: those that were granted by the owner before would
     * stand still beside the first long prompts.
     */
    override adopted({ upstream }: UpstreamLoad, request: ChoiceRequest, runningMs: number): void {
        this.cache.use(request.parts, upstream.id, request.now - runningMs);
        this.granting.set(request.request, this.workOf(upstream.id).adopt(request, runningMs));
    }

    override readingLoad(now: number): number {
        return this.load.read(now);
    }

    override progressed(request: RequestId, isFirst: boolean, now: number): void {
        const granted = this.granting.get(request);
        if (!granted) return;
        const { upstream, parts } = granted;
        if (this.workOf(upstream).progressed(granted, isFirst, now)) this.cache.confirm(parts, upstream);
    }

    override ended(request: RequestId, failed: boolean | undefined, now: number, longestGapMs?: number): void {
        const granted = this.granting.get(request);
        if (!granted) return;
        this.granting.delete(request);
        this.workOf(granted.upstream).ended(granted, failed, now, longestGapMs);
    }

    override learnHeld(upstream: UpstreamId, parts: readonly PromptPart[], now: number): void {
        this.cache.learn(parts, upstream, now);
    }

    override forget(upstream: UpstreamId): void {
        this.work.delete(upstream);
        this.cache.forget(upstream);
    }

    /** All but the streams that would stall, who are many: none of it is negative, so this is what an upstream weighs at least. */
    private weighWithoutStalls(
        load: UpstreamLoad,
        request: ChoiceRequest,
        shared: SharedParts,
        holders: Holders,
    ): number {
        const { upstream } = load;
        const { weights } = this;
        const { now, targetMs } = request;
        const own = this.workOf(upstream.id);
        const { prefill, failureRate } = own;
        const work = describeWork(request, holders.get(upstream.id) ?? 0);
        const reread = { tokens: Math.max(0, shared.tokens - work.held), held: Math.min(work.held, shared.tokens) };
        const rereadMs = (weights.rereadFactor - 1) * prefill.readMs(reread);
        const isAwayFromHome = shared.home !== undefined && upstream.id !== shared.home;
        const awayMs = isAwayFromHome ? prefill.readMs({ tokens: shared.tokens, held: 0 }) : 0;
        const isFar = upstream.zone !== request.zone;
        const farMs = weights.otherZoneMs + weights.otherZoneKilobyteMs * request.bodyBytes / BYTES_PER_KILOBYTE;
        const waitMs = prefill.predictMs(work, now);
        // A wait beyond the target makes the answer late: it weighs more the nearer it comes to that.
        return waitMs * (1 + waitMs / targetMs)
            + rereadMs
            + weights.runningMs * load.outstanding
            + (load.outstanding >= upstream.slots ? weights.fullMs : 0)
            + weights.overflowTargets * targetMs * overflowShare(own, request, shared.capacity)
            + (isFar ? farMs : 0)
            + weights.silentFactor * own.silentMs(now)
            + weights.awayFactor * awayMs
            + weights.failingMs * failureRate;
    }

    /** The streams that would stall there beside this prompt, and the chance that its own would. */
    private weighStalls(load: UpstreamLoad, request: ChoiceRequest, holders: Holders): number {
        const { weights } = this;
        const { targetMs } = request;
        const { id } = load.upstream;
        const own = this.workOf(id);
        const work = describeWork(request, holders.get(id) ?? 0);
        return weights.stallTargets * targetMs * own.countStalled(request, work)
            + weights.ownStallTargets * targetMs * own.chanceOfStall(request, load.tokenMs);
    }

    private findFetch(chosen: UpstreamLoad, request: ChoiceRequest, shared: SharedParts): PartsFetch | undefined {
        const { findSource, now } = request;
        if (!findSource || shared.tokens === 0) return undefined;
        const findGiver = (id: UpstreamId): UpstreamLoad | undefined => {
            const load = findSource(id);
            return load && this.canGive(load, now) ? load : undefined;
        };
        return this.placement.findFetch(chosen, findGiver, shared.parts, now);
    }

    private canGive({ upstream }: UpstreamLoad, now: number): boolean {
        // What is gone has been forgotten here, and must not be followed anew.
        if (upstream.state === "gone") return false;
        const work = this.workOf(upstream.id);
        return work.failureRate <= MOST_FAILING && work.silentMs(now) === 0;
    }

    private describeShared(
        candidates: readonly UpstreamLoad[],
        request: ChoiceRequest,
        holders: Holders,
    ): SharedParts {
        const parts = request.parts.slice(0, -1);
        const home = this.placement.findHome(candidates, parts, holders);
        return { parts, tokens: sumTokens(parts), home, capacity: this.capacity() ?? Number.POSITIVE_INFINITY };
    }

    private workOf(upstream: UpstreamId): UpstreamWork {
        const known = this.work.get(upstream);
        if (known) return known;
        const work = new UpstreamWork(upstream, this.model, this.pauses);
        this.work.set(upstream, work);
        return work;
    }
}

/** The share of what a request needs there that the upstream's memory lacks, from 0 to 1. */
function overflowShare({ memory }: UpstreamWork, request: ChoiceRequest, capacity: number): number {
    // Most have room for all of it, and need not be asked which parts are in use.
    if (memory.tokens + request.promptTokens + request.predictedTokens <= capacity) return 0;
    const needed = memory.tokensFor(request);
    return Math.max(0, Math.min(1, (memory.tokens + needed - capacity) / Math.max(1, needed)));
}

function describeWork({ promptTokens }: ChoiceRequest, heldTokens: number): PrefillWork {
    const held = Math.min(promptTokens, heldTokens);
    return { tokens: promptTokens - held, held };
}

function sumTokens(parts: readonly PromptPart[]): number {
    return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}
