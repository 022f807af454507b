import { StoreId } from "../../ids/index.js";
import { Address } from "../../ports/index.js";
import { Leadership } from "../leadership/index.js";
import {
    addLearner,
    Configuration,
    findMember,
    findPredecessor,
    Member,
    promoteLearner,
    removeMember,
} from "../member/index.js";
import { JoinReply, JoinRequest, Method } from "../message/index.js";
import { PeerLinks } from "../peerLinks/index.js";
import { Replica } from "../replica/index.js";

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
    constructor(
        private readonly replica: Replica,
        private readonly links: PeerLinks,
        private readonly address: Address,
        private readonly bootstrap: readonly Address[],
    ) {}

    /** Makes the next change that is due, if any. */
    review(leadership: Leadership): void {
        const { configuration } = this.replica;
        if (!leadership.mayChangeMembers()) return;
        const learner = configuration.members.find(member => {
            return member.role === "learner" && this.isSynced(member, leadership);
        });
        if (!learner) return;
        const dead = findPredecessor(configuration, learner);
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
        if (!leadership) return { result: "not-leader" };
        if (configuration.retired.includes(req.storeId)) return { result: "retired" };
        if (findMember(configuration, req.storeId)) return { result: "member" };
        if (this.isHostAlive(req, leadership) || !leadership.mayChangeMembers()) return { result: "busy" };
        const since = replica.log.lastIndex + 1 as Member["since"];
        const { host, storeId, address } = req;
        const learner: Member = { host, storeId, address, role: "learner", since };
        this.change(leadership, addLearner(configuration, learner), "learner-added", learner);
        return { result: "added" };
    }

    /** Removes a host's replica for good. False when another change is under way or it is no member. */
    remove(storeId: StoreId, leadership: Leadership): boolean {
        const { configuration } = this.replica;
        const member = findMember(configuration, storeId);
        if (!member || !leadership.mayChangeMembers()) return false;
        this.change(leadership, removeMember(configuration, storeId), "member-removed", member);
        return true;
    }

    /** Asks to join while this replica is not a member: one task, to the end of the replica. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, timing, changed } = this.replica;
        while (!signal.aborted) {
            if (this.replica.isMember()) {
                await changed.wait(clock, timing.leaseMs, signal);
                continue;
            }
            if (await this.askToJoin()) {
                this.replica.logger.error("member-retired", { storeId: this.replica.storeId });
            }
            await clock.sleep(timing.joinRetryMs, signal);
        }
    }

    /** True when the leader says that this data folder was removed for good. */
    private async askToJoin(): Promise<boolean> {
        const { cluster, storeId, host, timing, configuration } = this.replica;
        const request = { cluster, host, storeId, address: this.address } as JoinRequest;
        const addresses = [...this.bootstrap, ...configuration.members.map(member => member.address)];
        const others = addresses.filter(({ host: ip, port }) => ip !== this.address.host || port !== this.address.port);
        const replies = await Promise.all(others.map(other => {
            return this.links.call<JoinReply>(other, Method.Join, request, timing.leaseMs);
        }));
        return replies.some(reply => reply.map(({ result }) => result === "retired").orDefault(false));
    }

    private isSynced(learner: Member, leadership: Leadership): boolean {
        const replicator = leadership.replicatorOf(learner.storeId);
        return replicator !== undefined && replicator.matchIndex >= this.replica.commitIndex
            && this.replica.clock.monotonic() - replicator.contactAt < this.replica.timing.leaseMs;
    }

    /** A host whose known folder still answers has not lost it: two processes run under one name. */
    private isHostAlive(req: JoinRequest, leadership: Leadership): boolean {
        const { clock, timing, configuration, storeId } = this.replica;
        return configuration.members.some(({ host, storeId: known }) => {
            if (host !== req.host) return false;
            if (known === storeId) return true;
            const contactAt = leadership.replicatorOf(known)?.contactAt ?? Number.NEGATIVE_INFINITY;
            return clock.monotonic() - contactAt < timing.leaseMs;
        });
    }

    private change(leadership: Leadership, next: Configuration, event: string, member: Member): void {
        if (!leadership.changeMembers(next)) return;
        this.replica.logger.info(event, { memberHost: member.host, storeId: member.storeId });
    }
}
