import { Leadership } from "../leadership/index.js";
import { LeadershipTransfer } from "../leadershipTransfer/index.js";
import { findMember } from "../member/index.js";
import { MembershipManager } from "../membershipManager/index.js";
import { LeaveReply, LeaveRequest, RpcMethod } from "../message/index.js";
import { PeerLinks } from "../peerLinks/index.js";
import { Replica } from "../replica/index.js";

/** Interval between requests to leave, in milliseconds. */
const RETRY_MS = 50;

/** Result of a departure; `timeout`: the successor was not ready in time, or no leader was there to decide. */
export type DepartureResult = "left" | "no-successor" | "timeout";

/** Options of `Departure`. */
export interface DepartureOptions {
    readonly replica: Replica;
    readonly links: PeerLinks;
    readonly membershipManager: MembershipManager;
    /** Returns this replica's leadership; undefined while it does not lead. */
    readonly findLeadership: () => Leadership | undefined;
}

/**
 * Hands over what a replica holds before its process stops as planned: the vote to a learner that has caught up, and the leadership to
 * another voter.
 *
 * Without it, each planned stop counts as a loss until the replica has been silent for seconds, and several of them in a row end the majority
 * though all successors are there.
 *
 * @example
 * await new Departure(options).run(3_000, signal);
 */
export class Departure {
    private readonly transfer: LeadershipTransfer;

    constructor(private readonly options: DepartureOptions) {
        this.transfer = new LeadershipTransfer(options.replica, options.links);
    }

    /**
     * Runs until everything is handed over, nobody can take over, or the time is up.
     *
     * @param limitMs - Maximum time, in milliseconds.
     */
    async run(limitMs: number, signal: AbortSignal): Promise<DepartureResult> {
        const { clock, logger } = this.options.replica;
        const startedAt = clock.monotonic();
        const result = await this.handOver(startedAt + limitMs, signal);
        const leadership = this.options.findLeadership();
        if (leadership) await this.handOverLeadership(leadership, signal);
        logger.info("departure-ended", { result, tookMs: Math.round(clock.monotonic() - startedAt) });
        return result;
    }

    private async handOver(deadline: number, signal: AbortSignal): Promise<DepartureResult> {
        const { clock } = this.options.replica;
        while (!signal.aborted) {
            const result = await this.step(signal);
            if (result === "left" || result === "no-successor") return result;
            if (clock.monotonic() + RETRY_MS > deadline) return "timeout";
            await clock.sleep(RETRY_MS, signal);
        }
        return "timeout";
    }

    private step(signal: AbortSignal): Promise<LeaveReply["result"]> {
        const leadership = this.options.findLeadership();
        return leadership ? this.leaveAsLeader(leadership, signal) : this.requestLeave();
    }

    /** As the leader: promotes a successor first, then hands the leadership over. The next leader does the rest. */
    private async leaveAsLeader(leadership: Leadership, signal: AbortSignal): Promise<LeaveReply["result"]> {
        const { replica, membershipManager } = this.options;
        const result = membershipManager.progressLeave(replica.storeId, leadership);
        if (result === "waiting" && !membershipManager.hasExcessVoter) return result;
        return await this.handOverLeadership(leadership, signal) ? "waiting" : result;
    }

    private handOverLeadership(leadership: Leadership, signal: AbortSignal): Promise<boolean> {
        const { membershipManager } = this.options;
        return this.transfer.run(leadership, voter => membershipManager.isLeaving(voter), signal);
    }

    private async requestLeave(): Promise<LeaveReply["result"]> {
        const { replica, links } = this.options;
        const { cluster, storeId, leader, configuration, timing } = replica;
        const address = leader && findMember(configuration, leader.storeId)?.address;
        if (!cluster || !address) return "not-leader";
        const request: LeaveRequest = { cluster, storeId };
        const reply = await links.call<LeaveReply>(address, RpcMethod.Leave, request, timing.leaseMs);
        return reply.map(({ result }) => result).orDefault("not-leader");
    }
}
