import { UpstreamId } from "../../ids/index.js";
import { ChoiceRequest } from "../choice/index.js";
import { MemoryShape, MemoryUse } from "../memoryUse/index.js";
import { PauseForecast } from "../pauseForecast/index.js";
import { PendingPrefill, PrefillClock } from "../prefillClock/index.js";
import { PrefillModel, PrefillWork } from "../prefillModel/index.js";
import { ReadingHistory, ReadingStretch } from "../readingHistory/index.js";

/**
 * How long a working upstream may give no sign, in milliseconds, beside what it still has to read: entries pass on what has come every
 * 200 ms, and a plain service may work on one call for nearly half a second.
 */
const SILENCE_MS = 600;
/** How much of the failure rate one outcome makes. */
const FAILURE_WEIGHT = 0.1;
/** How long a token takes where no pace was seen yet, in milliseconds: that of a mid-size model on current hardware. */
const USUAL_PACE_MS = 10;

/** What decides which pause is too long for a stream. */
type StreamShape = Pick<ChoiceRequest, "gapMs" | "eventTokens">;

/** A request that was granted and has not ended. */
export interface GrantedRequest extends StreamShape, MemoryShape {
    readonly upstream: UpstreamId;
    pending: PendingPrefill | undefined;
    /** When its first token came; monotonic, in milliseconds. */
    startedAt: number;
    /** The longest stretch of reading beside it so far. */
    beside: ReadingStretch | undefined;
    /** How probable it is that it has paused for too long already, or will, from 0 to 1. */
    lateChance: number;
}

/** What one upstream was given to do, as far as this process granted it, and how it gets on with it. */
export class UpstreamWork {
    readonly prefill: PrefillClock;
    readonly memory = new MemoryUse();
    private readonly reading = new ReadingHistory();
    private readonly running = new Set<GrantedRequest>();
    /** When it last gave a sign of work, or began to work after a rest; monotonic, in milliseconds. */
    private heardAt = 0;
    private failures = 0;

    constructor(private readonly upstream: UpstreamId, model: PrefillModel, private readonly pauses: PauseForecast) {
        this.prefill = new PrefillClock(model);
    }

    /** The share of its last requests that failed, from 0 to 1. */
    get failureRate(): number {
        return this.failures;
    }

    /** A request is sent there. The streams that run there stand still for the stretch of reading that goes on now. */
    begin(request: ChoiceRequest, work: PrefillWork): GrantedRequest {
        const { now, promptTokens } = request;
        const pending = this.prefill.begin(work, now);
        const stretch = this.reading.note(now + this.prefill.backlogMs(now), promptTokens, now);
        for (const stream of this.running) {
            if (!stream.pending) this.noteBeside(stream, stretch);
        }
        return this.add(request, now, pending);
    }

    /** A request runs there by another process' grant, for so many milliseconds. Whether it has shown a token is not known; most have. */
    adopt(request: ChoiceRequest, runningMs: number): GrantedRequest {
        return this.add(request, request.now - runningMs, undefined);
    }

    /**
     * Tokens of a request have come.
     *
     * @returns Whether its prompt has just been read.
     */
    progressed(granted: GrantedRequest, isFirst: boolean, now: number): boolean {
        this.heardAt = now;
        if (!isFirst || !granted.pending) return false;
        this.prefill.finish(granted.pending, now);
        granted.pending = undefined;
        granted.startedAt = now;
        return true;
    }

    /** As `UpstreamChoice.ended`. */
    ended(granted: GrantedRequest, failed: boolean | undefined, now: number, longestGapMs: number | undefined): void {
        if (this.running.delete(granted)) this.memory.remove(granted);
        if (granted.pending) this.prefill.end(granted.pending, now);
        if (longestGapMs !== undefined) this.learnPause(granted, longestGapMs, now);
        if (failed === undefined) return;
        if (!failed) this.heardAt = now;
        this.failures += FAILURE_WEIGHT * ((failed ? 1 : 0) - this.failures);
    }

    /** How long it has been silent beyond what a working upstream may, in milliseconds. */
    silentMs(now: number): number {
        if (this.running.size === 0) return 0;
        return Math.max(0, now - this.heardAt - SILENCE_MS - this.prefill.backlogMs(now));
    }

    /** How many streams that run there would pause for too long beside this prompt, and would not without it. */
    countStalled({ promptTokens, now }: ChoiceRequest, work: PrefillWork): number {
        const endsAt = now + this.prefill.backlogMs(now) + this.prefill.readMs(work);
        const stretch = this.reading.extend(endsAt, promptTokens, now);
        let count = 0;
        for (const stream of this.running) {
            if (!stream.pending) count += Math.max(0, this.chanceTooLong(stretch, stream) - stream.lateChance);
        }
        return count;
    }

    /**
     * How probable it is that this request's own stream would pause for too long there, from 0 to 1.
     *
     * @param tokenMs - The time between two tokens there, in milliseconds, where it was seen.
     */
    chanceOfStall(request: ChoiceRequest, tokenMs: number | undefined): number {
        if (request.gapMs === undefined) return 0;
        const harmOf = (stretch: ReadingStretch): number => this.chanceTooLong(stretch, request);
        const runningMs = request.predictedTokens * (tokenMs ?? USUAL_PACE_MS);
        return this.reading.chanceOfHarm(harmOf, runningMs, request.now);
    }

    private add(request: ChoiceRequest, startedAt: number, pending: PendingPrefill | undefined): GrantedRequest {
        const { upstream } = this;
        const { parts, promptTokens, predictedTokens, gapMs, eventTokens, now } = request;
        if (this.running.size === 0) this.heardAt = now;
        const shape = { parts, promptTokens, predictedTokens, gapMs, eventTokens };
        const granted = { upstream, ...shape, pending, startedAt, beside: undefined, lateChance: 0 };
        this.running.add(granted);
        this.memory.add(granted);
        return granted;
    }

    private noteBeside(stream: GrantedRequest, stretch: ReadingStretch): void {
        if (!stream.beside || lengthOf(stretch) >= lengthOf(stream.beside)) stream.beside = stretch;
        stream.lateChance = Math.max(stream.lateChance, this.chanceTooLong(stretch, stream));
    }

    private chanceTooLong(stretch: ReadingStretch, { gapMs, eventTokens }: StreamShape): number {
        return gapMs === undefined ? 0 : this.pauses.chanceTooLong(stretch, eventTokens, gapMs);
    }

    private learnPause({ beside, startedAt, eventTokens }: GrantedRequest, longestGapMs: number, now: number): void {
        if (!beside) return;
        const startsAt = Math.max(startedAt, beside.startsAt);
        const endsAt = Math.min(now, beside.endsAt);
        this.pauses.learn({ ...beside, startsAt, endsAt }, eventTokens, longestGapMs);
    }
}

function lengthOf({ startsAt, endsAt }: ReadingStretch): number {
    return endsAt - startsAt;
}
