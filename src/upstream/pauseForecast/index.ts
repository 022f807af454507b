import { PrefillModel } from "../prefillModel/index.js";
import { ReadingStretch } from "../readingHistory/index.js";

/** How many prompt tokens an engine reads between two tokens of its streams, until something was learned: common engines' default. */
const USUAL_CHUNK_TOKENS = 2_048;
const LEAST_CHUNK_TOKENS = 64;
const MOST_CHUNK_TOKENS = 65_536;
/** How much one observation may change what is believed of the chunks. */
const LEARN_WEIGHT = 0.05;
/** Pauses are up to so much longer or shorter than expected, as a share. */
const SPREAD = 0.15;
/** Only reading that lasted so many times as long as the pause that was expected tells how long a pause is at most. */
const TELLING_FACTOR = 1.5;

/**
 * How long the streams of a pool's upstreams stand still while prompts are read beside them.
 *
 * An engine reads prompts in chunks and makes one token of each stream between two of them, while an event holds several tokens. So a pause
 * grows with the reading, up to the chunks that fall on one event, and no further: a row of short prompts is bearable beside a stream that
 * a long one would delay too much, since chunks take longer the more tokens stand before them. The size of a chunk, which nobody tells, is
 * learned from the pauses that streams have seen; what a stream's own tokens take is part of it.
 */
export class PauseForecast {
    private chunkTokens = USUAL_CHUNK_TOKENS;

    /** @param model - How long the pool's upstreams take to read. */
    constructor(private readonly model: PrefillModel) {}

    /** The longest pause that a stream with so many tokens an event probably sees beside a stretch of reading, in milliseconds. */
    predictMs(stretch: ReadingStretch, eventTokens: number): number {
        return Math.min(stretch.endsAt - stretch.startsAt, this.mostMs(stretch.promptTokens, eventTokens));
    }

    /** How probable it is that a stream sees a longer pause than it may beside a stretch of reading, from 0 to 1. */
    chanceTooLong(stretch: ReadingStretch, eventTokens: number, gapMs: number): number {
        const overMs = this.predictMs(stretch, eventTokens) - (1 - SPREAD) * gapMs;
        return Math.max(0, Math.min(1, overMs / (2 * SPREAD * gapMs)));
    }

    /**
     * A stream has ended.
     *
     * @param stretch - The longest stretch of reading beside it, as far as it lasted while the stream ran.
     * @param pauseMs - The longest pause that it saw, in milliseconds.
     */
    learn(stretch: ReadingStretch, eventTokens: number, pauseMs: number): void {
        const expectedMs = this.mostMs(stretch.promptTokens, eventTokens);
        if (stretch.endsAt - stretch.startsAt < TELLING_FACTOR * expectedMs) return;
        const error = Math.max(-1, Math.min(1, pauseMs / expectedMs - 1));
        const corrected = this.chunkTokens * (1 + LEARN_WEIGHT * error);
        this.chunkTokens = Math.max(LEAST_CHUNK_TOKENS, Math.min(MOST_CHUNK_TOKENS, corrected));
    }

    private mostMs(promptTokens: number, eventTokens: number): number {
        const held = Math.max(0, promptTokens - this.chunkTokens);
        return eventTokens * this.model.readMs({ tokens: this.chunkTokens, held });
    }
}
