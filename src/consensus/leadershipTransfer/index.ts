import { Address } from "../../ports/index.js";
import { Leadership } from "../leadership/index.js";
import { findVoters, Member } from "../member/index.js";
import { RpcMethod, TakeOverReply, TakeOverRequest } from "../message/index.js";
import { PeerLinks } from "../peerLinks/index.js";
import { Replica } from "../replica/index.js";

/** Maximum time for which no proposals are accepted before the leadership is handed over, in milliseconds. */
const MAX_CATCH_UP_MS = 500;
const POLL_MS = 5;

/**
 * Hands the leadership over to a voter that has all entries, so that a planned stop of the leader costs no lease.
 *
 * The leader steps down before it asks its successor to campaign, and never relies on its lease again in that term. The other voters may
 * therefore vote for the successor although their promise to the old leader has not expired.
 *
 * @example
 * await new LeadershipTransfer(replica, links).run(leadership, isLeaving, signal);
 */
export class LeadershipTransfer {
    constructor(private readonly replica: Replica, private readonly links: PeerLinks) {}

    /**
     * Hands over to the voter that is nearest to the end of the log.
     *
     * @param isExcluded - Whether a voter must not become the leader.
     * @returns Whether another voter leads now. False: this replica leads as before, or an election will decide.
     */
    async run(
        leadership: Leadership,
        isExcluded: (voter: Member) => boolean,
        signal: AbortSignal,
    ): Promise<boolean> {
        const { replica } = this;
        const successor = this.findSuccessor(leadership, isExcluded);
        if (!successor) return false;
        leadership.pauseProposals();
        const hasAll = await this.awaitCatchUp(leadership, successor, signal);
        if (!replica.isLeader || replica.term !== leadership.term) return false;
        if (!hasAll) {
            leadership.resumeProposals();
            return false;
        }
        replica.logger.info("leadership-handed-over", { to: successor.host, term: replica.term });
        replica.handOverTo(successor.storeId);
        return this.requestTakeOver(successor, leadership);
    }

    private findSuccessor(leadership: Leadership, isExcluded: (voter: Member) => boolean): Member | undefined {
        const { configuration, storeId } = this.replica;
        const matchIndexOf = (voter: Member): number => leadership.replicatorOf(voter.storeId)!.matchIndex;
        return findVoters(configuration)
            .filter(voter => voter.storeId !== storeId && !isExcluded(voter))
            .filter(voter => leadership.isInContact(voter.storeId))
            .sort((a, b) => matchIndexOf(b) - matchIndexOf(a))[0];
    }

    /** Waits until all entries are committed and the successor has them. */
    private async awaitCatchUp(leadership: Leadership, { storeId }: Member, signal: AbortSignal): Promise<boolean> {
        const { clock, log } = this.replica;
        const deadline = clock.monotonic() + MAX_CATCH_UP_MS;
        const hasAll = (): boolean => {
            const matchIndex = leadership.replicatorOf(storeId)?.matchIndex ?? 0;
            return this.replica.commitIndex === log.lastIndex && matchIndex === log.lastIndex;
        };
        while (!hasAll() && this.replica.isLeader && clock.monotonic() < deadline && !signal.aborted) {
            await clock.sleep(POLL_MS, signal);
        }
        return hasAll();
    }

    private async requestTakeOver({ storeId: to, address }: Member, { term }: Leadership): Promise<boolean> {
        const { cluster, storeId: from, host, timing } = this.replica;
        const request: TakeOverRequest = { cluster: cluster!, from, to, term, host };
        const reply = await this.call(address, request, timing.leaseMs);
        return reply?.isLeader ?? false;
    }

    private async call(
        address: Address,
        request: TakeOverRequest,
        limitMs: number,
    ): Promise<TakeOverReply | undefined> {
        const reply = await this.links.call<TakeOverReply>(address, RpcMethod.TakeOver, request, limitMs);
        return reply.toMaybe().extract();
    }
}
