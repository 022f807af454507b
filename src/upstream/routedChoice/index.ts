import { RequestId, UpstreamId } from "../../ids/index.js";
import { Choice, ChoiceRequest, UpstreamChoice } from "../choice/index.js";
import { UpstreamLoad } from "../load/index.js";
import { PendingPrefill, PrefillClock } from "../prefillClock/index.js";
import { PromptCache } from "../promptCache/index.js";

/** What the parts of a choice weigh, in milliseconds of a caller's wait. */
export interface RoutedWeights {
    /** Reading tokens that another upstream holds: the work is lost for others, beside the time that it takes here. */
    readonly rereadFactor: number;
    /** Each request that runs there slows every token of the batch. */
    readonly runningMs: number;
    /** The way to another zone and back, and each kilobyte that crosses, which is paid for. */
    readonly otherZoneMs: number;
    readonly otherZoneKilobyteMs: number;
    /** An upstream all of whose requests fail. */
    readonly failingMs: number;
    /** A request that has to wait for a slot. */
    readonly fullMs: number;
    /** Each running stream whose longest pause would be passed while this prompt is read. */
    readonly stallMs: number;
}

/** A reread costs half as much again; the rest are the differences that callers would notice. */
export const DEFAULT_ROUTED_WEIGHTS: RoutedWeights = {
    rereadFactor: 1.5,
    runningMs: 2,
    otherZoneMs: 2,
    otherZoneKilobyteMs: 1,
    failingMs: 1_000,
    fullMs: 500,
    stallMs: 300,
};

/** Over this time the load is averaged, in milliseconds. */
const LOAD_MEMORY_MS = 5_000;
/** How much of the failure rate one outcome makes. */
const FAILURE_WEIGHT = 0.1;
const BYTES_PER_KILOBYTE = 1_024;

interface UpstreamWork {
    readonly prefill: PrefillClock;
    readonly running: Set<Running>;
    /** The share of its last requests that failed, from 0 to 1. */
    failureRate: number;
}

interface Running {
    readonly upstream: UpstreamId;
    readonly gapMs: number | undefined;
    pending: PendingPrefill | undefined;
}

/**
 * The upstream where the first token will probably come first, by what this process sent there: prompts that it still has to read,
 * the parts of this prompt that it holds, and how many requests run beside. Upstreams that fail requests come last.
 *
 * Answers bursts of long prompts: reports of load are a few hundred milliseconds old, and in that time a burst fills the engine that
 * was idle when it reported. Here each grant counts at once. Answers long prompts beside short questions too: while an engine reads a
 * prompt its running streams stand still, so a long one goes where no stream runs that could not bear the pause.
 */
export class RoutedChoice extends UpstreamChoice {
    private readonly work = new Map<UpstreamId, UpstreamWork>();
    private readonly running = new Map<RequestId, Running>();
    private readonly cache: PromptCache;
    /** Milliseconds of reading in a millisecond, averaged. */
    private load = 0;
    private loadAt = 0;

    constructor(
        capacity: () => number | undefined,
        private readonly weights: RoutedWeights = DEFAULT_ROUTED_WEIGHTS,
    ) {
        super();
        this.cache = new PromptCache(capacity);
    }

    choose(candidates: readonly UpstreamLoad[], request: ChoiceRequest): Choice {
        let best = candidates[0];
        let bestMs = Number.POSITIVE_INFINITY;
        for (const load of candidates) {
            const ms = this.weigh(load, request);
            if (ms >= bestMs) continue;
            best = load;
            bestMs = ms;
        }
        const held = this.cache.heldTokens(request.parts, best.upstream.id);
        const backlog = this.workOf(best.upstream.id).prefill.backlogMs(request.now);
        const reason = `weight ${Math.round(bestMs)} ms, backlog ${Math.round(backlog)} ms, `
            + `${held} of ${request.promptTokens} tokens held, ${best.outstanding} running`;
        return { load: best, reason };
    }

    override granted(load: UpstreamLoad, request: ChoiceRequest): void {
        const { id } = load.upstream;
        const { prefill } = this.workOf(id);
        const tokens = this.tokensToRead(request, id);
        this.cache.use(request.parts, id);
        this.addLoad(tokens * prefill.millisecondsPerToken, request.now);
        const running = { upstream: id, gapMs: request.gapMs, pending: prefill.begin(tokens, request.now) };
        this.running.set(request.request, running);
        this.workOf(id).running.add(running);
    }

    override readingLoad(now: number): number {
        this.addLoad(0, now);
        return this.load;
    }

    override firstToken(request: RequestId, now: number): void {
        const running = this.running.get(request);
        if (!running?.pending) return;
        this.workOf(running.upstream).prefill.finish(running.pending, now);
        running.pending = undefined;
    }

    override ended(request: RequestId, failed: boolean | undefined, now: number): void {
        const running = this.running.get(request);
        if (!running) return;
        this.running.delete(request);
        const work = this.workOf(running.upstream);
        work.running.delete(running);
        if (running.pending) work.prefill.end(now);
        if (failed === undefined) return;
        work.failureRate += FAILURE_WEIGHT * ((failed ? 1 : 0) - work.failureRate);
    }

    override forget(upstream: UpstreamId): void {
        this.work.delete(upstream);
        this.cache.forget(upstream);
    }

    private weigh(load: UpstreamLoad, request: ChoiceRequest): number {
        const { upstream } = load;
        const { weights } = this;
        const { prefill, failureRate } = this.workOf(upstream.id);
        const tokens = this.tokensToRead(request, upstream.id);
        const readMs = tokens * prefill.millisecondsPerToken;
        const rereadMs = (weights.rereadFactor - 1) * readMs;
        const isFar = upstream.zone !== request.zone;
        const farMs = weights.otherZoneMs + weights.otherZoneKilobyteMs * request.bodyBytes / BYTES_PER_KILOBYTE;
        return prefill.predictMs(tokens, request.now)
            + rereadMs
            + weights.runningMs * load.outstanding
            + (load.outstanding >= upstream.slots ? weights.fullMs : 0)
            + (isFar ? farMs : 0)
            + weights.stallMs * this.countStalled(upstream.id, readMs)
            + weights.failingMs * failureRate;
    }

    private countStalled(upstream: UpstreamId, readMs: number): number {
        let count = 0;
        for (const { gapMs } of this.workOf(upstream).running) {
            if (gapMs !== undefined && readMs > gapMs) count++;
        }
        return count;
    }

    private addLoad(readMs: number, now: number): void {
        this.load *= Math.exp((this.loadAt - now) / LOAD_MEMORY_MS);
        this.loadAt = now;
        this.load += readMs / LOAD_MEMORY_MS;
    }

    private tokensToRead({ parts, promptTokens }: ChoiceRequest, upstream: UpstreamId): number {
        return Math.max(0, promptTokens - this.cache.heldTokens(parts, upstream));
    }

    private workOf(upstream: UpstreamId): UpstreamWork {
        const known = this.work.get(upstream);
        if (known) return known;
        const work = {
            prefill: new PrefillClock(this.usualTokenMs()),
            running: new Set<Running>(),
            failureRate: 0,
        };
        this.work.set(upstream, work);
        return work;
    }

    /** A new upstream is taken to be as fast as the others. */
    private usualTokenMs(): number | undefined {
        const times = [...this.work.values()].map(({ prefill }) => prefill.millisecondsPerToken).sort((a, b) => a - b);
        return times.length === 0 ? undefined : times[Math.floor(times.length / 2)];
    }
}
