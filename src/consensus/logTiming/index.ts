/** The control log's times, in milliseconds, and sizes. */
export interface LogTiming {
    /** How often the leader sends heartbeats. */
    readonly heartbeatMs: number;
    /** How long a replica that heard its leader refuses to help elect another. */
    readonly leaseMs: number;
    /** The most by which a host's monotonic clock runs fast or slow, as a fraction. */
    readonly maxDrift: number;
    /** A replica starts an election up to this much, by chance, after its promise to the leader has run out. */
    readonly electionSpreadMs: number;
    /** How long to wait for the answer to an append, which includes the peer's sync. */
    readonly appendTimeoutMs: number;
    /** How long a replica waits between asking to join and asking again. */
    readonly joinRetryMs: number;
    /** A snapshot is taken after this many entries. */
    readonly snapshotEntries: number;
    /** How many entries stay behind a snapshot, so that a replica a little behind needs none. */
    readonly trailingEntries: number;
    readonly segmentBytes: number;
}

/** The timing used where settings give none. */
export const DEFAULT_LOG_TIMING: LogTiming = {
    heartbeatMs: 500,
    leaseMs: 2_000,
    maxDrift: 0.01,
    electionSpreadMs: 1_000,
    appendTimeoutMs: 10_000,
    joinRetryMs: 500,
    snapshotEntries: 10_000,
    trailingEntries: 1_000,
    segmentBytes: 4 * 1024 * 1024,
};

/**
 * How long the leader may count on a promise, from when its request left.
 *
 * Guards against two holders at once when clocks drift: the leader's clock may run slow and the follower's fast, each by
 * `maxDrift`. The follower starts its `leaseMs` later than the leader (on receipt), and its fast clock ends it after
 * `leaseMs / (1 + maxDrift)` of true time at the earliest; the leader's slow clock shows this span as
 * `leaseMs * (1 - maxDrift) / (1 + maxDrift)`.
 *
 * @example
 * leaderLeaseMs({ ...DEFAULT_LOG_TIMING, leaseMs: 2_000, maxDrift: 0.01 }); // 1960.4
 */
export function leaderLeaseMs(timing: LogTiming): number {
    return timing.leaseMs * (1 - timing.maxDrift) / (1 + timing.maxDrift);
}
