import { StoreId } from "../../ids/index.js";
import { LogFields } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { Address, formatAddress } from "../../ports/index.js";
import { Leadership } from "../leadership/index.js";
import {
    addLearner,
    Configuration,
    findMember,
    findVoters,
    Member,
    promoteLearner,
    removeMember,
    retireMember,
    updateMemberAddress,
} from "../member/index.js";
import { JoinReply, JoinRequest, LeaveReply, LeaveRequest } from "../message/index.js";
import { planMemberChange } from "../planMemberChange/index.js";
import { Replica } from "../replica/index.js";
import { describeSilences, VoterMonitor, VoterSilence } from "../voterMonitor/index.js";

/** A voter without contact for this long may be replaced by a waiting learner of another host; a restart takes less. */
const DEAD_VOTER_TIMEOUT_MS = 3_000;

/** A learner without contact for this long is no member any more; it joins again if it comes back. */
const LOST_LEARNER_TIMEOUT_MS = 30_000;
/** How long a member counts as leaving after its last request, in milliseconds; it repeats the request more often. */
const LEAVE_MEMORY_MS = 2_000;
const LEAVING = { reason: "leaving" };
const NO_SILENCE = { silentMs: 0, observedMs: 0 };
/** Optional settings of `MembershipManager`. */
export interface MembershipOptions {
    /** Desired number of voters; undefined: each member becomes one. */
    readonly targetVoters?: number;
    /** Receives gauges of the voters; undefined: none are recorded. */
    readonly metrics?: Metrics;
}

/**
 * Maintains the cluster membership at the leader: adds replicas that request to join as learners, promotes them and removes
 * the members that they replace, one change at a time.
 *
 * After a lost disk, the new data folder first becomes a learner. Once it has synced all committed entries, the dead
 * identity is removed, and then the learner is promoted. Removing first costs nothing, since a dead voter contributes
 * to no majority. It avoids a configuration in which both folders of the host are voters, where losing the host again
 * would stop the log permanently.
 *
 * A voter that was removed because it did not respond may be frozen or cut off, which can't be told from lost. It keeps
 * its term, its vote and its log, so it is admitted again as a learner, and takes the place of a voter that is really lost.
 *
 * @example
 * membershipManager.applyDueChange(leadership);
 */
export class MembershipManager {
    /** Desired number of voters. Once it is reached, a learner is promoted only in place of a dead voter. */
    private readonly targetVoters: number;
    private readonly voterMonitor: VoterMonitor;
    /** Monotonic time until which a member is known to be about to stop. */
    private readonly leavingUntil = new Map<StoreId, number>();

    constructor(private readonly replica: Replica, options: MembershipOptions = {}) {
        this.targetVoters = options.targetVoters ?? Number.POSITIVE_INFINITY;
        const { targetVoters } = this;
        this.voterMonitor = new VoterMonitor({ replica, metrics: options.metrics, targetVoters });
    }

    /** Appends the next membership change that is due, if any. */
    applyDueChange(leadership: Leadership): void {
        const { configuration } = this.replica;
        const unresponsive = this.listUnresponsiveVoters(leadership);
        this.voterMonitor.observe(unresponsive);
        if (!leadership.mayChangeMembers()) return;
        const change = planMemberChange(configuration, {
            targetVoters: this.targetVoters,
            unresponsive: unresponsive.map(({ voter }) => voter),
            lostLearners: configuration.members.filter(member => this.isLostLearner(member, leadership)),
            caughtUp: configuration.members.filter(member => this.isCaughtUpLearner(member, leadership)),
            leaving: configuration.members.filter(member => this.isLeaving(member)),
            leader: this.replica.storeId,
        });
        if (!change) return;
        const { member } = change;
        if (change.kind === "promote") {
            this.appendChange(leadership, promoteLearner(configuration, member.storeId), "learner-promoted", member);
            return;
        }
        const { reason, replacedBy } = change;
        const remove = reason === "superseded" ? retireMember : removeMember;
        this.appendChange(leadership, remove(configuration, member.storeId), "member-removed", member, {
            reason,
            replacedBy: replacedBy?.host,
            unresponsive: describeSilences(unresponsive),
        });
    }

    /** Handles a request to join the cluster. */
    handleJoin(req: JoinRequest, leadership: Leadership | undefined): JoinReply {
        const { replica } = this;
        const { configuration } = replica;
        if (req.cluster !== replica.cluster) throw new Error("the request is from another cluster");
        if (!leadership) return { result: "not-leader", leader: this.findLeaderAddress() };
        if (configuration.retired.includes(req.storeId)) return { result: "retired" };
        const member = findMember(configuration, req.storeId);
        if (member) return this.handleJoinOfMember(member, req, leadership);
        if (this.isKnownFolderAlive(req, leadership) || !leadership.mayChangeMembers()) return { result: "busy" };
        const since = replica.log.lastIndex + 1 as Member["since"];
        const { host, storeId, address } = req;
        const learner: Member = { host, storeId, address, role: "learner", since };
        this.appendChange(leadership, addLearner(configuration, learner), "learner-added", learner);
        return { result: "added" };
    }

    /**
     * Handles a request from a current member, which may have moved to an address that the other members do not know
     * yet.
     */
    private handleJoinOfMember(member: Member, req: JoinRequest, leadership: Leadership): JoinReply {
        if (formatAddress(member.address) !== formatAddress(req.address)) {
            const next = updateMemberAddress(this.replica.configuration, req.storeId, req.address);
            this.appendChange(leadership, next, "member-moved", member);
        }
        return { result: "member" };
    }

    /** Handles a request from a member that is about to stop as planned; it repeats the request until then. */
    handleLeave(req: LeaveRequest, leadership: Leadership | undefined): LeaveReply {
        const { replica } = this;
        if (req.cluster !== replica.cluster) throw new Error("the request is from another cluster");
        if (!leadership) return { result: "not-leader" };
        return { result: this.progressLeave(req.storeId, leadership) };
    }

    /**
     * Takes the next step to replace a member that is about to stop, and returns how far that is.
     *
     * @param storeId - The member, which may be this replica.
     */
    progressLeave(storeId: StoreId, leadership: Leadership): Exclude<LeaveReply["result"], "not-leader"> {
        this.recordLeaving(storeId);
        this.applyDueChange(leadership);
        if (!leadership.mayChangeMembers()) return "waiting";
        const { configuration } = this.replica;
        const member = findMember(configuration, storeId);
        if (!member) return "left";
        if (member.role === "learner") {
            this.appendChange(leadership, removeMember(configuration, storeId), "member-removed", member, LEAVING);
            return "waiting";
        }
        return this.hasExcessVoter || this.hasSuccessor(leadership) ? "waiting" : "no-successor";
    }

    /** Whether there are more voters than wanted, because a successor was promoted for one that is about to stop. */
    get hasExcessVoter(): boolean {
        return findVoters(this.replica.configuration).length > this.targetVoters;
    }

    /** Returns whether a member is about to stop as planned. */
    isLeaving({ storeId }: Member): boolean {
        return (this.leavingUntil.get(storeId) ?? 0) > this.replica.clock.monotonic();
    }

    private recordLeaving(storeId: StoreId): void {
        const now = this.replica.clock.monotonic();
        for (const [other, until] of this.leavingUntil) {
            if (until <= now) this.leavingUntil.delete(other);
        }
        this.leavingUntil.set(storeId, now + LEAVE_MEMORY_MS);
    }

    /** Returns whether a learner is there that may become a voter, caught up or not. */
    private hasSuccessor(leadership: Leadership): boolean {
        const { configuration, timing } = this.replica;
        return configuration.members.some(member => {
            const { silentMs } = leadership.replicatorOf(member.storeId)?.silence ?? NO_SILENCE;
            return member.role === "learner" && !this.isLeaving(member) && silentMs < timing.leaseMs;
        });
    }

    /** Removes a member permanently. Returns false when another change is pending or the replica is not a member. */
    remove(storeId: StoreId, leadership: Leadership): boolean {
        const { configuration } = this.replica;
        const member = findMember(configuration, storeId);
        if (!member || !leadership.mayChangeMembers()) return false;
        const next = retireMember(configuration, storeId);
        this.appendChange(leadership, next, "member-removed", member, { reason: "requested" });
        return true;
    }

    private findLeaderAddress(): Address | undefined {
        const { leader, configuration } = this.replica;
        return leader && findMember(configuration, leader.storeId)?.address;
    }

    /**
     * Returns the voters that have been out of contact long enough to consider their hosts lost, the longest first. A new
     * leader must have asked for a lease itself: what it knows of earlier silences may be outdated.
     *
     * Prevents the gradual loss of the cluster: when hosts are replaced by new ones with other names, each lost host
     * would otherwise remain a voter forever, until a majority of the voters no longer exists.
     */
    private listUnresponsiveVoters(leadership: Leadership): VoterSilence[] {
        const { configuration, storeId, timing } = this.replica;
        const others = findVoters(configuration).filter(member => member.storeId !== storeId);
        return others
            .map(voter => ({ voter, silence: leadership.replicatorOf(voter.storeId)?.silence ?? NO_SILENCE }))
            .filter(({ silence }) => silence.silentMs >= DEAD_VOTER_TIMEOUT_MS && silence.observedMs >= timing.leaseMs)
            .map(({ voter, silence }) => ({ voter, silentMs: silence.silentMs }))
            .sort((a, b) => b.silentMs - a.silentMs);
    }

    private isLostLearner({ role, storeId }: Member, leadership: Leadership): boolean {
        const { silentMs, observedMs } = leadership.replicatorOf(storeId)?.silence ?? NO_SILENCE;
        return role === "learner" && silentMs >= LOST_LEARNER_TIMEOUT_MS && observedMs >= this.replica.timing.leaseMs;
    }

    private isCaughtUpLearner({ role, storeId }: Member, leadership: Leadership): boolean {
        const replicator = leadership.replicatorOf(storeId);
        return role === "learner" && replicator !== undefined && replicator.matchIndex >= this.replica.commitIndex
            && leadership.isInContact(storeId);
    }

    /**
     * Returns whether a known data folder of the requesting host still answers. Such a host has not lost its folder:
     * two processes run under the same host name.
     */
    private isKnownFolderAlive(req: JoinRequest, leadership: Leadership): boolean {
        const { configuration, storeId } = this.replica;
        return configuration.members.some(({ host, storeId: known }) => {
            return host === req.host && (known === storeId || leadership.isInContact(known));
        });
    }

    private appendChange(
        leadership: Leadership,
        next: Configuration,
        event: string,
        member: Member,
        fields: LogFields = {},
    ): void {
        if (!leadership.changeMembers(next)) return;
        this.replica.logger.info(event, { memberHost: member.host, storeId: member.storeId, ...fields });
    }
}
