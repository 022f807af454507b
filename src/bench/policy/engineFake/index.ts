import { RequestId } from "../../../ids/index.js";
import { Clock } from "../../../ports/index.js";
import { Announcement } from "../../../protocol/index.js";

/** How one engine behaves. */
export interface EngineShape {
    readonly id: string;
    readonly zone: string;
    readonly pool: string;
    readonly slots: number;
    readonly reclaimable: boolean;
    /** Micro-credits an hour. */
    readonly pricePerHour: number;
    /** Time for a token of a lone request, in milliseconds. */
    readonly tokenMs: number;
    /** How much a full batch slows each token, as a share. */
    readonly batchSlowdown: number;
    /** Time for one prompt token that is not cached, in milliseconds. */
    readonly prefillTokenMs: number;
    /** Prefixes that its cache holds. */
    readonly cachedPrefixes: number;
    /** How old the load is that it reports, in milliseconds. */
    readonly reportLagMs: number;
}

/** A request as the engine gets it. */
export interface EngineWork {
    readonly request: RequestId;
    readonly priority: number;
    readonly promptTokens: number;
    readonly prefixes: readonly string[];
    /** Tokens of the whole answer. */
    readonly totalTokens: number;
    /** Tokens that the caller has already. */
    readonly offset: number;
    readonly onStart: (cachedTokens: number) => void;
    readonly onTokens: (tokens: number) => void;
    readonly onEnd: (outcome: "done" | "lost") => void;
}

interface Running {
    readonly work: EngineWork;
    prefillMs: number;
    made: number;
    isStarted: boolean;
}

interface LoadSample {
    readonly at: number;
    readonly running: number;
    readonly queued: number;
}

/** What an engine has computed. */
export interface EngineTally {
    prefilled: number;
    generated: number;
}

/** Tokens that one event of the fake makes for each request: coarse, to keep the bench quick. */
export const STEP_TOKENS = 4;

/**
 * An engine in memory: continuous batching in slots, priorities among what queues in front of them, a prefix cache of
 * limited size, load reports that are late, cache events of which some are lost.
 */
export class EngineFake {
    readonly tally: EngineTally = { prefilled: 0, generated: 0 };
    readonly startedAt: number;
    endedAt: number | undefined;
    /** Slows each token and each prompt, as a straggler does. */
    slowness = 1;
    private readonly running = new Map<RequestId, Running>();
    private queued: Running[] = [];
    private readonly cache = new Map<string, true>();
    private samples: LoadSample[] = [];
    private events: { kind: "stored" | "evicted"; prefix: string; }[] = [];
    private eventSequence = 0;
    private announcements = 0;
    private isStepping = false;
    private state: Announcement["state"] = "ready";
    private reclaimAt: number | undefined;

    constructor(private readonly clock: Clock, readonly shape: EngineShape) {
        this.startedAt = clock.monotonic();
    }

    get isAlive(): boolean {
        return this.endedAt === undefined;
    }

    /** Whether it takes no new work. */
    get isLeaving(): boolean {
        return this.state !== "ready" || this.reclaimAt !== undefined;
    }

    /** Takes a request; one that the engine can no longer take is lost at once. */
    submit(work: EngineWork): void {
        if (!this.isAlive) {
            work.onEnd("lost");
            return;
        }
        this.queued.push({ work, prefillMs: 0, made: work.offset, isStarted: false });
        this.queued.sort((a, b) => a.work.priority - b.work.priority);
        this.fill();
    }

    /** Stops a request. */
    cancel(request: RequestId): void {
        this.running.delete(request);
        this.queued = this.queued.filter(other => other.work.request !== request);
        this.fill();
    }

    /** Says that the platform takes it back after a time. */
    noticeReclaim(inMs: number): void {
        this.reclaimAt = this.clock.monotonic() + inMs;
    }

    /** Takes no new work from now on. */
    leave(): void {
        this.state = "leaving";
    }

    /** Ends at once; its callers find out by themselves. */
    crash(): void {
        if (!this.isAlive) return;
        this.endedAt = this.clock.monotonic();
        const lost = [...this.running.values(), ...this.queued];
        this.running.clear();
        this.queued = [];
        for (const { work } of lost) work.onEnd("lost");
    }

    get isIdle(): boolean {
        return this.running.size + this.queued.length === 0;
    }

    /** Its next announcement; the load in it is as old as the lag says. */
    announce(): Announcement {
        const now = this.clock.monotonic();
        this.samples.push({ at: now, running: this.running.size, queued: this.queued.length });
        this.samples = this.samples.filter(sample => sample.at >= now - 2 * this.shape.reportLagMs - 1_000);
        const sample = this.samples.findLast(other => other.at <= now - this.shape.reportLagMs) ?? this.samples[0];
        const events = this.events;
        this.events = [];
        const sequence = this.eventSequence;
        this.eventSequence += events.length;
        this.announcements++;
        // Each eighth batch of cache events is lost.
        const cache = this.announcements % 8 === 0 ? undefined : { sequence, events };
        return {
            id: this.shape.id,
            incarnation: 1,
            sequence: this.announcements,
            state: this.state,
            kind: "engine",
            pools: [this.shape.pool],
            zone: this.shape.zone,
            address: "10.1.0.1:8000",
            slots: this.shape.slots,
            price_per_hour: this.shape.pricePerHour,
            reclaimable: this.shape.reclaimable,
            checks_fence: true,
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

    private fill(): void {
        while (this.running.size < this.shape.slots && this.queued.length > 0) {
            const next = this.queued.shift()!;
            const cachedTokens = this.prefill(next);
            this.running.set(next.work.request, next);
            next.work.onStart(cachedTokens);
        }
        this.arm();
    }

    private prefill(next: Running): number {
        const { prefixes, promptTokens, offset } = next.work;
        const known = prefixes.findLastIndex(prefix => this.cache.has(prefix)) + 1;
        const cachedTokens = prefixes.length === 0 ? 0 : Math.floor(promptTokens * known / (prefixes.length + 1));
        const fresh = promptTokens + offset - cachedTokens;
        next.prefillMs = fresh * this.shape.prefillTokenMs * this.slowness;
        this.tally.prefilled += fresh;
        for (const prefix of prefixes) this.store(prefix);
        return cachedTokens;
    }

    private store(prefix: string): void {
        if (!this.cache.delete(prefix)) this.events.push({ kind: "stored", prefix });
        this.cache.set(prefix, true);
        if (this.cache.size <= this.shape.cachedPrefixes) return;
        const oldest = this.cache.keys().next().value!;
        this.cache.delete(oldest);
        this.events.push({ kind: "evicted", prefix: oldest });
    }

    private arm(): void {
        if (this.isStepping || this.running.size === 0) return;
        this.isStepping = true;
        const { tokenMs, batchSlowdown, slots } = this.shape;
        const paceMs = tokenMs * (1 + batchSlowdown * this.running.size / slots) * this.slowness;
        const stepMs = paceMs * STEP_TOKENS;
        this.clock.after(stepMs, () => this.step(stepMs));
    }

    private step(stepMs: number): void {
        this.isStepping = false;
        if (!this.isAlive) return;
        for (const running of [...this.running.values()]) this.advance(running, stepMs);
        this.fill();
    }

    private advance(running: Running, stepMs: number): void {
        running.prefillMs -= stepMs;
        if (running.prefillMs > 0) return;
        const { work } = running;
        const left = work.totalTokens - running.made;
        const made = running.isStarted ? STEP_TOKENS : Math.ceil(-running.prefillMs / stepMs * STEP_TOKENS);
        const tokens = Math.min(left, Math.max(1, made));
        running.isStarted = true;
        running.made += tokens;
        this.tally.generated += tokens;
        work.onTokens(tokens);
        if (running.made < work.totalTokens || !this.running.delete(work.request)) return;
        work.onEnd("done");
    }
}
