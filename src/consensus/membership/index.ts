import { StoreId } from "../../ids/index.js";
import { Address, formatAddress } from "../../ports/index.js";
import { Leadership } from "../leadership/index.js";
import {
    addLearner,
    Configuration,
    findMember,
    findPredecessor,
    findVoters,
    Member,
    moveMember,
    promoteLearner,
    removeMember,
} from "../member/index.js";
import { JoinReply, JoinRequest, Method } from "../message/index.js";
import { PeerLinks } from "../peerLinks/index.js";
import { Replica } from "../replica/index.js";

const LOG_EVERY_MS = 10_000;
/**
 * A voter silent for this long may be replaced by a new host that waits, in milliseconds. Three times a lease: a restart takes
 * less, and a replacement that comes too early costs a returning host its folder.
 */
const DEAD_AFTER_MS = 3_000;

/**
 * Keeps the members' list true: a replica that is not in it asks to join, and the leader takes it in, promotes it
 * and removes the identity that it replaces, one change at a time.
 *
 * The order after a lost disk: the new folder becomes a learner; once it has synced all that is committed, the dead identity
 * is removed, and then the learner is promoted. Removing first costs nothing, since a dead voter helps no majority, and spares
 * a list in which both folders of the host count: there, losing the host once more would stop the log for good.
 *
 * @example
 * membership.review(leadership);
 */
export class Membership {
    private nextLogAt = 0;

    constructor(
        private readonly replica: Replica,
        private readonly links: PeerLinks,
        private readonly address: Address,
        private readonly bootstrap: readonly Address[],
        /** Beyond so many voters a learner takes the place of a dead one, and waits while there is none. */
        private readonly targetVoters = Number.POSITIVE_INFINITY,
    ) {}

    /** Makes the next change that is due, if any. */
    review(leadership: Leadership): void {
        const { configuration } = this.replica;
        if (!leadership.mayChangeMembers()) return;
        const learner = configuration.members.find(member => {
            return member.role === "learner" && this.isSynced(member, leadership);
        });
        if (!learner) return;
        const predecessor = findPredecessor(configuration, learner);
        const isFull = findVoters(configuration).length >= this.targetVoters;
        const dead = predecessor ?? (isFull ? this.findDeadVoter(leadership) : undefined);
        if (isFull && !dead) return;
        const next = dead
            ? removeMember(configuration, dead.storeId)
            : promoteLearner(configuration, learner.storeId);
        this.change(leadership, next, dead ? "member-removed" : "learner-promoted", dead ?? learner);
    }

    /** Answers a replica that wants to be a member. */
    answerJoin(req: JoinRequest, leadership: Leadership | undefined): JoinReply {
        const { replica } = this;
        const { configuration } = replica;
        if (req.cluster !== replica.cluster) throw new Error("the request is from another cluster");
        if (!leadership) return { result: "not-leader", leader: this.addressOfLeader() };
        if (configuration.retired.includes(req.storeId)) return { result: "retired" };
        const member = findMember(configuration, req.storeId);
        if (member) return this.answerMember(member, req, leadership);
        if (this.isHostAlive(req, leadership) || !leadership.mayChangeMembers()) return { result: "busy" };
        const since = replica.log.lastIndex + 1 as Member["since"];
        const { host, storeId, address } = req;
        const learner: Member = { host, storeId, address, role: "learner", since };
        this.change(leadership, addLearner(configuration, learner), "learner-added", learner);
        return { result: "added" };
    }

    /** A member that asks may have moved to another address, at which nobody calls it. */
    private answerMember(member: Member, req: JoinRequest, leadership: Leadership): JoinReply {
        if (formatAddress(member.address) !== formatAddress(req.address)) {
            const next = moveMember(this.replica.configuration, req.storeId, req.address);
            this.change(leadership, next, "member-moved", member);
        }
        return { result: "member" };
    }

    /** Removes a host's replica for good. False when another change is under way or it is no member. */
    remove(storeId: StoreId, leadership: Leadership): boolean {
        const { configuration } = this.replica;
        const member = findMember(configuration, storeId);
        if (!member || !leadership.mayChangeMembers()) return false;
        this.change(leadership, removeMember(configuration, storeId), "member-removed", member);
        return true;
    }

    /** Asks to join while no leader counts this replica in: one task, to the end of the replica. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, timing, changed } = this.replica;
        while (!signal.aborted) {
            if (this.isCountedIn()) {
                await changed.wait(clock, timing.leaseMs, signal);
                continue;
            }
            await this.askToJoin();
            await clock.sleep(timing.joinRetryMs, signal);
        }
    }

    /**
     * The list here may be wrong in both directions: a learner's own entry may have been taken back by a later leader,
     * and a removed replica does not get the entry that removes it. So silence counts too, however the list reads.
     */
    private isCountedIn(): boolean {
        const { replica } = this;
        if (replica.leads) return true;
        const isMember = findMember(replica.configuration, replica.storeId) !== undefined;
        const silentFor = replica.clock.monotonic() - replica.promisedUntil;
        return isMember && silentFor < replica.timing.leaseMs;
    }

    private async askToJoin(): Promise<void> {
        const { replica } = this;
        const asked = [...this.bootstrap, ...replica.configuration.members.map(member => member.address)];
        const replies = await Promise.all(asked.map(address => this.askOne(address)));
        const leader = replies.find(reply => reply?.leader)?.leader;
        if (leader) replies.push(await this.askOne(leader));
        this.logAnswers(replies);
    }

    /** Says now and then why this replica is no member yet. */
    private logAnswers(replies: readonly (JoinReply | undefined)[]): void {
        const { clock, logger, storeId } = this.replica;
        if (clock.monotonic() < this.nextLogAt) return;
        this.nextLogAt = clock.monotonic() + LOG_EVERY_MS;
        const results = replies.flatMap(reply => reply ? [reply.result] : []);
        if (results.includes("retired")) logger.error("member-retired", { storeId });
        else if (!results.includes("member") && !results.includes("added")) logger.warn("join-waits", { storeId });
    }

    private async askOne(address: Address): Promise<JoinReply | undefined> {
        if (formatAddress(address) === formatAddress(this.address)) return undefined;
        const { cluster, storeId, host, timing } = this.replica;
        const request = { cluster, host, storeId, address: this.address } as JoinRequest;
        const reply = await this.links.call<JoinReply>(address, Method.Join, request, timing.leaseMs);
        return reply.toMaybe().extract();
    }

    private addressOfLeader(): Address | undefined {
        const { leader, configuration } = this.replica;
        return leader && findMember(configuration, leader.storeId)?.address;
    }

    /**
     * The voter that has been silent for longest, if that is long enough to take its host for lost.
     *
     * Guards against a cluster that wears out: hosts are replaced by new ones under other names, and without this each one
     * that is gone would count as a voter for ever, until a majority of the list is no more.
     */
    private findDeadVoter(leadership: Leadership): Member | undefined {
        const { configuration, clock, storeId } = this.replica;
        const silentMs = (member: Member): number => {
            const contactAt = leadership.replicatorOf(member.storeId)?.contactAt ?? Number.NEGATIVE_INFINITY;
            return clock.elapsed() - Math.max(contactAt, leadership.startedAt);
        };
        const others = findVoters(configuration).filter(member => member.storeId !== storeId);
        const silent = others.filter(member => silentMs(member) >= DEAD_AFTER_MS);
        return silent.sort((a, b) => silentMs(b) - silentMs(a))[0];
    }

    private isSynced(learner: Member, leadership: Leadership): boolean {
        const replicator = leadership.replicatorOf(learner.storeId);
        return replicator !== undefined && replicator.matchIndex >= this.replica.commitIndex
            && this.replica.clock.elapsed() - replicator.contactAt < this.replica.timing.leaseMs;
    }

    /** A host whose known folder still answers has not lost it: two processes run under one name. */
    private isHostAlive(req: JoinRequest, leadership: Leadership): boolean {
        const { clock, timing, configuration, storeId } = this.replica;
        return configuration.members.some(({ host, storeId: known }) => {
            if (host !== req.host) return false;
            if (known === storeId) return true;
            const contactAt = leadership.replicatorOf(known)?.contactAt ?? Number.NEGATIVE_INFINITY;
            return clock.elapsed() - contactAt < timing.leaseMs;
        });
    }

    private change(leadership: Leadership, next: Configuration, event: string, member: Member): void {
        if (!leadership.changeMembers(next)) return;
        this.replica.logger.info(event, { memberHost: member.host, storeId: member.storeId });
    }
}
