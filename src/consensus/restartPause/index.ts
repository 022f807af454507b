import { StoreId } from "../../ids/index.js";
import { findVoters, isVoter, Member } from "../member/index.js";
import { LeadershipStatusReply, LeadershipStatusRequest, RpcMethod } from "../message/index.js";
import { PeerLinks } from "../peerLinks/index.js";
import { Replica } from "../replica/index.js";

/** Number of query rounds per heartbeat interval. Each round sends one small message to each voter. */
const QUERIES_PER_HEARTBEAT = 4;

/**
 * Ends the voting pause after a restart as soon as no leader can remain that relies on a promise from before it.
 *
 * A restarted replica has lost its promises, so it votes for nobody for as long as one may last. When all replicas
 * restart together (power loss, all processes killed), this pause makes up most of the outage and protects nobody: a
 * lease ends with the process that holds it, and only a voter can hold one.
 *
 * The replica therefore queries every voter that it knows, not just a majority. The pause ends when each has replied,
 * after the restart, that it does not lead, or that its data folder is lost and its process with it. A voter that is
 * down, frozen or unreachable does not reply, and the pause runs its full time.
 *
 * This is safe even if the local configuration is outdated and a leader is missing from it: the newer configuration was
 * on the disks of a majority before any voter that it added could hold a lease. Lost folders are accepted as a reply
 * only from a minority, so one of those disks replies, and a reply that reports a newer configuration keeps the pause.
 * Leaders elected after the replies rely on promises made since, which are not lost.
 *
 * @example
 * await new RestartPause(replica, links).run(signal);
 */
export class RestartPause {
    constructor(private readonly replica: Replica, private readonly links: PeerLinks) {}

    /** Queries the voters until the pause ends, by their replies or by time. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, timing } = this.replica;
        while (!signal.aborted && this.replica.isInRestartPause) {
            if (await this.canEndEarly()) {
                this.replica.endRestartPause();
                return;
            }
            await clock.sleep(timing.heartbeatMs / QUERIES_PER_HEARTBEAT, signal);
        }
    }

    /**
     * Handles a query from a restarted replica.
     *
     * @throws Error when the query is for another host or comes from another cluster, which the sender receives as a
     * failed call.
     */
    handleLeadershipStatus({ cluster, host, to }: LeadershipStatusRequest): LeadershipStatusReply {
        const { replica } = this;
        if (host !== replica.host) throw new Error("the question is for another host");
        if (to !== replica.storeId) return { kind: "folder-lost" };
        if (cluster !== replica.cluster) throw new Error("the question is from another cluster");
        if (replica.isLeader) return { kind: "leads" };
        return { kind: "follows", configurationIndex: replica.configurationIndex };
    }

    private async canEndEarly(): Promise<boolean> {
        const { configuration } = this.replica;
        const voters = this.listOtherVoters();
        const answers = await Promise.all(voters.map(voter => this.queryVoter(voter)));
        const lostFolders = voters.filter((voter, at) => {
            return answers[at]?.kind === "folder-lost" && isVoter(configuration, voter.storeId);
        });
        const isMinority = 2 * lostFolders.length < findVoters(configuration).length;
        return voters.length > 0 && isMinority && answers.every(answer => this.rulesOutOldLease(answer));
    }

    /**
     * Returns the other voters of the newest configuration and of the one before it. A leader that removes itself leads
     * until that change is committed, and the configuration is changed again only afterwards.
     */
    private listOtherVoters(): Member[] {
        const { storeId, configuration, previousConfiguration } = this.replica;
        const voters = new Map<StoreId, Member>();
        for (const voter of findVoters(previousConfiguration ?? configuration)) voters.set(voter.storeId, voter);
        for (const voter of findVoters(configuration)) voters.set(voter.storeId, voter);
        voters.delete(storeId);
        return [...voters.values()];
    }

    private async queryVoter({ host, storeId: to, address }: Member): Promise<LeadershipStatusReply | undefined> {
        const { cluster, timing } = this.replica;
        if (!cluster) return undefined;
        const request: LeadershipStatusRequest = { cluster, host, to };
        const reply = await this.links.call<LeadershipStatusReply>(
            address,
            RpcMethod.LeadershipStatus,
            request,
            timing.electionSpreadMs,
        );
        return reply.toMaybe().extract();
    }

    private rulesOutOldLease(answer: LeadershipStatusReply | undefined): boolean {
        if (answer?.kind === "folder-lost") return true;
        return answer?.kind === "follows" && answer.configurationIndex <= this.replica.configurationIndex;
    }
}
