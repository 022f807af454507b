import { PoolId, RequestId, UpstreamId, ZoneId } from "../../ids/index.js";
import { Random } from "../../ports/index.js";
import { PrefixIndex } from "../prefixIndex/index.js";
import { PromptPart } from "../promptCache/index.js";
import { medianTokenMs } from "../stragglerPolicy/index.js";
import { UpstreamLoad } from "../upstreamLoad/index.js";
import { UpstreamUse } from "../upstreamUse/index.js";

/** Properties of a request that the selection of an upstream depends on. */
export interface SelectionRequest {
    readonly request: RequestId;
    readonly pool: PoolId;
    /** Its rank; 0 is the most urgent. */
    readonly tier: number;
    /** Parts of the prompt with their sizes; empty if unknown. */
    readonly parts: readonly PromptPart[];
    /**
     * Finds an upstream from which the candidates can fetch parts; undefined if the pool's upstreams don't support
     * that.
     */
    readonly findSource: ((id: UpstreamId) => UpstreamLoad | undefined) | undefined;
    /**
     * Longest pause between two events that counts as on time, in milliseconds; undefined for answers that are not
     * streamed.
     */
    readonly gapMs: number | undefined;
    /** Number of tokens per event of the stream. */
    readonly eventTokens: number;
    /** Target time to first token, in milliseconds. */
    readonly targetMs: number;
    /** Size of the body to be sent to the upstream, in bytes. */
    readonly bodyBytes: number;
    /** Monotonic time, in milliseconds. */
    readonly now: number;
    /** Time since its arrival, in milliseconds. */
    readonly ageMs: number;
    readonly prefixes: readonly string[];
    readonly promptTokens: number;
    /** Predicted length of the answer, in tokens. */
    readonly predictedTokens: number;
    /** Zone of the entry that will send it. */
    readonly zone: ZoneId;
}

/** The selected upstream and the reason for it. */
export interface Choice {
    readonly load: UpstreamLoad;
    /** Shown by `sequoiamux explain`. */
    readonly reason: string;
    /** Parts of the prompt that the selected upstream should fetch from another one instead of computing them. */
    readonly fetch?: PartsFetch;
}

/** Prompt parts to be transferred from one upstream to another. */
export interface PartsFetch {
    readonly from: UpstreamLoad;
    readonly tokens: number;
}

/** Selects the upstream for the next request of a pool's queue. */
export abstract class SelectionPolicy {
    /**
     * Maximum number of candidates offered to `choose`. A policy that weighs each one in full gets a sample of a large
     * pool.
     */
    readonly maxCandidates: number = 32;

    /**
     * Selects one of the candidates.
     *
     * @param candidates - Members with a free slot; at least one.
     * @param request - The request to be sent.
     */
    abstract choose(candidates: readonly UpstreamLoad[], request: SelectionRequest): Choice;

    /**
     * Returns the candidates that a request may use without harm to more urgent ones; none where it should wait for another upstream.
     *
     * @param candidates - Members with a free slot.
     * @param _pool - All members.
     */
    reserve(
        candidates: readonly UpstreamLoad[],
        _request: SelectionRequest,
        _pool: readonly UpstreamLoad[],
    ): readonly UpstreamLoad[] {
        return candidates;
    }

    /** Whether an upstream is left to more urgent requests at the moment. */
    isReserved(_upstream: UpstreamId): boolean {
        return false;
    }

    /** Called when a request has been granted to the selected upstream. */
    granted(_choice: Choice, _request: SelectionRequest): void {}

    /** Called for a running request granted by another process, with the time it has been running in milliseconds. */
    adopted(_load: UpstreamLoad, _request: SelectionRequest, _runningMs: number): void {}

    /** Called when tokens of a granted request have arrived; `isFirst` for the first of them. */
    progressed(_request: RequestId, _isFirst: boolean, _now: number): void {}

    /**
     * Called when a granted request has ended. `failed` is undefined if the outcome says nothing about the upstream.
     * `longestGapMs` is the longest time between two of its events in milliseconds, undefined if unknown.
     */
    ended(_request: RequestId, _failed: boolean | undefined, _now: number, _longestGapMs?: number): void {}

    /**
     * Returns the recent prefill load as a number of fully busy upstreams; undefined if the policy does not track it.
     *
     * @param now - Monotonic time, in milliseconds.
     */
    prefillLoad(_now: number): number | undefined {
        return undefined;
    }

    /** Returns what the requests of this process use of an upstream, as far as the policy tracks it. */
    describeUse(_upstream: UpstreamId, _now: number): Pick<UpstreamUse, "memoryTokens" | "backlogMs"> {
        return { memoryTokens: 0, backlogMs: 0 };
    }

    /** Called with what the requests of other owners of the queue use of an upstream. */
    recordOthersUse(_use: UpstreamUse, _now: number): void {}

    /** Called with the prompt parts that an upstream reports to hold. */
    recordHeldParts(_upstream: UpstreamId, _parts: readonly PromptPart[], _now: number): void {}

    /** Called when an upstream has ended or restarted. */
    forget(_upstream: UpstreamId): void {}
}

/** Baseline: selects the candidates in turn. */
export class RoundRobinPolicy extends SelectionPolicy {
    private readonly lastTurn = new Map<UpstreamId, number>();
    private turn = 0;

    choose(candidates: readonly UpstreamLoad[]): Choice {
        const turnOf = (load: UpstreamLoad): number => this.lastTurn.get(load.upstream.id) ?? 0;
        const load = candidates.reduce((best, other) => turnOf(other) < turnOf(best) ? other : best);
        this.lastTurn.set(load.upstream.id, ++this.turn);
        return { load, reason: "its turn" };
    }
}

/** Baseline: selects the candidate with the fewest requests relative to its slots. */
export class LeastOutstandingPolicy extends SelectionPolicy {
    choose(candidates: readonly UpstreamLoad[]): Choice {
        const load = candidates.reduce((best, other) => utilization(other) < utilization(best) ? other : best);
        return { load, reason: `least outstanding (${load.outstanding})` };
    }
}

/** Baseline: selects the better of two random candidates, which avoids that many entries select the same one. */
export class TwoRandomChoicesPolicy extends SelectionPolicy {
    constructor(private readonly random: Random) {
        super();
    }

    choose(candidates: readonly UpstreamLoad[]): Choice {
        const first = this.random.pick(candidates);
        const second = this.random.pick(candidates);
        const load = utilization(second) < utilization(first) ? second : first;
        return { load, reason: `better of two (${load.outstanding} outstanding)` };
    }
}

/** Parameters of the estimate of an answer's total time. */
export interface ExpectedTimeWeights {
    /** Prefill time per uncached prompt token, in milliseconds. */
    readonly prefillTokenMs: number;
    /** One-way latency to another zone, in milliseconds. */
    readonly otherZoneMs: number;
    /** Slowdown of each token by a full batch, as a share of the time per token. */
    readonly batchSlowdown: number;
    /** Time per token assumed until one was observed, in milliseconds. */
    readonly defaultTokenMs: number;
}

/** Values of a mid-size model. */
export const DEFAULT_EXPECTED_TIME_WEIGHTS: ExpectedTimeWeights = {
    prefillTokenMs: 0.25,
    otherZoneMs: 1,
    batchSlowdown: 0.5,
    defaultTokenMs: 30,
};

/**
 * Selects the upstream on which the answer will probably end first. The estimate in milliseconds adds up the prefill of
 * the uncached prompt, the observed time per token, the slowdown by the batch, and the latency to its zone.
 */
export class ExpectedTimePolicy extends SelectionPolicy {
    constructor(
        private readonly prefixes: PrefixIndex,
        private readonly weights: ExpectedTimeWeights = DEFAULT_EXPECTED_TIME_WEIGHTS,
    ) {
        super();
    }

    choose(candidates: readonly UpstreamLoad[], request: SelectionRequest): Choice {
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

    private expectedMs(load: UpstreamLoad, request: SelectionRequest, medianMs: number): number {
        const cached = this.prefixes.cachedShare(request.prefixes, load.upstream.id);
        const prefillMs = request.promptTokens * (1 - cached) * this.weights.prefillTokenMs;
        const paceMs = (load.tokenMs ?? medianMs) * request.predictedTokens;
        const batchMs = medianMs * request.predictedTokens * this.weights.batchSlowdown * utilization(load);
        const zoneMs = load.upstream.zone === request.zone ? 0 : 2 * this.weights.otherZoneMs;
        return prefillMs + paceMs + batchMs + zoneMs;
    }
}

function utilization(load: UpstreamLoad): number {
    return load.outstanding / load.upstream.slots;
}
