import { RequestId, UpstreamId } from "../../ids/index.js";
import { Choice, ChoiceRequest, UpstreamChoice } from "../choice/index.js";
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

/** The parts of a prompt that others may begin with too: all but the last, which is its own. */
interface SharedParts {
    readonly parts: readonly PromptPart[];
    readonly tokens: number;
    /** Where they belong, if no candidate is known to hold them. */
    readonly home: UpstreamId | undefined;
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
 * prompt its running streams stand still, so a long one goes where no stream runs that could not bear the pause.
 */
export class RoutedChoice extends UpstreamChoice {
    private readonly work = new Map<UpstreamId, UpstreamWork>();
    private readonly granting = new Map<RequestId, GrantedRequest>();
    private readonly cache: PromptCache;
    private readonly placement: PartsPlacement;
    private readonly model = new PrefillModel();
    private readonly pauses = new PauseForecast(this.model);
    private readonly load = new ReadingLoad();

    constructor(
        capacity: () => number | undefined,
        private readonly weights: RoutedWeights = DEFAULT_ROUTED_WEIGHTS,
    ) {
        super();
        this.cache = new PromptCache(capacity);
        this.placement = new PartsPlacement(this.cache);
    }

    choose(candidates: readonly UpstreamLoad[], request: ChoiceRequest): Choice {
        const shared = this.describeShared(candidates, request);
        let best = candidates[0];
        let bestMs = Number.POSITIVE_INFINITY;
        for (const load of candidates) {
            const ms = this.weigh(load, request, shared);
            if (ms >= bestMs) continue;
            best = load;
            bestMs = ms;
        }
        const { now, promptTokens } = request;
        const sources = shared.tokens === 0 ? [] : request.sources.filter(load => this.canGive(load, now));
        const fetch = this.placement.findFetch(best, sources, shared.parts, now);
        const held = this.cache.heldTokens(request.parts, best.upstream.id);
        const backlog = this.workOf(best.upstream.id).prefill.backlogMs(now);
        const reason = `weight ${Math.round(bestMs)} ms, backlog ${Math.round(backlog)} ms, `
            + `${held} of ${promptTokens} tokens held, ${best.outstanding} running`
            + (fetch ? `, ${fetch.tokens} from ${fetch.from.upstream.id}` : "");
        return { load: best, reason, fetch };
    }

    override granted({ load: { upstream }, fetch }: Choice, request: ChoiceRequest): void {
        const { now, parts } = request;
        const work = this.workOf(upstream.id);
        const prefill = this.describeWork(request, upstream.id, fetch?.tokens);
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

    private weigh(load: UpstreamLoad, request: ChoiceRequest, shared: SharedParts): number {
        const { upstream } = load;
        const { weights } = this;
        const { now, targetMs } = request;
        const own = this.workOf(upstream.id);
        const { prefill, failureRate } = own;
        const work = this.describeWork(request, upstream.id);
        const reread = { tokens: Math.max(0, shared.tokens - work.held), held: Math.min(work.held, shared.tokens) };
        const rereadMs = (weights.rereadFactor - 1) * prefill.readMs(reread);
        const isStranger = shared.home !== undefined && upstream.id !== shared.home;
        const strangerMs = isStranger ? prefill.readMs({ tokens: shared.tokens, held: 0 }) : 0;
        const isFar = upstream.zone !== request.zone;
        const farMs = weights.otherZoneMs + weights.otherZoneKilobyteMs * request.bodyBytes / BYTES_PER_KILOBYTE;
        const waitMs = prefill.predictMs(work, now);
        // A wait beyond the target makes the answer late: it weighs more the nearer it comes to that.
        return waitMs * (1 + waitMs / targetMs)
            + rereadMs
            + weights.runningMs * load.outstanding
            + (load.outstanding >= upstream.slots ? weights.fullMs : 0)
            + (isFar ? farMs : 0)
            + weights.stallTargets * targetMs * own.countStalled(request, work)
            + weights.ownStallTargets * targetMs * own.chanceOfStall(request, load.tokenMs)
            + weights.silentFactor * own.silentMs(now)
            + weights.strangerFactor * strangerMs
            + weights.failingMs * failureRate;
    }

    private canGive({ upstream }: UpstreamLoad, now: number): boolean {
        // What is gone has been forgotten here, and must not be followed anew.
        if (upstream.state === "gone") return false;
        const work = this.workOf(upstream.id);
        return work.failureRate <= MOST_FAILING && work.silentMs(now) === 0;
    }

    private describeShared(candidates: readonly UpstreamLoad[], request: ChoiceRequest): SharedParts {
        const parts = request.parts.slice(0, -1);
        return { parts, tokens: sumTokens(parts), home: this.placement.findHome(candidates, parts) };
    }

    private describeWork({ parts, promptTokens }: ChoiceRequest, upstream: UpstreamId, fetched = 0): PrefillWork {
        const held = Math.min(promptTokens, this.cache.heldTokens(parts, upstream) + fetched);
        return { tokens: promptTokens - held, held };
    }

    private workOf(upstream: UpstreamId): UpstreamWork {
        const known = this.work.get(upstream);
        if (known) return known;
        const work = new UpstreamWork(upstream, this.model, this.pauses);
        this.work.set(upstream, work);
        return work;
    }
}

function sumTokens(parts: readonly PromptPart[]): number {
    return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}
