import { PrefillModel, PrefillWork } from "../prefillModel/index.js";

/** Predictions below this are all base, and say nothing of the upstream's speed, in milliseconds. */
const TELLING_MS = 20;
/** How much one observation may change what is believed of an upstream's speed. */
const LEARN_WEIGHT = 0.08;
/** How many times as long as its neighbours an upstream may be believed to take. */
const LEAST_SLOWNESS = 0.1;
const MOST_SLOWNESS = 20;

/** A prompt that an engine has got, up to its first token. */
export interface PendingPrefill {
    readonly work: PrefillWork;
    /** Monotonic, in milliseconds. */
    readonly sentAt: number;
    /** How long reading the prompt itself was predicted to take, in milliseconds. */
    readonly readMs: number;
    /** How long reading what was before it and the prompt itself was predicted to take, in milliseconds. */
    readonly predictedMs: number;
    /** There was nothing else to read. */
    readonly isAlone: boolean;
}

/**
 * When one engine will have read the prompts that it has got. Engines read them one after the other, so this is a queue with a
 * length in time; each first token corrects it, and what is known of the engine's speed.
 */
export class PrefillClock {
    private busyUntil = 0;
    private readonly pending = new Set<PendingPrefill>();
    /** How many times as long as the pool's upstreams it takes. */
    private slowness = 1;

    constructor(private readonly model: PrefillModel) {}

    /** How long it takes to read so much, in milliseconds. */
    readMs(work: PrefillWork): number {
        return this.slowness * this.model.readMs(work);
    }

    /** How long what the engine has got will still take it, in milliseconds. */
    backlogMs(now: number): number {
        return Math.max(0, this.busyUntil - now);
    }

    /** How long a prompt sent now would take to its first token, in milliseconds. */
    predictMs(work: PrefillWork, now: number): number {
        return this.model.baseMs + this.backlogMs(now) + this.readMs(work);
    }

    /** A prompt with so much to read is sent. */
    begin(work: PrefillWork, now: number): PendingPrefill {
        const readMs = this.readMs(work);
        const predictedMs = this.backlogMs(now) + readMs;
        this.busyUntil = now + predictedMs;
        const prefill = { work, sentAt: now, readMs, predictedMs, isAlone: this.pending.size === 0 };
        this.pending.add(prefill);
        return prefill;
    }

    /** The first token of a prompt has come. */
    finish(prefill: PendingPrefill, now: number): void {
        const { work, sentAt, predictedMs, isAlone } = prefill;
        const tookMs = Math.max(0, now - sentAt);
        const baseMs = this.model.baseMs;
        if (isAlone) this.model.learn(work, tookMs / this.slowness);
        if (predictedMs >= TELLING_MS) {
            const error = Math.max(-1, Math.min(1, (tookMs - baseMs) / predictedMs - 1));
            const corrected = this.slowness * (1 + LEARN_WEIGHT * error);
            this.slowness = Math.max(LEAST_SLOWNESS, Math.min(MOST_SLOWNESS, corrected));
        }
        this.end(prefill, now);
        this.follow(now - baseMs);
    }

    /** A prompt is no longer read, whatever became of it. */
    end(prefill: PendingPrefill, now: number): void {
        this.pending.delete(prefill);
        if (this.pending.size === 0) this.busyUntil = Math.min(this.busyUntil, now);
    }

    /** What is left was read from then on: a queue that was predicted too short or too long is set right by each first token. */
    private follow(since: number): void {
        if (this.pending.size === 0) return;
        let leftMs = 0;
        for (const { readMs } of this.pending) leftMs += readMs;
        this.busyUntil = since + leftMs;
    }
}
