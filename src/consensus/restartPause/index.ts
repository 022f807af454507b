import { findVoters, Member } from "../member/index.js";
import { MemberMessage, Method, StandingReply } from "../message/index.js";
import { PeerLinks } from "../peerLinks/index.js";
import { Replica } from "../replica/index.js";

/** How many rounds of questions fit between two heartbeats: a round costs one small message for each voter. */
const ROUNDS_PER_HEARTBEAT = 4;

/**
 * Ends the pause after a restart as soon as no leader can be left that counts on a promise from before it.
 *
 * A replica that restarts has forgotten its promises and votes for nobody for as long as one may last. Where all replicas restart together
 * (power lost, all processes killed) that pause is most of the time for which nothing works, and nobody is left to be protected by
 * it: a lease ends with the process that holds it, and only a voter can hold one.
 *
 * So the replica asks every voter that it knows of, not a majority. The pause ends when each of them has said, after the restart,
 * that it does not lead. One that is down, frozen, cut off or wiped says nothing, and the pause runs its full time. A replica whose list of
 * members is out of date may not know the leader: since a new list is on the disks of a majority before it counts, one of the voters asked has it, and
 * an answer that names a newer list leaves the pause as it is. Leaders that are elected after the answers hold promises made since, which are
 * not forgotten.
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
            if (await this.isVouchedForByAll()) {
                this.replica.endRestartPause();
                return;
            }
            await clock.sleep(timing.heartbeatMs / ROUNDS_PER_HEARTBEAT, signal);
        }
    }

    /** Answers a replica that has restarted. */
    answerStanding(req: MemberMessage): StandingReply {
        this.replica.checkAddressee(req);
        return { leads: this.replica.leads, configurationIndex: this.replica.configurationIndex };
    }

    private async isVouchedForByAll(): Promise<boolean> {
        const { storeId, knownConfigurations } = this.replica;
        const voters = new Map(knownConfigurations.flatMap(findVoters).map(voter => [voter.storeId, voter]));
        voters.delete(storeId);
        const answers = await Promise.all([...voters.values()].map(voter => this.isVouchedForBy(voter)));
        return answers.length > 0 && answers.every(Boolean);
    }

    private async isVouchedForBy({ storeId: to, address }: Member): Promise<boolean> {
        const { cluster, storeId: from, term, timing, configurationIndex } = this.replica;
        if (!cluster) return false;
        const request: MemberMessage = { cluster, from, to, term };
        const reply = await this.links.call<StandingReply>(address, Method.Standing, request, timing.electionSpreadMs);
        return reply
            .map(standing => !standing.leads && standing.configurationIndex <= configurationIndex)
            .orDefault(false);
    }
}
