/** Timing (in milliseconds) and size limits of the control log. */
export interface LogTiming {
    /** Interval between the leader's heartbeats. */
    readonly heartbeatMs: number;
    /** Time after a message from the leader during which a replica does not help to elect another leader. */
    readonly leaseMs: number;
    /** Maximum rate error of a host's monotonic clock, as a fraction. */
    readonly maxDrift: number;
    /**
     * Upper bound of the random delay between the expiry of a replica's promise to the leader and the start of an
     * election.
     */
    readonly electionSpreadMs: number;
    /** Timeout of an append request, which includes the peer's sync. */
    readonly appendTimeoutMs: number;
    /** Delay between a replica's join requests. */
    readonly joinRetryMs: number;
    /** Number of applied entries after which a snapshot is taken. */
    readonly snapshotEntries: number;
    /**
     * Number of entries kept in the log before a snapshot's index, so that a replica that is slightly behind needs no
     * snapshot.
     */
    readonly trailingEntries: number;
    /** Size at which a new segment file of the log is started. */
    readonly segmentBytes: number;
}

/** Timing used where settings provide none. */
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
 * Returns how long the leader may rely on a promise, in milliseconds from when its request was sent.
 *
 * Prevents two simultaneous lease holders when clocks drift: the leader's clock may run slow and the follower's fast,
 * each by `maxDrift`. The follower's `leaseMs` starts later than the leader's (on receipt), and its fast clock ends it
 * after `leaseMs / (1 + maxDrift)` of true time at the earliest; the leader's slow clock measures this span as `leaseMs
 * * (1 - maxDrift) / (1 + maxDrift)`.
 *
 * @example
 * leaderLeaseMs({ ...DEFAULT_LOG_TIMING, leaseMs: 2_000, maxDrift: 0.01 }); // 1960.4
 */
export function leaderLeaseMs(timing: LogTiming): number {
    return timing.leaseMs * (1 - timing.maxDrift) / (1 + timing.maxDrift);
}
