import { crc32 } from "@node-rs/crc32";
import { RequestId, UpstreamId } from "../../ids/index.js";
import { Choice, ChoiceRequest, PartsFetch, UpstreamChoice } from "../choice/index.js";
import { UpstreamLoad } from "../load/index.js";
import { PauseForecast } from "../pauseForecast/index.js";
import { PendingPrefill, PrefillClock } from "../prefillClock/index.js";
import { PrefillModel, PrefillWork } from "../prefillModel/index.js";
import { PromptCache, PromptPart } from "../promptCache/index.js";
import { ReadingHistory, ReadingStretch } from "../readingHistory/index.js";

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
    /** Each running stream whose longest pause would be passed beside this prompt, as a share of the request's target. */
    readonly stallTargets: number;
    /** The chance that the request's own stream pauses for too long, in targets: it is then as late as one that waits for its whole target. */
    readonly ownStallTargets: number;
    /** Each millisecond for which a working upstream has been silent beyond what it may. */
    readonly silentFactor: number;
    /**
     * Any upstream but the one to which a prompt's shared parts belong, while nobody is known to hold them: so many times what
     * reading them takes.
     */
    readonly strangerFactor: number;
}

/**
 * Reading a shared part again takes the time of all that waits behind it, and is paid for: a prompt waits for its parts up to one and a
 * half times as long as reading them takes. Five times was tried: a quarter less was read again, and twice as many streams came late
 * beside the longer queues. The rest are differences that callers would notice.
 */
export const DEFAULT_ROUTED_WEIGHTS: RoutedWeights = {
    rereadFactor: 2.5,
    runningMs: 2,
    otherZoneMs: 2,
    otherZoneKilobyteMs: 1,
    failingMs: 1_000,
    fullMs: 500,
    stallTargets: 0.3,
    ownStallTargets: 1,
    silentFactor: 3,
    strangerFactor: 1,
};

/**
 * How long a working upstream may give no sign, in milliseconds, beside what it still has to read: entries pass on what has come every
 * 200 ms, and a plain service may work on one call for nearly half a second.
 */
const SILENCE_MS = 600;

/** Over this time the load is averaged, in milliseconds. */
const LOAD_MEMORY_MS = 5_000;
/** How much of the failure rate one outcome makes. */
const FAILURE_WEIGHT = 0.1;
const BYTES_PER_KILOBYTE = 1_024;
/** Fewer tokens are read sooner than fetched. */
const LEAST_FETCHED_TOKENS = 1_000;
/** Parts that were used within this time will probably be used again soon, in milliseconds. */
const HOT_MS = 10_000;
/** How long a token takes where no pace was seen yet, in milliseconds: that of a mid-size model on current hardware. */
const USUAL_PACE_MS = 10;
/** An upstream that fails more of its requests than this is not asked for parts. */
const MOST_FAILING = 0.3;

interface UpstreamWork {
    readonly prefill: PrefillClock;
    readonly reading: ReadingHistory;
    readonly running: Set<Running>;
    /** When it last gave a sign of work, or began to work after a rest; monotonic, in milliseconds. */
    heardAt: number;
    /** The share of its last requests that failed, from 0 to 1. */
    failureRate: number;
}

/** The parts of a prompt that others may begin with too: all but the last, which is its own. */
interface SharedParts {
    readonly parts: readonly PromptPart[];
    readonly tokens: number;
    /** Where they belong, if no candidate is known to hold them. */
    readonly home: UpstreamId | undefined;
}

/** What decides which pause is too long for a stream. */
type StreamShape = Pick<ChoiceRequest, "gapMs" | "eventTokens">;

interface Running extends StreamShape {
    readonly upstream: UpstreamId;
    readonly parts: readonly PromptPart[];
    pending: PendingPrefill | undefined;
    /** When its first token came; monotonic, in milliseconds. */
    startedAt: number;
    /** The longest stretch of reading beside it so far. */
    beside: ReadingStretch | undefined;
    /** How probable it is that it has paused for too long already, or will, from 0 to 1. */
    lateChance: number;
}

const NEW_STREAM = { pending: undefined, beside: undefined, lateChance: 0 } as const;

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
    private readonly running = new Map<RequestId, Running>();
    private readonly cache: PromptCache;
    private readonly model = new PrefillModel();
    private readonly pauses = new PauseForecast(this.model);
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
        const shared = this.describeShared(candidates, request);
        let best = candidates[0];
        let bestMs = Number.POSITIVE_INFINITY;
        for (const load of candidates) {
            const ms = this.weigh(load, request, shared);
            if (ms >= bestMs) continue;
            best = load;
            bestMs = ms;
        }
        const fetch = this.findFetch(best, request, shared);
        const held = this.cache.heldTokens(request.parts, best.upstream.id);
        const backlog = this.workOf(best.upstream.id).prefill.backlogMs(request.now);
        const reason = `weight ${Math.round(bestMs)} ms, backlog ${Math.round(backlog)} ms, `
            + `${held} of ${request.promptTokens} tokens held, ${best.outstanding} running`
            + (fetch ? `, ${fetch.tokens} from ${fetch.from.upstream.id}` : "");
        return { load: best, reason, fetch };
    }

    override granted({ load, fetch }: Choice, request: ChoiceRequest): void {
        const { id } = load.upstream;
        const { now, parts, gapMs, eventTokens, promptTokens } = request;
        const work = this.workOf(id);
        const prefill = this.describeWork(request, id, fetch?.tokens);
        this.cache.use(parts, id, now);
        this.addLoad(work.prefill.readMs(prefill), now);
        if (work.running.size === 0) work.heardAt = now;
        const pending = work.prefill.begin(prefill, now);
        this.noteReading(work, promptTokens, now);
        this.keep(request, { upstream: id, parts, gapMs, eventTokens, startedAt: now, ...NEW_STREAM, pending });
    }

    /**
     * Guards against a new owner of the queue that takes upstreams for free of streams: those that were granted by the owner before would
     * stand still beside the first long prompts. Whether they have shown a token is not known; most have.
     */
    override adopted({ upstream }: UpstreamLoad, request: ChoiceRequest, runningMs: number): void {
        const { parts, gapMs, eventTokens, now } = request;
        const work = this.workOf(upstream.id);
        if (work.running.size === 0) work.heardAt = now;
        const startedAt = now - runningMs;
        this.cache.use(parts, upstream.id, startedAt);
        this.keep(request, { upstream: upstream.id, parts, gapMs, eventTokens, startedAt, ...NEW_STREAM });
    }

    private keep({ request }: ChoiceRequest, running: Running): void {
        this.running.set(request, running);
        this.workOf(running.upstream).running.add(running);
    }

    /** The streams that run there stand still for the stretch that goes on now. */
    private noteReading({ prefill, reading, running }: UpstreamWork, promptTokens: number, now: number): void {
        const stretch = reading.note(now + prefill.backlogMs(now), promptTokens, now);
        for (const each of running) {
            if (each.pending) continue;
            if (!each.beside || lengthOf(stretch) >= lengthOf(each.beside)) each.beside = stretch;
            each.lateChance = Math.max(each.lateChance, this.chanceTooLong(stretch, each));
        }
    }

    override readingLoad(now: number): number {
        this.addLoad(0, now);
        return this.load;
    }

    override progressed(request: RequestId, isFirst: boolean, now: number): void {
        const running = this.running.get(request);
        if (!running) return;
        const work = this.workOf(running.upstream);
        work.heardAt = now;
        if (!isFirst || !running.pending) return;
        work.prefill.finish(running.pending, now);
        running.pending = undefined;
        running.startedAt = now;
        this.cache.confirm(running.parts, running.upstream);
    }

    override ended(request: RequestId, failed: boolean | undefined, now: number, longestGapMs?: number): void {
        const running = this.running.get(request);
        if (!running) return;
        this.running.delete(request);
        const work = this.workOf(running.upstream);
        work.running.delete(running);
        if (running.pending) work.prefill.end(running.pending, now);
        if (longestGapMs !== undefined) this.learnPause(running, longestGapMs, now);
        if (failed === undefined) return;
        if (!failed) work.heardAt = now;
        work.failureRate += FAILURE_WEIGHT * ((failed ? 1 : 0) - work.failureRate);
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
        const { prefill, failureRate } = this.workOf(upstream.id);
        const work = this.describeWork(request, upstream.id);
        const readMs = prefill.readMs(work);
        const reread = { tokens: Math.max(0, shared.tokens - work.held), held: Math.min(work.held, shared.tokens) };
        const rereadMs = (weights.rereadFactor - 1) * prefill.readMs(reread);
        const sharedMs = prefill.readMs({ tokens: shared.tokens, held: 0 });
        const isStranger = shared.home !== undefined && upstream.id !== shared.home;
        const isFar = upstream.zone !== request.zone;
        const farMs = weights.otherZoneMs + weights.otherZoneKilobyteMs * request.bodyBytes / BYTES_PER_KILOBYTE;
        const waitMs = prefill.predictMs(work, request.now);
        return waitMs * (1 + waitMs / request.targetMs)
            + rereadMs
            + weights.runningMs * load.outstanding
            + (load.outstanding >= upstream.slots ? weights.fullMs : 0)
            + (isFar ? farMs : 0)
            + weights.stallTargets * request.targetMs * this.countStalled(upstream.id, readMs, request)
            + weights.ownStallTargets * request.targetMs * this.chanceOfStall(load, request)
            + weights.silentFactor * this.silentMs(upstream.id, request.now)
            + (isStranger ? weights.strangerFactor * sharedMs : 0)
            + weights.failingMs * failureRate;
    }

    /**
     * An upstream from which the chosen one should fetch shared parts.
     *
     * Only parts that were used of late: their next use is near, while moving what is not used again costs more than reading it once.
     * Only from an upstream that has certainly read them: one that is still reading them has nothing to give. One that leaves is as good a
     * source as any until it has gone, and the only one for what it alone holds.
     */
    private findFetch(chosen: UpstreamLoad, request: ChoiceRequest, { parts }: SharedParts): PartsFetch | undefined {
        const { sources, now } = request;
        const held = this.cache.heldTokens(parts, chosen.upstream.id);
        const hot = { isRead: true, usedAfter: now - HOT_MS };
        let best: PartsFetch | undefined;
        for (const from of sources) {
            if (from === chosen || !this.canGive(from, now)) continue;
            const tokens = this.cache.heldTokens(parts, from.upstream.id, hot) - held;
            if (tokens >= LEAST_FETCHED_TOKENS && tokens > (best?.tokens ?? 0)) best = { from, tokens };
        }
        return best;
    }

    private canGive({ upstream }: UpstreamLoad, now: number): boolean {
        if (upstream.state === "gone") return false;
        return this.workOf(upstream.id).failureRate <= MOST_FAILING && this.silentMs(upstream.id, now) === 0;
    }

    private describeShared(candidates: readonly UpstreamLoad[], request: ChoiceRequest): SharedParts {
        const parts = request.parts.slice(0, -1);
        return { parts, tokens: sumTokens(parts), home: this.findHome(candidates, parts) };
    }

    /** How long a working upstream has been silent beyond what it may, in milliseconds. */
    private silentMs(upstream: UpstreamId, now: number): number {
        const { running, heardAt, prefill } = this.workOf(upstream);
        if (running.size === 0) return 0;
        return Math.max(0, now - heardAt - SILENCE_MS - prefill.backlogMs(now));
    }

    /**
     * Where parts belong that nobody is known to hold: the candidate with the highest hash of them and its own id, the same one for each
     * owner of the queue.
     */
    private findHome(candidates: readonly UpstreamLoad[], parts: readonly PromptPart[]): UpstreamId | undefined {
        if (parts.length === 0) return undefined;
        if (candidates.some(({ upstream }) => this.cache.heldTokens(parts, upstream.id) > 0)) return undefined;
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

    /** How many streams that run there would pause for too long beside this prompt, and would not without it. */
    private countStalled(upstream: UpstreamId, readMs: number, { promptTokens, now }: ChoiceRequest): number {
        const { prefill, reading, running } = this.workOf(upstream);
        const stretch = reading.extend(now + prefill.backlogMs(now) + readMs, promptTokens, now);
        let count = 0;
        for (const stream of running) {
            if (!stream.pending) count += Math.max(0, this.chanceTooLong(stretch, stream) - stream.lateChance);
        }
        return count;
    }

    /** How probable it is that this request's own stream would pause for too long there, from 0 to 1. */
    private chanceOfStall({ upstream, tokenMs }: UpstreamLoad, request: ChoiceRequest): number {
        if (request.gapMs === undefined) return 0;
        const harmOf = (stretch: ReadingStretch): number => this.chanceTooLong(stretch, request);
        const runningMs = request.predictedTokens * (tokenMs ?? USUAL_PACE_MS);
        return this.workOf(upstream.id).reading.chanceOfHarm(harmOf, runningMs, request.now);
    }

    private chanceTooLong(stretch: ReadingStretch, { gapMs, eventTokens }: StreamShape): number {
        return gapMs === undefined ? 0 : this.pauses.chanceTooLong(stretch, eventTokens, gapMs);
    }

    private learnPause({ beside, startedAt, eventTokens }: Running, longestGapMs: number, now: number): void {
        if (!beside) return;
        const startsAt = Math.max(startedAt, beside.startsAt);
        const endsAt = Math.min(now, beside.endsAt);
        this.pauses.learn({ ...beside, startsAt, endsAt }, eventTokens, longestGapMs);
    }

    private addLoad(readMs: number, now: number): void {
        this.load *= Math.exp((this.loadAt - now) / LOAD_MEMORY_MS);
        this.loadAt = now;
        this.load += readMs / LOAD_MEMORY_MS;
    }

    private describeWork({ parts, promptTokens }: ChoiceRequest, upstream: UpstreamId, fetched = 0): PrefillWork {
        const held = Math.min(promptTokens, this.cache.heldTokens(parts, upstream) + fetched);
        return { tokens: promptTokens - held, held };
    }

    private workOf(upstream: UpstreamId): UpstreamWork {
        const known = this.work.get(upstream);
        if (known) return known;
        const work = {
            prefill: new PrefillClock(this.model),
            reading: new ReadingHistory(),
            running: new Set<Running>(),
            heardAt: 0,
            failureRate: 0,
        };
        this.work.set(upstream, work);
        return work;
    }
}

function lengthOf({ startsAt, endsAt }: ReadingStretch): number {
    return endsAt - startsAt;
}

function sumTokens(parts: readonly PromptPart[]): number {
    return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}
