import { RequestId, UpstreamId } from "../../ids/index.js";
import { pickLeast } from "../_lib/pickLeast/index.js";
import { DEFAULT_FIRST_TOKEN_WEIGHTS, FirstTokenWeights } from "../firstTokenWeights/index.js";
import { PartsPlacement } from "../partsPlacement/index.js";
import { PauseForecast } from "../pauseForecast/index.js";
import { PrefillLoad } from "../prefillLoad/index.js";
import { PrefillModel, PrefillWork } from "../prefillModel/index.js";
import { PromptCache, PromptPart } from "../promptCache/index.js";
import { QuietUpstreams } from "../quietUpstreams/index.js";
import { Choice, PartsFetch, SelectionPolicy, SelectionRequest } from "../selectionPolicy/index.js";
import { SensitiveStreams } from "../sensitiveStreams/index.js";
import { UpstreamLoad } from "../upstreamLoad/index.js";
import { UpstreamUse } from "../upstreamUse/index.js";
import { GrantedRequest, UpstreamWork } from "../upstreamWork/index.js";

const BYTES_PER_KILOBYTE = 1_024;
/** An upstream with a higher failure rate is not used as a source of prompt parts. */
const MAX_SOURCE_FAILURE_RATE = 0.3;

/** How long a request waits for another upstream than a quiet one whose streams are less urgent, as a share of its target. */
const MAX_HOLD_TARGETS = 0.1;
/** Prefill of a quiet upstream beyond which a stream goes elsewhere, as a share of its target. */
const MAX_QUIET_BACKLOG_TARGETS = 0.25;
/** Upstreams that hold leading parts of a prompt, with the number of tokens held. */
type HeldTokens = ReadonlyMap<UpstreamId, number>;

/** The parts of a prompt that other prompts may share: all but the last, which is its own. */
interface SharedParts {
    readonly parts: readonly PromptPart[];
    readonly tokens: number;
    /** Upstream on which the parts belong if no candidate is known to hold them. */
    readonly home: UpstreamId | undefined;
    /** KV cache capacity of an upstream in tokens; infinite if unknown. */
    readonly capacityTokens: number;
}

/**
 * Selects the upstream that will probably produce the first token first. The estimate is based on what this process
 * sent there: pending prefill, cached parts of this prompt, and concurrently running requests. Upstreams that fail
 * requests come last.
 *
 * It copes with the following situations:
 * - Bursts of long prompts: load reports are a few hundred milliseconds old, and within that time a burst fills the
 *   engine that reported itself idle. Here each grant counts immediately.
 * - Unresponsive engines: connections to them stay open and requests get no answer for as long as their callers wait,
 *   while no health check fails. An engine whose running requests all show no progress gets no more of them after some
 *   hundred milliseconds.
 * - A queue owner that has lost its memory: parts that no upstream is known to hold go to the engine selected by a
 *   hash, which is the one that held them before.
 * - Long prompts beside short ones: running streams pause while an engine does prefill, so a long prompt goes where no
 *   stream runs for which the pause would be too long.
 * - Long prompts beside urgent streams with short pauses, when all engines are busy: these streams share few engines,
 *   which get no less urgent long prompts.
 * - Engines whose memory fills up before their slots do: they preempt requests, even urgent ones, and prefill them
 *   again.
 */
export class FirstTokenPolicy extends SelectionPolicy {
    /** Any candidate may hold the prompt's parts, and only few are weighed in full, so that no sampling is needed. */
    override readonly maxCandidates = Number.POSITIVE_INFINITY;
    private readonly workByUpstream = new Map<UpstreamId, UpstreamWork>();
    private readonly grantedRequests = new Map<RequestId, GrantedRequest>();
    private readonly promptCache: PromptCache;
    private readonly placement: PartsPlacement;
    private readonly prefillModel = new PrefillModel();
    private readonly pauseForecast = new PauseForecast(this.prefillModel);
    private readonly loadAverage = new PrefillLoad();
    private readonly quiet = new QuietUpstreams();
    private readonly sensitiveStreams = new SensitiveStreams(this.pauseForecast);

    /**
     * @param capacityTokens - Returns the KV cache capacity of an upstream in tokens; undefined if unknown.
     * @param weights - Weights of the terms of the estimate.
     * @param pick - Finds the candidate with the least weight.
     */
    constructor(
        private readonly capacityTokens: () => number | undefined,
        private readonly weights: FirstTokenWeights = DEFAULT_FIRST_TOKEN_WEIGHTS,
        private readonly pick: typeof pickLeast = pickLeast,
    ) {
        super();
        this.promptCache = new PromptCache(capacityTokens);
        this.placement = new PartsPlacement(this.promptCache);
    }

    choose(candidates: readonly UpstreamLoad[], request: SelectionRequest): Choice {
        const holders = this.promptCache.listHolders(request.parts);
        const shared = this.describeShared(candidates, request, holders);
        const { item: best, weight } = this.pick(
            candidates,
            load => this.weighWithoutStalls(load, request, shared, holders),
            (load, withoutStalls) => withoutStalls + this.weighStalls(load, request, holders),
        );
        const { now, promptTokens } = request;
        const fetch = this.findFetch(best, request, shared);
        const held = holders.get(best.upstream.id) ?? 0;
        const backlog = this.workOf(best.upstream.id).prefillQueue.backlogMs(now);
        const reason = `weight ${Math.round(weight)} ms, backlog ${Math.round(backlog)} ms, `
            + `${held} of ${promptTokens} tokens held, ${best.outstanding} running`
            + (fetch ? `, ${fetch.tokens} from ${fetch.from.upstream.id}` : "")
            + `, ${Math.round(this.workOf(best.upstream.id).memoryTokens)} tokens in use`
            + `, load ${Math.round(now - best.upstream.loadMeasuredAt)} ms old`;
        return { load: best, reason, fetch };
    }

    /**
     * Keeps few upstreams for the streams that long prompts would delay, and all other prompts off them. A prompt that is more urgent than some
     * of these streams waits only for a moment for another upstream.
     */
    override reserve(
        candidates: readonly UpstreamLoad[],
        request: SelectionRequest,
        pool: readonly UpstreamLoad[],
    ): readonly UpstreamLoad[] {
        this.reviewQuiet(pool, request.now);
        if (this.quiet.size === 0) return candidates;
        if (this.sensitiveStreams.record(request)) return this.preferQuiet(candidates, request);
        const others = candidates.filter(({ upstream }) => !this.quiet.has(upstream.id));
        const mayWait = !this.sensitiveStreams.isMoreUrgent(request.tier)
            || request.ageMs < MAX_HOLD_TARGETS * request.targetMs;
        return others.length > 0 || mayWait ? others : candidates;
    }

    override isReserved(upstream: UpstreamId): boolean {
        return this.quiet.has(upstream);
    }

    /** Prefers quiet upstreams for a stream that long prompts would delay, while they are not busy with prefill themselves. */
    private preferQuiet(
        candidates: readonly UpstreamLoad[],
        { now, targetMs }: SelectionRequest,
    ): readonly UpstreamLoad[] {
        const quiet = candidates.filter(({ upstream: { id } }) =>
            this.quiet.has(id) && this.workOf(id).prefillQueue.backlogMs(now) < MAX_QUIET_BACKLOG_TARGETS * targetMs
        );
        return quiet.length > 0 ? quiet : candidates;
    }

    private reviewQuiet(pool: readonly UpstreamLoad[], now: number): void {
        if (!this.quiet.isReviewDue(now)) return;
        const candidates = pool.filter(({ upstream }) => upstream.isGrantable).map(({ upstream: { id, slots } }) => ({
            id,
            slots,
            sensitiveStreams: this.workByUpstream.get(id)?.sensitiveStreams ?? 0,
        }));
        this.quiet.review(candidates, now);
    }

    override granted({ load: { upstream }, fetch }: Choice, request: SelectionRequest): void {
        const { now, parts } = request;
        const work = this.workOf(upstream.id);
        const held = this.promptCache.heldTokens(parts, upstream.id) + (fetch?.tokens ?? 0);
        const prefillWork = makePrefillWork(request, held);
        this.promptCache.recordSent(parts, upstream.id, now);
        this.loadAverage.add(work.prefillQueue.prefillMs(prefillWork), now);
        this.grantedRequests.set(
            request.request,
            work.begin(request, prefillWork, this.sensitiveStreams.record(request)),
        );
    }

    /**
     * Registers requests granted by the previous owner of the queue: otherwise a new owner would assume that
     * their upstreams run no streams, and these streams would stall beside the first long prompts.
     */
    override adopted({ upstream }: UpstreamLoad, request: SelectionRequest, runningMs: number): void {
        this.promptCache.recordSent(request.parts, upstream.id, request.now - runningMs);
        const isSensitive = this.sensitiveStreams.record(request);
        this.grantedRequests.set(request.request, this.workOf(upstream.id).adopt(request, runningMs, isSensitive));
    }

    override prefillLoad(now: number): number {
        return this.loadAverage.valueAt(now);
    }

    override progressed(request: RequestId, isFirst: boolean, now: number): void {
        const granted = this.grantedRequests.get(request);
        if (!granted) return;
        const { upstream, parts } = granted;
        if (this.workOf(upstream).progressed(granted, isFirst, now)) this.promptCache.markPrefilled(parts, upstream);
    }

    override ended(request: RequestId, failed: boolean | undefined, now: number, longestGapMs?: number): void {
        const granted = this.grantedRequests.get(request);
        if (!granted) return;
        this.grantedRequests.delete(request);
        this.workOf(granted.upstream).ended(granted, failed, now, longestGapMs);
    }

    override describeUse(upstream: UpstreamId, now: number): Pick<UpstreamUse, "memoryTokens" | "backlogMs"> {
        const { memory, prefillQueue } = this.workOf(upstream);
        return { memoryTokens: memory.tokens, backlogMs: Math.round(prefillQueue.backlogMs(now)) };
    }

    override recordOthersUse(use: UpstreamUse, now: number): void {
        this.workOf(use.upstream).recordOthersUse(use, now);
    }

    override recordHeldParts(upstream: UpstreamId, parts: readonly PromptPart[], now: number): void {
        this.promptCache.recordReported(parts, upstream, now);
    }

    override forget(upstream: UpstreamId): void {
        this.workByUpstream.delete(upstream);
        this.promptCache.forget(upstream);
    }

    /**
     * Weight of all terms but the stalled streams, which are expensive to count. No term is negative, so this is a
     * lower bound of the upstream's weight.
     */
    private weighWithoutStalls(
        load: UpstreamLoad,
        request: SelectionRequest,
        shared: SharedParts,
        holders: HeldTokens,
    ): number {
        const { upstream } = load;
        const { weights } = this;
        const { now, targetMs } = request;
        const upstreamWork = this.workOf(upstream.id);
        const { prefillQueue, failureRate } = upstreamWork;
        const prefillWork = makePrefillWork(request, holders.get(upstream.id) ?? 0);
        const recomputed = {
            tokens: Math.max(0, shared.tokens - prefillWork.held),
            held: Math.min(prefillWork.held, shared.tokens),
        };
        const recomputeMs = (weights.recomputeFactor - 1) * prefillQueue.prefillMs(recomputed);
        const isAwayFromHome = shared.home !== undefined && upstream.id !== shared.home;
        const homePrefillMs = isAwayFromHome ? prefillQueue.prefillMs({ tokens: shared.tokens, held: 0 }) : 0;
        const isOtherZone = upstream.zone !== request.zone;
        const otherZoneMs = weights.otherZoneMs
            + weights.otherZoneMsPerKilobyte * request.bodyBytes / BYTES_PER_KILOBYTE;
        const waitMs = prefillQueue.predictFirstTokenMs(prefillWork, now) + upstreamWork.othersBacklogMs(now);
        // A wait beyond the target makes the answer late, so the weight grows as the wait approaches the target.
        return waitMs * (1 + waitMs / targetMs)
            + recomputeMs
            + weights.runningRequestMs * load.outstanding
            + (load.outstanding >= upstream.slots ? weights.fullMs : 0)
            + weights.memoryOverflowTargets * targetMs
                * memoryOverflowShare(upstreamWork, request, shared.capacityTokens)
            + (isOtherZone ? otherZoneMs : 0)
            + weights.unresponsiveFactor * upstreamWork.unresponsiveMs(now)
            + weights.awayFromHomeFactor * homePrefillMs
            + weights.failureMs * failureRate;
    }

    /**
     * Weight of the streams that would stall there beside this prompt, and of the probability that its own stream
     * would.
     */
    private weighStalls(load: UpstreamLoad, request: SelectionRequest, holders: HeldTokens): number {
        const { weights } = this;
        const { targetMs } = request;
        const { id } = load.upstream;
        const upstreamWork = this.workOf(id);
        const prefillWork = makePrefillWork(request, holders.get(id) ?? 0);
        return weights.stalledStreamTargets * targetMs * upstreamWork.countStalledStreams(request, prefillWork)
            + weights.ownStallTargets * targetMs * upstreamWork.stallProbability(request, load.tokenMs);
    }

    private findFetch(chosen: UpstreamLoad, request: SelectionRequest, shared: SharedParts): PartsFetch | undefined {
        const { findSource, now } = request;
        if (!findSource || shared.tokens === 0) return undefined;
        const findProvider = (id: UpstreamId): UpstreamLoad | undefined => {
            const load = findSource(id);
            return load && this.canProvideParts(load, chosen, now) ? load : undefined;
        };
        return this.placement.findFetch(chosen, findProvider, shared.parts, now);
    }

    private canProvideParts({ upstream }: UpstreamLoad, chosen: UpstreamLoad, now: number): boolean {
        // What one version of an engine's software has computed may be unreadable to another.
        if (upstream.software === undefined || upstream.software !== chosen.upstream.software) return false;
        // An upstream that has gone was forgotten by this policy; looking up its work would create a new record.
        if (upstream.state === "gone") return false;
        const work = this.workOf(upstream.id);
        return work.failureRate <= MAX_SOURCE_FAILURE_RATE && work.unresponsiveMs(now) === 0;
    }

    private describeShared(
        candidates: readonly UpstreamLoad[],
        request: SelectionRequest,
        holders: HeldTokens,
    ): SharedParts {
        const parts = request.parts.slice(0, -1);
        const home = this.placement.findHome(candidates, parts, holders);
        return {
            parts,
            tokens: sumTokens(parts),
            home,
            capacityTokens: this.capacityTokens() ?? Number.POSITIVE_INFINITY,
        };
    }

    private workOf(upstream: UpstreamId): UpstreamWork {
        const known = this.workByUpstream.get(upstream);
        if (known) return known;
        const work = new UpstreamWork(upstream, this.prefillModel, this.pauseForecast);
        this.workByUpstream.set(upstream, work);
        return work;
    }
}

/** Returns the share of the request's memory demand that exceeds the upstream's free memory, from 0 to 1. */
function memoryOverflowShare(
    { memory, memoryTokens }: UpstreamWork,
    request: SelectionRequest,
    capacityTokens: number,
): number {
    // Most upstreams have room for the whole request, so that shared parts need not be looked up.
    if (memoryTokens + request.promptTokens + request.predictedTokens <= capacityTokens) return 0;
    const needed = memory.tokensFor(request);
    return Math.max(0, Math.min(1, (memoryTokens + needed - capacityTokens) / Math.max(1, needed)));
}

function makePrefillWork({ promptTokens }: SelectionRequest, heldTokens: number): PrefillWork {
    const held = Math.min(promptTokens, heldTokens);
    return { tokens: promptTokens - held, held };
}

function sumTokens(parts: readonly PromptPart[]): number {
    return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}
