import { StoreId, Term } from "../../ids/index.js";
import { Random } from "../../ports/index.js";
import { StoreError } from "../../store/index.js";
import { findVoters, majoritySize, Member } from "../member/index.js";
import { RpcMethod, TakeOverRequest, VoteReply, VoteRequest } from "../message/index.js";
import { PeerLinks } from "../peerLinks/index.js";
import { Replica } from "../replica/index.js";

/** Maximum interval at which a replica that may not campaign checks again whether it may. */
const CAMPAIGN_RECHECK_MS = 1_000;
const MAX_SPREAD_DOUBLINGS = 4;

/**
 * Elects a leader when no leader renews its lease. One task, which runs until the replica ends.
 *
 * @example
 * lifecycle.run(signal => election.run(signal), onError);
 */
export class Election {
    private lostElections = 0;

    /** @param onWon - Called when the replica has won the election of the current term. */
    constructor(
        private readonly replica: Replica,
        private readonly links: PeerLinks,
        private readonly random: Random,
        private readonly onWon: () => void,
    ) {}

    async run(signal: AbortSignal): Promise<void> {
        const { clock, timing, changed } = this.replica;
        while (!signal.aborted) {
            await this.waitForPromiseExpiry(signal);
            if (signal.aborted) return;
            if (!this.replica.mayCampaign()) {
                await changed.wait(clock, CAMPAIGN_RECHECK_MS, signal);
                continue;
            }
            const termBefore = this.replica.term;
            await this.campaign(signal);
            this.recordOutcome(termBefore);
            await clock.sleep(this.random.between(0, timing.electionSpreadMs * 2 ** this.lostElections), signal);
        }
    }

    /**
     * Doubles the range of the next random delay after each lost election.
     *
     * Prevents repeated split votes: with slow disks an election takes longer than the range of the delays, so all
     * candidates start before any of them can win, and no leader is ever elected.
     */
    private recordOutcome(termBefore: Term): void {
        const { replica } = this;
        if (replica.leader) this.lostElections = 0;
        else if (replica.term > termBefore) this.lostElections = Math.min(this.lostElections + 1, MAX_SPREAD_DOUBLINGS);
    }

    /** Resolves a random delay after the promise to the leader has expired without renewal. */
    private async waitForPromiseExpiry(signal: AbortSignal): Promise<void> {
        const { replica } = this;
        const spread = this.random.between(0, replica.timing.electionSpreadMs);
        while (!signal.aborted) {
            const wait = replica.promisedUntil + spread - replica.clock.monotonic();
            if (wait <= 0) return;
            await replica.changed.wait(replica.clock, wait, signal);
        }
    }

    /**
     * Runs one election. A pre-vote determines first whether this replica would win, and only then does it start a
     * term. A host that can't win, for example one that receives no replies, thus does not affect the term of the
     * others.
     */
    private async campaign(signal: AbortSignal): Promise<void> {
        const { replica } = this;
        const termBefore = replica.term;
        if (!await this.requestVotes(true, signal)) return;
        if (signal.aborted || replica.term !== termBefore || !replica.mayCampaign()) return;
        await this.runElection(signal);
    }

    /**
     * Campaigns at once, because the leader has handed over to this replica.
     *
     * @returns Whether this replica leads.
     */
    async takeOver({ from, term }: TakeOverRequest, signal: AbortSignal): Promise<boolean> {
        const { replica } = this;
        if (replica.term !== term || !replica.mayTakeOver(from)) return false;
        await this.runElection(signal, from);
        return replica.isLeader;
    }

    private async runElection(signal: AbortSignal, releasedBy?: StoreId): Promise<void> {
        const { replica } = this;
        const term = await replica.startElectionTerm().catch(ignoreFullDisk);
        if (term === undefined || replica.term !== term || !await this.requestVotes(false, signal, releasedBy)) return;
        if (signal.aborted || replica.term !== term || replica.leader) return;
        replica.becomeLeader();
        this.onWon();
    }

    private async requestVotes(isPreVote: boolean, signal: AbortSignal, releasedBy?: StoreId): Promise<boolean> {
        const { replica, links } = this;
        const { cluster, storeId, log, configuration, timing } = replica;
        const term = replica.term + (isPreVote ? 1 : 0);
        // A vote waits for the voter's sync; a pre-vote does not.
        const timeoutMs = isPreVote ? timing.electionSpreadMs : timing.appendTimeoutMs;
        const header = {
            cluster,
            from: storeId,
            term,
            pre: isPreVote,
            lastIndex: log.lastIndex,
            lastTerm: log.lastTerm,
            ...(releasedBy && { releasedBy }),
        };
        const requestVote = async (voter: Member): Promise<boolean> => {
            if (voter.storeId === storeId) return true;
            const request = { ...header, to: voter.storeId } as VoteRequest;
            const reply = await links.call<VoteReply>(voter.address, RpcMethod.Vote, request, timeoutMs);
            reply.ifRight(answer => replica.adoptTerm(answer.term));
            return reply.map(({ granted }) => granted).orDefault(false);
        };
        const votes = findVoters(configuration).map(requestVote);
        return !signal.aborted && await hasMajority(votes, majoritySize(configuration));
    }
}

/**
 * Ends only the campaign when the disk is full. Space may become available again, and the replica has already recorded
 * the failure.
 */
function ignoreFullDisk(err: unknown): undefined {
    if (!(err instanceof StoreError) || err.reason !== "full") throw err;
}

/** Resolves as soon as the outcome is certain, so that an unreachable host does not delay an election. */
function hasMajority(votes: readonly Promise<boolean>[], majority: number): Promise<boolean> {
    return new Promise(resolve => {
        let granted = 0;
        let refused = 0;
        for (const vote of votes) {
            void vote.then(isGranted => {
                if (isGranted) granted++;
                else refused++;
                if (granted >= majority) resolve(true);
                if (refused > votes.length - majority) resolve(false);
            });
        }
    });
}
