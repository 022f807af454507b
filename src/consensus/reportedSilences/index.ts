import { StoreId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";

/** For how long a member has not answered its leader, in milliseconds. */
export type SilenceReport = readonly [storeId: StoreId, silentMs: number];

/**
 * What a follower knows of members that do not answer: those that its leader has reported, and the leader itself since its last heartbeat.
 *
 * A follower that becomes the leader starts from it. If it measured each silence from its own election on, a voter that is lost would count
 * for longer the more often the leader changes.
 *
 * @example
 * silences.recordHeartbeat(leader, [[storeId, 1_200]]);
 * silences.silentMsOf(storeId);
 */
export class ReportedSilences {
    private leader: StoreId | undefined;
    private heardAt = 0;
    private reported: ReadonlyMap<StoreId, number> = new Map();

    constructor(private readonly clock: Clock) {}

    /** Records a heartbeat of the leader and the silences in it. */
    recordHeartbeat(leader: StoreId, reports: readonly SilenceReport[] = []): void {
        this.leader = leader;
        this.heardAt = this.clock.monotonic();
        this.reported = new Map(reports);
    }

    /** Returns for how long a member is known to have been silent, in milliseconds; 0 without a sign of that. */
    silentMsOf(storeId: StoreId): number {
        const sinceHeartbeatMs = this.clock.monotonic() - this.heardAt;
        if (storeId === this.leader) return sinceHeartbeatMs;
        const reportedMs = this.reported.get(storeId);
        return reportedMs === undefined ? 0 : reportedMs + sinceHeartbeatMs;
    }
}
