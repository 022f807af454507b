import { RequestId } from "../../../ids/index.js";
import { Clock } from "../../../ports/index.js";
import { Announcement } from "../../../protocol/index.js";

/** Capacity, speed and price of a simulated engine. */
export interface EngineProfile {
    readonly id: string;
    readonly zone: string;
    readonly pool: string;
    readonly slots: number;
    readonly reclaimable: boolean;
    /** Price in micro-credits per hour. */
    readonly pricePerHour: number;
    /** Time for one token of a request that runs alone, in milliseconds. */
    readonly tokenMs: number;
    /** Additional time for each token in a full batch, as a share of `tokenMs`. */
    readonly batchSlowdown: number;
    /** Prefill time for one token that is not cached, in milliseconds. */
    readonly prefillTokenMs: number;
    /** Number of prefixes that the prefix cache holds. */
    readonly cachedPrefixes: number;
    /** Age of the reported load, in milliseconds. */
    readonly reportLagMs: number;
}

/** Request to an engine, with callbacks for its progress. */
export interface EngineRequest {
    readonly request: RequestId;
    /** Lower values leave the queue first. */
    readonly priority: number;
    readonly promptTokens: number;
    readonly prefixes: readonly string[];
    /** Length of the whole answer, in tokens. */
    readonly totalTokens: number;
    /** Answer tokens that the caller has received from earlier attempts. */
    readonly resumeOffset: number;
    readonly onStart: (cachedTokens: number) => void;
    readonly onTokens: (tokens: number) => void;
    readonly onEnd: (outcome: "done" | "lost") => void;
}

interface EngineTask {
    readonly request: EngineRequest;
    prefillMs: number;
    generatedTokens: number;
    hasGenerated: boolean;
}

interface LoadSample {
    readonly at: number;
    readonly running: number;
    readonly queued: number;
}

/** Tokens that an engine has computed. */
export interface ComputedTokens {
    prefilled: number;
    generated: number;
}

/** Tokens that one simulation step generates for each running request; several, so that the bench runs quickly. */
export const TOKENS_PER_STEP = 4;

/**
 * Simulates an inference engine: continuous batching in a fixed number of slots, a queue ordered by priority, a prefix
 * cache of limited size, delayed load reports, and cache events of which some are lost.
 */
export class EngineFake {
    readonly computedTokens: ComputedTokens = { prefilled: 0, generated: 0 };
    /** Monotonic time, in milliseconds. */
    readonly startedAt: number;
    /** Monotonic time, in milliseconds; undefined while the engine runs. */
    endedAt: number | undefined;
    /** Multiplies the time of each token and each prefill; above 1 for a straggler. */
    slowdownFactor = 1;
    private readonly running = new Map<RequestId, EngineTask>();
    private queued: EngineTask[] = [];
    private readonly cache = new Map<string, true>();
    private loadSamples: LoadSample[] = [];
    private events: { kind: "stored" | "evicted"; prefix: string; }[] = [];
    private nextEventSequence = 0;
    private announcementCount = 0;
    private isStepScheduled = false;
    private state: Announcement["state"] = "ready";
    private reclaimAt: number | undefined;

    constructor(private readonly clock: Clock, readonly profile: EngineProfile) {
        this.startedAt = clock.monotonic();
    }

    get isAlive(): boolean {
        return this.endedAt === undefined;
    }

    /** Whether the engine is about to stop and should get no new requests. */
    get isLeaving(): boolean {
        return this.state !== "ready" || this.reclaimAt !== undefined;
    }

    /** Queues a request. A stopped engine ends it as lost immediately. */
    submit(request: EngineRequest): void {
        if (!this.isAlive) {
            request.onEnd("lost");
            return;
        }
        this.queued.push({ request, prefillMs: 0, generatedTokens: request.resumeOffset, hasGenerated: false });
        this.queued.sort((a, b) => a.request.priority - b.request.priority);
        this.fillSlots();
    }

    /** Removes a request from the slots or the queue without calling `onEnd`. */
    cancel(request: RequestId): void {
        this.running.delete(request);
        this.queued = this.queued.filter(other => other.request.request !== request);
        this.fillSlots();
    }

    /** Announces from now on that the platform reclaims the engine after `noticeMs`. */
    announceReclaim(noticeMs: number): void {
        this.reclaimAt = this.clock.monotonic() + noticeMs;
    }

    /** Announces from now on that the engine is leaving. */
    leave(): void {
        this.state = "leaving";
    }

    /** Stops immediately; all its requests end as lost. */
    crash(): void {
        if (!this.isAlive) return;
        this.endedAt = this.clock.monotonic();
        const lost = [...this.running.values(), ...this.queued];
        this.running.clear();
        this.queued = [];
        for (const { request } of lost) request.onEnd("lost");
    }

    /** Whether no request is running or queued. */
    get isIdle(): boolean {
        return this.running.size + this.queued.length === 0;
    }

    /** Creates the next announcement. Its load is `reportLagMs` old. */
    announce(): Announcement {
        const now = this.clock.monotonic();
        this.loadSamples.push({ at: now, running: this.running.size, queued: this.queued.length });
        this.loadSamples = this.loadSamples.filter(sample => sample.at >= now - 2 * this.profile.reportLagMs - 1_000);
        const sample = this.loadSamples.findLast(other => other.at <= now - this.profile.reportLagMs)
            ?? this.loadSamples[0];
        const events = this.events;
        this.events = [];
        const sequence = this.nextEventSequence;
        this.nextEventSequence += events.length;
        this.announcementCount++;
        // Every eighth batch of cache events is lost.
        const cache = this.announcementCount % 8 === 0 ? undefined : { sequence, events };
        return {
            id: this.profile.id,
            incarnation: 1,
            sequence: this.announcementCount,
            state: this.state,
            kind: "engine",
            pools: [this.profile.pool],
            zone: this.profile.zone,
            address: "10.1.0.1:8000",
            slots: this.profile.slots,
            price_per_hour: this.profile.pricePerHour,
            reclaimable: this.profile.reclaimable,
            checks_fence: true,
            software_version: "1.0",
            load: {
                running: sample.running,
                queued: sample.queued,
                kv_used: 0,
                tokens_per_second: 0,
                age_ms: now - sample.at,
            },
            cache,
            reclaim_in_ms: this.reclaimAt === undefined ? undefined : Math.max(0, this.reclaimAt - now),
        };
    }

    private fillSlots(): void {
        while (this.running.size < this.profile.slots && this.queued.length > 0) {
            const task = this.queued.shift()!;
            const cachedTokens = this.prefill(task);
            this.running.set(task.request.request, task);
            task.request.onStart(cachedTokens);
        }
        this.scheduleStep();
    }

    private prefill(task: EngineTask): number {
        const { prefixes, promptTokens, resumeOffset } = task.request;
        const knownPrefixes = prefixes.findLastIndex(prefix => this.cache.has(prefix)) + 1;
        const cachedTokens = prefixes.length === 0
            ? 0
            : Math.floor(promptTokens * knownPrefixes / (prefixes.length + 1));
        const uncachedTokens = promptTokens + resumeOffset - cachedTokens;
        task.prefillMs = uncachedTokens * this.profile.prefillTokenMs * this.slowdownFactor;
        this.computedTokens.prefilled += uncachedTokens;
        for (const prefix of prefixes) this.cachePrefix(prefix);
        return cachedTokens;
    }

    private cachePrefix(prefix: string): void {
        if (!this.cache.delete(prefix)) this.events.push({ kind: "stored", prefix });
        this.cache.set(prefix, true);
        if (this.cache.size <= this.profile.cachedPrefixes) return;
        const oldest = this.cache.keys().next().value!;
        this.cache.delete(oldest);
        this.events.push({ kind: "evicted", prefix: oldest });
    }

    private scheduleStep(): void {
        if (this.isStepScheduled || this.running.size === 0) return;
        this.isStepScheduled = true;
        const { tokenMs, batchSlowdown, slots } = this.profile;
        const tokenIntervalMs = tokenMs * (1 + batchSlowdown * this.running.size / slots) * this.slowdownFactor;
        const stepMs = tokenIntervalMs * TOKENS_PER_STEP;
        this.clock.after(stepMs, () => this.step(stepMs));
    }

    private step(stepMs: number): void {
        this.isStepScheduled = false;
        if (!this.isAlive) return;
        for (const task of [...this.running.values()]) this.advanceTask(task, stepMs);
        this.fillSlots();
    }

    private advanceTask(task: EngineTask, stepMs: number): void {
        task.prefillMs -= stepMs;
        if (task.prefillMs > 0) return;
        const { request } = task;
        const remainingTokens = request.totalTokens - task.generatedTokens;
        const generatedTokens = task.hasGenerated
            ? TOKENS_PER_STEP
            : Math.ceil(-task.prefillMs / stepMs * TOKENS_PER_STEP);
        const tokens = Math.min(remainingTokens, Math.max(1, generatedTokens));
        task.hasGenerated = true;
        task.generatedTokens += tokens;
        this.computedTokens.generated += tokens;
        request.onTokens(tokens);
        if (task.generatedTokens < request.totalTokens || !this.running.delete(request.request)) return;
        request.onEnd("done");
    }
}
