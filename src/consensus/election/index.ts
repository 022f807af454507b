import { Term } from "../../ids/index.js";
import { Random } from "../../ports/index.js";
import { StoreError } from "../../store/index.js";
import { findVoters, majorityOf, Member } from "../member/index.js";
import { Method, VoteReply, VoteRequest } from "../message/index.js";
import { PeerLinks } from "../peerLinks/index.js";
import { Replica } from "../replica/index.js";

/** How long a replica that may not campaign waits before it looks again, at most. */
const IDLE_LOOK_MS = 1_000;
const MOST_DOUBLINGS = 4;

/**
 * Elects a leader when none is heard: one task, to the end of the replica.
 *
 * @example
 * lifecycle.run(signal => election.run(signal), onError);
 */
export class Election {
    private lost = 0;

    /** @param onWon - Told when the replica has won the present term. */
    constructor(
        private readonly replica: Replica,
        private readonly links: PeerLinks,
        private readonly random: Random,
        private readonly onWon: () => void,
    ) {}

    async run(signal: AbortSignal): Promise<void> {
        const { clock, timing, changed } = this.replica;
        while (!signal.aborted) {
            await this.waitForSilence(signal);
            if (signal.aborted) return;
            if (!this.replica.mayCampaign()) {
                await changed.wait(clock, IDLE_LOOK_MS, signal);
                continue;
            }
            const before = this.replica.term;
            await this.campaign(signal);
            this.noteOutcome(before);
            await clock.sleep(this.random.between(0, timing.electionSpreadMs * 2 ** this.lost), signal);
        }
    }

    /**
     * Draws the next pause from a longer span after each election lost.
     *
     * Guards against candidates that split the votes again and again: with slow disks an election outlasts the span from
     * which the pauses are drawn, so all candidates start before any of them can win, and no leader is ever elected.
     */
    private noteOutcome(termBefore: Term): void {
        const { replica } = this;
        if (replica.leader) this.lost = 0;
        else if (replica.term > termBefore) this.lost = Math.min(this.lost + 1, MOST_DOUBLINGS);
    }

    /** Settles a random while after the promise to the leader has run out without being renewed. */
    private async waitForSilence(signal: AbortSignal): Promise<void> {
        const { replica } = this;
        const spread = this.random.between(0, replica.timing.electionSpreadMs);
        while (!signal.aborted) {
            const wait = replica.promisedUntil + spread - replica.clock.monotonic();
            if (wait <= 0) return;
            await replica.changed.wait(replica.clock, wait, signal);
        }
    }

    /**
     * Asks first whether it would win (pre-vote), and only then starts a term: a host that can't win, for example one that
     * hears nobody, leaves the others' term alone.
     */
    private async campaign(signal: AbortSignal): Promise<void> {
        const { replica } = this;
        const before = replica.term;
        if (!await this.askVoters(true, signal)) return;
        if (signal.aborted || replica.term !== before || !replica.mayCampaign()) return;
        const term = await replica.startTerm().catch(takeFullDisk);
        if (term === undefined || replica.term !== term || !await this.askVoters(false, signal)) return;
        if (signal.aborted || replica.term !== term || replica.leader) return;
        replica.lead();
        this.onWon();
    }

    private async askVoters(pre: boolean, signal: AbortSignal): Promise<boolean> {
        const { replica, links } = this;
        const { cluster, storeId, log, configuration, timing } = replica;
        const term = replica.term + (pre ? 1 : 0);
        // A vote waits for the voter's sync; whether one would be given does not.
        const timeoutMs = pre ? timing.electionSpreadMs : timing.appendTimeoutMs;
        const header = { cluster, from: storeId, term, pre, lastIndex: log.lastIndex, lastTerm: log.lastTerm };
        const ask = async (voter: Member): Promise<boolean> => {
            if (voter.storeId === storeId) return true;
            const request = { ...header, to: voter.storeId } as VoteRequest;
            const reply = await links.call<VoteReply>(voter.address, Method.Vote, request, timeoutMs);
            reply.ifRight(answer => replica.adoptTerm(answer.term));
            return reply.map(({ granted }) => granted).orDefault(false);
        };
        const votes = findVoters(configuration).map(ask);
        return !signal.aborted && await hasMajority(votes, majorityOf(configuration));
    }
}

/** A full disk ends the campaign only: space may come back, and the replica has taken note of the disk itself. */
function takeFullDisk(err: unknown): undefined {
    if (!(err instanceof StoreError) || err.reason !== "full") throw err;
}

/** Settles as soon as the outcome is certain, so that an unreachable host does not hold an election up. */
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
