import { UpstreamId } from "../../ids/index.js";
import { MemoryDemand, MemoryUse } from "../memoryUse/index.js";
import { PauseForecast } from "../pauseForecast/index.js";
import { PrefillHistory, PrefillPeriod } from "../prefillHistory/index.js";
import { PrefillModel, PrefillWork } from "../prefillModel/index.js";
import { PendingPrefill, PrefillQueue } from "../prefillQueue/index.js";
import { SelectionRequest } from "../selectionPolicy/index.js";
import { UpstreamUse } from "../upstreamUse/index.js";

/**
 * How long a working upstream may show no progress beyond its pending prefill, in milliseconds: entries report progress
 * every 200 ms, and a plain service may work on one call for nearly half a second.
 */
const MAX_QUIET_MS = 600;
/** Weight of one outcome in the failure rate. */
const FAILURE_SMOOTHING = 0.1;
/** Time per token assumed before any was observed, in milliseconds: that of a mid-size model on current hardware. */
const DEFAULT_TOKEN_MS = 10;

/** Fields that determine which pause is too long for a stream. */
type PauseLimits = Pick<SelectionRequest, "gapMs" | "eventTokens">;

/** A granted request that has not ended. */
export interface GrantedRequest extends PauseLimits, MemoryDemand {
    readonly upstream: UpstreamId;
    prefill: PendingPrefill | undefined;
    /** Monotonic time of its first token, in milliseconds. */
    startedAt: number;
    /** Longest prefill period beside it so far. */
    longestPeriod: PrefillPeriod | undefined;
    /** Whether its stream would probably pause for too long beside a long prompt. */
    readonly isSensitive: boolean;
    /** Probability that it has already paused for too long or will, from 0 to 1. */
    lateProbability: number;
}

/** Tracks the requests that this process granted to one upstream, and the upstream's progress with them. */
export class UpstreamWork {
    readonly prefillQueue: PrefillQueue;
    readonly memory = new MemoryUse();
    private readonly prefillHistory = new PrefillHistory();
    private readonly running = new Set<GrantedRequest>();
    private sensitiveCount = 0;
    /** Monotonic time of the last sign of progress, or of the first request after an idle time, in milliseconds. */
    private lastProgressAt = 0;
    private failureShare = 0;
    private othersMemoryTokens = 0;
    /** Monotonic time at which the prefill of other owners' prompts will be done, in milliseconds. */
    private othersDrainedAt = 0;

    constructor(
        private readonly upstream: UpstreamId,
        model: PrefillModel,
        private readonly pauseForecast: PauseForecast,
    ) {
        this.prefillQueue = new PrefillQueue(model);
    }

    /** Share of the latest requests that failed, from 0 to 1: an exponential moving average. */
    get failureRate(): number {
        return this.failureShare;
    }

    /** Tokens that running requests keep in its memory, those of other owners of the queue included. */
    get memoryTokens(): number {
        return this.memory.tokens + this.othersMemoryTokens;
    }

    /** Returns the remaining duration of the prefill of other owners' prompts, in milliseconds. */
    othersBacklogMs(now: number): number {
        return Math.max(0, this.othersDrainedAt - now);
    }

    /** Records what the requests of other owners of the queue use. */
    recordOthersUse({ memoryTokens, backlogMs }: UpstreamUse, now: number): void {
        this.othersMemoryTokens = memoryTokens;
        this.othersDrainedAt = now + backlogMs;
    }

    /**
     * Records that a request is sent there. Running streams pause during the current prefill period.
     *
     * @param isSensitive - Whether its stream would probably pause for too long beside a long prompt.
     */
    begin(request: SelectionRequest, work: PrefillWork, isSensitive: boolean): GrantedRequest {
        const { now, promptTokens } = request;
        const prefill = this.prefillQueue.add(work, now);
        const period = this.prefillHistory.record(now + this.prefillQueue.backlogMs(now), promptTokens, now);
        for (const stream of this.running) {
            if (!stream.prefill) this.recordPeriodBeside(stream, period);
        }
        return this.add(request, now, prefill, isSensitive);
    }

    /**
     * Records a request granted by another process that has been running for `runningMs` milliseconds. Whether it has
     * produced a token is unknown; most have.
     */
    adopt(request: SelectionRequest, runningMs: number, isSensitive: boolean): GrantedRequest {
        return this.add(request, request.now - runningMs, undefined, isSensitive);
    }

    /**
     * Records that tokens of a request have arrived.
     *
     * @returns Whether its prefill has just finished.
     */
    progressed(granted: GrantedRequest, isFirst: boolean, now: number): boolean {
        this.lastProgressAt = now;
        if (!isFirst || !granted.prefill) return false;
        this.prefillQueue.finish(granted.prefill, now);
        granted.prefill = undefined;
        granted.startedAt = now;
        return true;
    }

    /** Records that a request has ended; parameters as in the selection policy. */
    ended(granted: GrantedRequest, failed: boolean | undefined, now: number, longestGapMs: number | undefined): void {
        if (this.running.delete(granted)) {
            this.memory.remove(granted);
            if (granted.isSensitive) this.sensitiveCount--;
        }
        if (granted.prefill) this.prefillQueue.remove(granted.prefill, now);
        if (longestGapMs !== undefined) this.learnPause(granted, longestGapMs, now);
        if (failed === undefined) return;
        if (!failed) this.lastProgressAt = now;
        this.failureShare += FAILURE_SMOOTHING * ((failed ? 1 : 0) - this.failureShare);
    }

    /** Returns by how many milliseconds the upstream has been silent for longer than a working one may be. */
    unresponsiveMs(now: number): number {
        if (this.running.size === 0) return 0;
        return Math.max(0, now - this.lastProgressAt - MAX_QUIET_MS - this.prefillQueue.backlogMs(now));
    }

    /**
     * Returns the expected number of running streams that would pause for too long beside this prompt, and would not
     * without it.
     */
    countStalledStreams({ promptTokens, now }: SelectionRequest, work: PrefillWork): number {
        const endsAt = now + this.prefillQueue.backlogMs(now) + this.prefillQueue.prefillMs(work);
        const period = this.prefillHistory.extend(endsAt, promptTokens, now);
        let count = 0;
        for (const stream of this.running) {
            if (!stream.prefill) count += Math.max(0, this.overrunProbability(period, stream) - stream.lateProbability);
        }
        return count;
    }

    /**
     * Returns the probability that this request's own stream would pause for too long there, from 0 to 1.
     *
     * @param tokenMs - Observed time between two tokens there, in milliseconds; undefined if none was observed.
     */
    stallProbability(request: SelectionRequest, tokenMs: number | undefined): number {
        if (request.gapMs === undefined) return 0;
        const overrunOf = (period: PrefillPeriod): number => this.overrunProbability(period, request);
        const runningMs = request.predictedTokens * (tokenMs ?? DEFAULT_TOKEN_MS);
        return this.prefillHistory.harmProbability(overrunOf, runningMs, request.now);
    }

    /** Number of running streams that would probably pause for too long beside a long prompt. */
    get sensitiveStreams(): number {
        return this.sensitiveCount;
    }

    private add(
        request: SelectionRequest,
        startedAt: number,
        prefill: PendingPrefill | undefined,
        isSensitive: boolean,
    ): GrantedRequest {
        const { upstream } = this;
        const { parts, promptTokens, predictedTokens, gapMs, eventTokens, now } = request;
        if (this.running.size === 0) this.lastProgressAt = now;
        const requestFields = { parts, promptTokens, predictedTokens, gapMs, eventTokens };
        const granted = {
            upstream,
            ...requestFields,
            prefill,
            startedAt,
            longestPeriod: undefined,
            isSensitive,
            lateProbability: 0,
        };
        if (granted.isSensitive) this.sensitiveCount++;
        this.running.add(granted);
        this.memory.add(granted);
        return granted;
    }

    private recordPeriodBeside(stream: GrantedRequest, period: PrefillPeriod): void {
        if (!stream.longestPeriod || lengthMs(period) >= lengthMs(stream.longestPeriod)) stream.longestPeriod = period;
        stream.lateProbability = Math.max(stream.lateProbability, this.overrunProbability(period, stream));
    }

    private overrunProbability(period: PrefillPeriod, { gapMs, eventTokens }: PauseLimits): number {
        return gapMs === undefined ? 0 : this.pauseForecast.overrunProbability(period, eventTokens, gapMs);
    }

    private learnPause(
        { longestPeriod, startedAt, eventTokens }: GrantedRequest,
        longestGapMs: number,
        now: number,
    ): void {
        if (!longestPeriod) return;
        const startsAt = Math.max(startedAt, longestPeriod.startsAt);
        const endsAt = Math.min(now, longestPeriod.endsAt);
        this.pauseForecast.learn({ ...longestPeriod, startsAt, endsAt }, eventTokens, longestGapMs);
    }
}

function lengthMs({ startsAt, endsAt }: PrefillPeriod): number {
    return endsAt - startsAt;
}
