import { StoreId } from "../../ids/index.js";
import { findVoters, isVoter, Member } from "../member/index.js";
import { Method, StandingReply, StandingRequest } from "../message/index.js";
import { PeerLinks } from "../peerLinks/index.js";
import { Replica } from "../replica/index.js";

/** How many rounds of questions fit between two heartbeats: a round costs one small message for each voter. */
const ROUNDS_PER_HEARTBEAT = 4;

/**
 * Ends the pause after a restart as soon as no leader can be left that counts on a promise from before it.
 *
 * A replica that restarts has forgotten its promises and votes for nobody for as long as one may last. Where all replicas restart together
 * (power lost, all processes killed) that pause is most of the time for which nothing works, and it protects nobody: a lease ends
 * with the process that holds it, and only a voter can hold one.
 *
 * So the replica asks every voter that it knows of, not a majority. The pause ends when each has answered, after the restart, that it does not
 * lead, or that its data folder is lost and its process with it. One that is down, frozen or cut off says nothing, and the pause runs its
 * full time.
 *
 * Guards against a leader that this replica has never heard of, since its list of members is out of date: the newer list was on the disks of
 * a majority before any voter that it added could hold a lease. Lost folders are taken for an answer only from a minority, so one of
 * those disks answers, and an answer that tells of a newer list leaves the pause as it is. Leaders that are elected after the answers hold
 * promises made since, which are not forgotten.
 *
 * @example
 * await new RestartPause(replica, links).run(signal);
 */
export class RestartPause {
    constructor(private readonly replica: Replica, private readonly links: PeerLinks) {}

    /** Asks until the pause is over, by the answers or by time. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, timing } = this.replica;
        while (!signal.aborted && this.replica.isInRestartPause) {
            if (await this.isReleased()) {
                this.replica.endRestartPause();
                return;
            }
            await clock.sleep(timing.heartbeatMs / ROUNDS_PER_HEARTBEAT, signal);
        }
    }

    /**
     * Answers a replica that has restarted.
     *
     * @throws Error when the question is for another host or comes from another cluster, which the sender sees as a failed call.
     */
    answerStanding({ cluster, host, to }: StandingRequest): StandingReply {
        const { replica } = this;
        if (host !== replica.host) throw new Error("the question is for another host");
        if (to !== replica.storeId) return { kind: "folder-lost" };
        if (cluster !== replica.cluster) throw new Error("the question is from another cluster");
        if (replica.leads) return { kind: "leads" };
        return { kind: "follows", configurationIndex: replica.configurationIndex };
    }

    private async isReleased(): Promise<boolean> {
        const { configuration } = this.replica;
        const voters = this.listOtherVoters();
        const answers = await Promise.all(voters.map(voter => this.ask(voter)));
        const lost = voters.filter((voter, at) => {
            return answers[at]?.kind === "folder-lost" && isVoter(configuration, voter.storeId);
        });
        const isMinority = 2 * lost.length < findVoters(configuration).length;
        return voters.length > 0 && isMinority && answers.every(answer => this.isHarmless(answer));
    }

    /**
     * The voters of the newest list and of the one before: a leader that removes itself leads until that is committed, and a list
     * is changed again only after that.
     */
    private listOtherVoters(): Member[] {
        const { storeId, configuration, previousConfiguration } = this.replica;
        const voters = new Map<StoreId, Member>();
        for (const voter of findVoters(previousConfiguration ?? configuration)) voters.set(voter.storeId, voter);
        for (const voter of findVoters(configuration)) voters.set(voter.storeId, voter);
        voters.delete(storeId);
        return [...voters.values()];
    }

    private async ask({ host, storeId: to, address }: Member): Promise<StandingReply | undefined> {
        const { cluster, timing } = this.replica;
        if (!cluster) return undefined;
        const request: StandingRequest = { cluster, host, to };
        const reply = await this.links.call<StandingReply>(address, Method.Standing, request, timing.electionSpreadMs);
        return reply.toMaybe().extract();
    }

    private isHarmless(answer: StandingReply | undefined): boolean {
        if (answer?.kind === "folder-lost") return true;
        return answer?.kind === "follows" && answer.configurationIndex <= this.replica.configurationIndex;
    }
}
