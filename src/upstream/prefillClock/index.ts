/** Time to read a prompt token until something was learned, in milliseconds: that of a mid-size model on current hardware. */
const DEFAULT_TOKEN_MS = 0.02;
const LEAST_TOKEN_MS = 0.002;
const MOST_TOKEN_MS = 0.5;
/** From sending to the first token of a short prompt on an idle engine, in milliseconds. */
const BASE_MS = 30;
/** Predictions below this are all base, and say nothing of the time for a token, in milliseconds. */
const TELLING_MS = 20;
/** How much one observation may change the time for a token. */
const LEARN_WEIGHT = 0.08;

/** A prompt that an engine has got, up to its first token. */
export interface PendingPrefill {
    /** Monotonic, in milliseconds. */
    readonly sentAt: number;
    /** How long reading what was before it and the prompt itself was predicted to take, in milliseconds. */
    readonly predictedMs: number;
}

/**
 * When one engine will have read the prompts that it has got. Engines read them one after the other, so this is a queue with a
 * length in time; each first token corrects it, and what is known of the engine's speed.
 */
export class PrefillClock {
    private busyUntil = 0;
    private pending = 0;

    /** @param tokenMs - Time to read one token, for instance as its neighbours take. */
    constructor(private tokenMs = DEFAULT_TOKEN_MS) {}

    /** Time to read one prompt token, in milliseconds. */
    get millisecondsPerToken(): number {
        return this.tokenMs;
    }

    /** How long what the engine has got will still take it, in milliseconds. */
    backlogMs(now: number): number {
        return Math.max(0, this.busyUntil - now);
    }

    /** How long a prompt sent now would take to its first token, in milliseconds. */
    predictMs(tokens: number, now: number): number {
        return BASE_MS + this.backlogMs(now) + tokens * this.tokenMs;
    }

    /** A prompt with so many tokens to read is sent. */
    begin(tokens: number, now: number): PendingPrefill {
        const readMs = tokens * this.tokenMs;
        const predictedMs = this.backlogMs(now) + readMs;
        this.busyUntil = now + predictedMs;
        this.pending++;
        return { sentAt: now, predictedMs };
    }

    /** The first token of a prompt has come. */
    finish({ sentAt, predictedMs }: PendingPrefill, now: number): void {
        const tookMs = Math.max(0, now - sentAt - BASE_MS);
        if (predictedMs >= TELLING_MS) {
            const error = Math.max(-1, Math.min(1, tookMs / predictedMs - 1));
            const corrected = this.tokenMs * (1 + LEARN_WEIGHT * error);
            this.tokenMs = Math.max(LEAST_TOKEN_MS, Math.min(MOST_TOKEN_MS, corrected));
        }
        this.end(now);
    }

    /** A prompt is no longer read, whatever became of it. */
    end(now: number): void {
        this.pending = Math.max(0, this.pending - 1);
        if (this.pending === 0) this.busyUntil = Math.min(this.busyUntil, now);
    }
}
