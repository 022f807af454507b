import { PauseForecast } from "../pauseForecast/index.js";
import { SelectionRequest } from "../selectionPolicy/index.js";

/** Time for which a stream is remembered, in milliseconds. */
const RETENTION_MS = 3_000;
/** Streams whose longest pauses that are on time, per token, are at most this many times the shortest ones are equally sensitive. */
const SIMILAR_PAUSE_FACTOR = 1.15;

/**
 * The streams of a pool that are the first to be late beside long prompts: those whose events may follow each other with the shortest
 * pauses, where long prompts cause longer ones.
 *
 * @example
 * if (streams.record(request)) keepOnQuietUpstream(request);
 */
export class SensitiveStreams {
    /** Longest pause that is on time, in milliseconds per token, of the most sensitive stream of late. */
    private shortestPauseMs = Number.POSITIVE_INFINITY;
    private shortestAt = Number.NEGATIVE_INFINITY;
    private leastUrgentTier = Number.NEGATIVE_INFINITY;
    private leastUrgentAt = Number.NEGATIVE_INFINITY;

    constructor(private readonly pauseForecast: PauseForecast) {}

    /** Records a request; returns whether it is a stream among the most sensitive ones. */
    record(request: SelectionRequest): boolean {
        const { gapMs, eventTokens, tier, now } = request;
        if (gapMs === undefined || !this.pauseForecast.isSensitive(eventTokens, gapMs)) return false;
        const pauseMs = gapMs / eventTokens;
        if (pauseMs <= this.shortestPauseMs || now - this.shortestAt >= RETENTION_MS) {
            this.shortestPauseMs = pauseMs;
            this.shortestAt = now;
        }
        if (pauseMs > SIMILAR_PAUSE_FACTOR * this.shortestPauseMs) return false;
        if (tier >= this.leastUrgentTier || now - this.leastUrgentAt >= RETENTION_MS) {
            this.leastUrgentTier = tier;
            this.leastUrgentAt = now;
        }
        return true;
    }

    /** Whether requests of a tier are more urgent than some of these streams. */
    isMoreUrgent(tier: number): boolean {
        return tier < this.leastUrgentTier;
    }
}
