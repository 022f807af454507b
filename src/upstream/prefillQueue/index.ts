import { PrefillModel, PrefillWork } from "../prefillModel/index.js";

/**
 * Predictions shorter than this are dominated by the base time and carry no information about the upstream's speed, in
 * milliseconds.
 */
const MIN_INFORMATIVE_MS = 20;
/** Weight of one observation in the estimate of an upstream's slowness. */
const LEARNING_RATE = 0.08;
/** Bounds of an upstream's slowness, as a multiple of the pool's average time. */
const MIN_SLOWNESS = 0.1;
const MAX_SLOWNESS = 20;

/** A prompt sent to an engine whose first token has not arrived. */
export interface PendingPrefill {
    readonly work: PrefillWork;
    /** Monotonic time, in milliseconds. */
    readonly sentAt: number;
    /** Predicted duration of this prompt's own prefill, in milliseconds. */
    readonly prefillMs: number;
    /** Predicted duration of the backlog and this prompt's own prefill together, in milliseconds. */
    readonly predictedMs: number;
    /** Whether no other prefill was pending when it was sent. */
    readonly wasIdle: boolean;
}

/**
 * Estimates when one engine will have prefilled the prompts sent to it. Engines process prompts one after the other, so
 * the queue's length is a duration; each first token corrects it and the estimate of the engine's speed.
 */
export class PrefillQueue {
    private drainedAt = 0;
    private readonly pending = new Set<PendingPrefill>();
    /** Factor by which it takes longer than the average upstream of the pool. */
    private slowness = 1;

    constructor(private readonly model: PrefillModel) {}

    /** Returns the duration of a prefill on this engine, in milliseconds. */
    prefillMs(work: PrefillWork): number {
        return this.slowness * this.model.prefillMs(work);
    }

    /** Returns the remaining duration of all pending prefill, in milliseconds. */
    backlogMs(now: number): number {
        return Math.max(0, this.drainedAt - now);
    }

    /** Predicts the time to first token of a prompt sent now, in milliseconds. */
    predictFirstTokenMs(work: PrefillWork, now: number): number {
        return this.model.baseMs + this.backlogMs(now) + this.prefillMs(work);
    }

    /** Records that a prompt has been sent. */
    add(work: PrefillWork, now: number): PendingPrefill {
        const prefillMs = this.prefillMs(work);
        const predictedMs = this.backlogMs(now) + prefillMs;
        this.drainedAt = now + predictedMs;
        const prefill = { work, sentAt: now, prefillMs, predictedMs, wasIdle: this.pending.size === 0 };
        this.pending.add(prefill);
        return prefill;
    }

    /** Records that the first token of a prompt has arrived, and learns from its timing. */
    finish(prefill: PendingPrefill, now: number): void {
        const { work, sentAt, predictedMs, wasIdle } = prefill;
        const tookMs = Math.max(0, now - sentAt);
        const baseMs = this.model.baseMs;
        if (wasIdle) this.model.learn(work, tookMs / this.slowness);
        if (predictedMs >= MIN_INFORMATIVE_MS) {
            const error = Math.max(-1, Math.min(1, (tookMs - baseMs) / predictedMs - 1));
            const corrected = this.slowness * (1 + LEARNING_RATE * error);
            this.slowness = Math.max(MIN_SLOWNESS, Math.min(MAX_SLOWNESS, corrected));
        }
        this.remove(prefill, now);
        this.rescheduleRest(now - baseMs);
    }

    /** Removes a prompt whose prefill is over, for whatever reason. */
    remove(prefill: PendingPrefill, now: number): void {
        this.pending.delete(prefill);
        if (this.pending.size === 0) this.drainedAt = Math.min(this.drainedAt, now);
    }

    /**
     * Assumes that the remaining prompts have been processed since `startedAt`: each first token corrects a queue that
     * was predicted too short or too long.
     */
    private rescheduleRest(startedAt: number): void {
        if (this.pending.size === 0) return;
        let remainingMs = 0;
        for (const { prefillMs } of this.pending) remainingMs += prefillMs;
        this.drainedAt = startedAt + remainingMs;
    }
}
