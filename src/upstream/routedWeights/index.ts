/** What the parts of a choice weigh, in milliseconds of a caller's wait. */
export interface RoutedWeights {
    /** Reading tokens that another upstream holds: the work is lost for others, beside the time that it takes here. */
    readonly rereadFactor: number;
    /** Each request that runs there slows every token of the batch. */
    readonly runningMs: number;
    /** The way to another zone and back, and each kilobyte that crosses, which is paid for. */
    readonly otherZoneMs: number;
    readonly otherZoneKilobyteMs: number;
    /** An upstream all of whose requests fail. */
    readonly failingMs: number;
    /** A request that has to wait for a slot. */
    readonly fullMs: number;
    /** A request for which the memory lacks room, or that others must yield to, in targets: it comes late, or one of them does. */
    readonly overflowTargets: number;
    /** Each running stream whose longest pause would be passed beside this prompt, as a share of the request's target. */
    readonly stallTargets: number;
    /** The chance that the request's own stream pauses for too long, in targets: it is then as late as one that waits for its whole target. */
    readonly ownStallTargets: number;
    /** Each millisecond for which a working upstream has been silent beyond what it may. */
    readonly silentFactor: number;
    /**
     * Any upstream but the one to which a prompt's shared parts belong, while nobody is known to hold them: so many times what
     * reading them takes.
     */
    readonly awayFactor: number;
}

/**
 * A prompt waits for its parts longer than reading them takes, since reading them again also delays all that waits behind it. A stream that
 * would stall weighs less than the request's whole target, so that long prompts are not kept back until their own deadlines.
 */
export const DEFAULT_ROUTED_WEIGHTS: RoutedWeights = {
    rereadFactor: 2.5,
    runningMs: 2,
    otherZoneMs: 2,
    otherZoneKilobyteMs: 1,
    failingMs: 1_000,
    fullMs: 500,
    overflowTargets: 1,
    stallTargets: 0.3,
    ownStallTargets: 1,
    silentFactor: 3,
    awayFactor: 1,
};
