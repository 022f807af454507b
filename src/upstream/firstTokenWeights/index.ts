/** Weights of the terms of the first-token estimate, in milliseconds of a caller's wait unless stated otherwise. */
export interface FirstTokenWeights {
    /**
     * Factor on the prefill time of tokens that another upstream holds: besides the time that it takes here, the cached
     * work is lost for others.
     */
    readonly recomputeFactor: number;
    /** Per running request, which slows every token of the batch. */
    readonly runningRequestMs: number;
    /** Round trip to another zone, and the cost of each kilobyte sent across zones, which is charged for. */
    readonly otherZoneMs: number;
    readonly otherZoneMsPerKilobyte: number;
    /** For an upstream all of whose requests fail; scaled by the failure rate. */
    readonly failureMs: number;
    /** For an upstream on which the request has to wait for a slot. */
    readonly fullMs: number;
    /**
     * For a request that exceeds the upstream's free memory, as a multiple of the request's target: either it comes
     * late or one that has to make room for it does.
     */
    readonly memoryOverflowTargets: number;
    /**
     * Per running stream that this prompt would delay beyond its longest allowed pause, as a multiple of the request's
     * target.
     */
    readonly stalledStreamTargets: number;
    /**
     * For the probability that the request's own stream pauses for too long, as a multiple of its target: it is then as
     * late as one that waits for its whole target.
     */
    readonly ownStallTargets: number;
    /** Per millisecond of silence of a busy upstream beyond the time that a working one may be silent. */
    readonly unresponsiveFactor: number;
    /**
     * For any upstream but the home of the prompt's shared parts, while no upstream is known to hold them: a multiple
     * of their prefill time.
     */
    readonly awayFromHomeFactor: number;
}

/**
 * A prompt waits for its cached parts longer than their prefill takes, since recomputing them also delays everything
 * queued behind it. A stream that would stall weighs less than the request's whole target, so that long prompts are not
 * held back until their own deadlines.
 */
export const DEFAULT_FIRST_TOKEN_WEIGHTS: FirstTokenWeights = {
    recomputeFactor: 2.5,
    runningRequestMs: 2,
    otherZoneMs: 2,
    otherZoneMsPerKilobyte: 1,
    failureMs: 1_000,
    fullMs: 500,
    memoryOverflowTargets: 1,
    stalledStreamTargets: 0.3,
    ownStallTargets: 1,
    unresponsiveFactor: 3,
    awayFromHomeFactor: 1,
};
