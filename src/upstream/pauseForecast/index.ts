import { PrefillPeriod } from "../prefillHistory/index.js";
import { PrefillModel } from "../prefillModel/index.js";

/**
 * Initial estimate of the prompt tokens that an engine prefills between two tokens of its streams: the default of
 * common engines.
 */
const INITIAL_CHUNK_TOKENS = 2_048;
const MIN_CHUNK_TOKENS = 64;
const MAX_CHUNK_TOKENS = 65_536;
/** Weight of one observation in the estimate of the chunk size. */
const LEARNING_RATE = 0.05;
/** Relative deviation of a pause from its prediction, in either direction. */
const PAUSE_SPREAD = 0.15;
/** A stream is sensitive to long prompts where long pauses reach this share of the longest pause that is on time. */
const SENSITIVE_RATIO = 0.9;
/** Share of the pauses beside long prefill that the estimate of a long pause exceeds, and its relative change at each observation. */
const LONG_PAUSE_QUANTILE = 0.9;
const QUANTILE_STEP = 0.1;
/** Only prefill that lasted at least this many times the expected pause shows how long a pause can get. */
const MIN_INFORMATIVE_FACTOR = 1.5;
/** A longer pause, as a multiple of the expected one, has another cause, such as a request that was put back. */
const MAX_INFORMATIVE_FACTOR = 2;

/**
 * Predicts how long running streams pause while prompts are prefilled on the same upstream.
 *
 * An engine with chunked prefill emits one token of each stream between two chunks, and an event holds several tokens.
 * So a pause grows with the prefill up to the chunks that fall within one event, and no further: a series of short
 * prompts is acceptable beside a stream that a long one would delay too much, since a chunk takes longer the more
 * tokens precede it. No interface reports the chunk size, so it is learned from the pauses that streams have seen; it
 * includes the time of the stream's own tokens.
 */
export class PauseForecast {
    private chunkTokens = INITIAL_CHUNK_TOKENS;
    /** Pause that most streams stay below beside long prefill, in milliseconds per token of an event; undefined until one was observed. */
    private longPauseMsPerToken: number | undefined;

    /** @param model - Prefill times of the pool's upstreams. */
    constructor(private readonly model: PrefillModel) {}

    /**
     * Predicts the longest pause of a stream beside a prefill period, in milliseconds, for a stream with `eventTokens`
     * tokens per event.
     */
    predictPauseMs(period: PrefillPeriod, eventTokens: number): number {
        return Math.min(period.endsAt - period.startsAt, this.maxPauseMs(period.promptTokens, eventTokens));
    }

    /** Returns the probability that a stream's pause beside a prefill period exceeds `gapMs`, from 0 to 1. */
    overrunProbability(period: PrefillPeriod, eventTokens: number, gapMs: number): number {
        const overMs = this.predictPauseMs(period, eventTokens) - (1 - PAUSE_SPREAD) * gapMs;
        return Math.max(0, Math.min(1, overMs / (2 * PAUSE_SPREAD * gapMs)));
    }

    /** Whether long prompts would probably make a stream pause for longer than `gapMs`; false until pauses beside prefill were observed. */
    isSensitive(eventTokens: number, gapMs: number): boolean {
        if (this.longPauseMsPerToken === undefined) return false;
        return this.longPauseMsPerToken * eventTokens > SENSITIVE_RATIO * gapMs;
    }

    /**
     * Learns from a stream that has ended.
     *
     * @param period - Longest prefill period beside the stream, limited to the time in which the stream ran.
     * @param pauseMs - Longest pause of the stream, in milliseconds.
     */
    learn(period: PrefillPeriod, eventTokens: number, pauseMs: number): void {
        const expectedMs = this.maxPauseMs(period.promptTokens, eventTokens);
        if (period.endsAt - period.startsAt < MIN_INFORMATIVE_FACTOR * expectedMs) return;
        if (pauseMs > MAX_INFORMATIVE_FACTOR * expectedMs) return;
        this.learnLongPause(pauseMs / eventTokens);
        const error = Math.max(-1, Math.min(1, pauseMs / expectedMs - 1));
        const corrected = this.chunkTokens * (1 + LEARNING_RATE * error);
        this.chunkTokens = Math.max(MIN_CHUNK_TOKENS, Math.min(MAX_CHUNK_TOKENS, corrected));
    }

    /** Follows the quantile of long pauses: each observation moves it up or down by a step, so that single outliers have little effect. */
    private learnLongPause(pauseMsPerToken: number): void {
        const quantile = this.longPauseMsPerToken ?? pauseMsPerToken;
        const isAbove = pauseMsPerToken > quantile;
        const change = QUANTILE_STEP * (isAbove ? LONG_PAUSE_QUANTILE : LONG_PAUSE_QUANTILE - 1);
        this.longPauseMsPerToken = quantile * (1 + change);
    }

    private maxPauseMs(promptTokens: number, eventTokens: number): number {
        const held = Math.max(0, promptTokens - this.chunkTokens);
        return eventTokens * this.model.prefillMs({ tokens: this.chunkTokens, held });
    }
}
