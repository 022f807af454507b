import { PoolId, RequestId, UpstreamId, ZoneId } from "../../ids/index.js";
import { Random } from "../../ports/index.js";
import { UpstreamLoad } from "../load/index.js";
import { PrefixIndex } from "../prefixes/index.js";
import { PromptPart } from "../promptCache/index.js";
import { medianTokenMs } from "../stragglers/index.js";

/** What the choice needs to know of a request. */
export interface ChoiceRequest {
    readonly request: RequestId;
    readonly pool: PoolId;
    /** The prompt's parts with their sizes, where they are known. */
    readonly parts: readonly PromptPart[];
    /** Finds an upstream from which the candidates can fetch parts; undefined where the pool's upstreams can't do that. */
    readonly findSource: ((id: UpstreamId) => UpstreamLoad | undefined) | undefined;
    /** The longest pause between two events that is on time, in milliseconds; undefined for answers that are no streams. */
    readonly gapMs: number | undefined;
    /** How many tokens an event of the stream holds. */
    readonly eventTokens: number;
    /** Within how long the first token should come, in milliseconds. */
    readonly targetMs: number;
    /** What must be sent to the upstream, in bytes. */
    readonly bodyBytes: number;
    /** Monotonic time, in milliseconds. */
    readonly now: number;
    readonly prefixes: readonly string[];
    readonly promptTokens: number;
    /** How long the answer will probably be. */
    readonly predictedTokens: number;
    /** The zone of the entry that will send it. */
    readonly zone: ZoneId;
}

/** The upstream chosen, and why. */
export interface Choice {
    readonly load: UpstreamLoad;
    /** For `sequoiamux explain`. */
    readonly reason: string;
    /** Another upstream that should hand over parts of the prompt, so that the chosen one need not read them. */
    readonly fetch?: PartsFetch;
}

/** Parts of a prompt that an upstream can get from another one. */
export interface PartsFetch {
    readonly from: UpstreamLoad;
    readonly tokens: number;
}

/** Picks the upstream for a request that is next in its pool's queue. */
export abstract class UpstreamChoice {
    /** How many candidates it is offered at the most: one that weighs each in full gets a sample of a large pool. */
    readonly mostCandidates: number = 32;

    /**
     * @param candidates - Members with a free slot; at least one.
     * @param request - What is to be sent.
     */
    abstract choose(candidates: readonly UpstreamLoad[], request: ChoiceRequest): Choice;

    /** Told that a request is granted to the upstream chosen. */
    granted(_choice: Choice, _request: ChoiceRequest): void {}

    /** Told that a request runs by another process' grant, and for how long, in milliseconds. */
    adopted(_load: UpstreamLoad, _request: ChoiceRequest, _runningMs: number): void {}

    /** Told that tokens of a granted request have come; `isFirst` for the first of them. */
    progressed(_request: RequestId, _isFirst: boolean, _now: number): void {}

    /**
     * Told that a granted request has ended; `failed` is undefined where that says nothing of the upstream, and so is `longestGapMs`, the
     * longest time between two of its events, in milliseconds.
     */
    ended(_request: RequestId, _failed: boolean | undefined, _now: number, _longestGapMs?: number): void {}

    /**
     * How many upstreams' time the prompts of the last seconds take to read; undefined where that is not followed.
     *
     * @param now - Monotonic time, in milliseconds.
     */
    readingLoad(_now: number): number | undefined {
        return undefined;
    }

    /** Told which parts of prompts an upstream says that it holds. */
    learnHeld(_upstream: UpstreamId, _parts: readonly PromptPart[], _now: number): void {}

    /** Told that an upstream has ended, or lives anew. */
    forget(_upstream: UpstreamId): void {}
}

/** Baseline: each in turn. */
export class RoundRobinChoice extends UpstreamChoice {
    private readonly lastTurn = new Map<UpstreamId, number>();
    private turn = 0;

    choose(candidates: readonly UpstreamLoad[]): Choice {
        const turnOf = (load: UpstreamLoad): number => this.lastTurn.get(load.upstream.id) ?? 0;
        const load = candidates.reduce((best, other) => turnOf(other) < turnOf(best) ? other : best);
        this.lastTurn.set(load.upstream.id, ++this.turn);
        return { load, reason: "its turn" };
    }
}

/** Baseline: the one with the fewest requests for its size. */
export class LeastOutstandingChoice extends UpstreamChoice {
    choose(candidates: readonly UpstreamLoad[]): Choice {
        const load = candidates.reduce((best, other) => fill(other) < fill(best) ? other : best);
        return { load, reason: `least outstanding (${load.outstanding})` };
    }
}

/** Baseline: the better of two picked at random, which avoids that many entries pick the same one. */
export class TwoRandomChoices extends UpstreamChoice {
    constructor(private readonly random: Random) {
        super();
    }

    choose(candidates: readonly UpstreamLoad[]): Choice {
        const first = this.random.pick(candidates);
        const second = this.random.pick(candidates);
        const load = fill(second) < fill(first) ? second : first;
        return { load, reason: `better of two (${load.outstanding} outstanding)` };
    }
}

/** What the parts of a choice weigh. */
export interface ScoreWeights {
    /** Processing time of one prompt token that is not cached, in milliseconds. */
    readonly prefillTokenMs: number;
    /** One-way latency to another zone, in milliseconds. */
    readonly zoneMs: number;
    /** How much a full batch slows each token, as a share of the pace. */
    readonly batchSlowdown: number;
    /** Pace assumed until one was seen, in milliseconds. */
    readonly defaultTokenMs: number;
}

/** Figures of a mid-size model. */
export const DEFAULT_SCORE_WEIGHTS: ScoreWeights = {
    prefillTokenMs: 0.25,
    zoneMs: 1,
    batchSlowdown: 0.5,
    defaultTokenMs: 30,
};

/**
 * The upstream where the answer will probably end first: processing of the prompt that is not cached, the pace seen
 * there, the slowdown by its batch, and the way to its zone, all in milliseconds.
 */
export class ExpectedTimeChoice extends UpstreamChoice {
    constructor(
        private readonly prefixes: PrefixIndex,
        private readonly weights: ScoreWeights = DEFAULT_SCORE_WEIGHTS,
    ) {
        super();
    }

    choose(candidates: readonly UpstreamLoad[], request: ChoiceRequest): Choice {
        const median = medianTokenMs(candidates) ?? this.weights.defaultTokenMs;
        let best = candidates[0];
        let bestMs = Infinity;
        for (const load of candidates) {
            const ms = this.expectedMs(load, request, median);
            if (ms >= bestMs) continue;
            best = load;
            bestMs = ms;
        }
        const cached = Math.round(100 * this.prefixes.cachedShare(request.prefixes, best.upstream.id));
        return { load: best, reason: `expected ${Math.round(bestMs)} ms, ${cached}% of prefixes cached` };
    }

    private expectedMs(load: UpstreamLoad, request: ChoiceRequest, medianMs: number): number {
        const cached = this.prefixes.cachedShare(request.prefixes, load.upstream.id);
        const prefillMs = request.promptTokens * (1 - cached) * this.weights.prefillTokenMs;
        const paceMs = (load.tokenMs ?? medianMs) * request.predictedTokens;
        const batchMs = medianMs * request.predictedTokens * this.weights.batchSlowdown * fill(load);
        const zoneMs = load.upstream.zone === request.zone ? 0 : 2 * this.weights.zoneMs;
        return prefillMs + paceMs + batchMs + zoneMs;
    }
}

function fill(load: UpstreamLoad): number {
    return load.outstanding / load.upstream.slots;
}
