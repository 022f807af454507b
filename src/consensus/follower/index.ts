import { LogIndex, Term } from "../../ids/index.js";
import { StoredEntry } from "../../store/index.js";
import {
    AppendReply,
    AppendRequest,
    HeartbeatReply,
    HeartbeatRequest,
    VoteReply,
    VoteRequest,
} from "../message/index.js";
import { Replica } from "../replica/index.js";

/**
 * Answers candidates and the leader.
 *
 * @example
 * router.add(Method.Vote, body => follower.answerVote(body as VoteRequest));
 */
export class Follower {
    /** Up to where the log is known to be the leader's, in `matchedTerm`. */
    private matched = 0 as LogIndex;
    private matchedTerm = 0 as Term;
    private leaderCommit = 0 as LogIndex;

    constructor(private readonly replica: Replica) {}

    /**
     * Gives or refuses a vote.
     *
     * Guards the lease: a replica that heard its leader within `leaseMs` neither votes nor takes over the candidate's term,
     * so no other leader can be elected while the first counts on a majority of such promises. Guards against a cut-off
     * host too, which would otherwise return with a high term and unseat a leader that works.
     */
    async answerVote(req: VoteRequest): Promise<VoteReply> {
        const { replica } = this;
        replica.checkAddressee(req);
        if (!replica.isFreeFor(req.from) || req.term < replica.term) return { term: replica.term, granted: false };
        if (req.pre) return { term: replica.term, granted: req.term > replica.term && this.isUpToDate(req) };
        replica.adoptTerm(req.term);
        const granted = this.isUpToDate(req) && replica.giveVote(req.from);
        await replica.persistVote();
        return { term: replica.term, granted };
    }

    /** Answers at once, also while the disk is slow: the lease rests on the promise, which is not on disk. */
    answerHeartbeat(req: HeartbeatRequest): HeartbeatReply {
        const { replica } = this;
        replica.checkAddressee(req);
        if (!replica.followLeader(req)) return { term: replica.term, ok: false };
        this.takeCommit(req.term, req.commit);
        return { term: replica.term, ok: true };
    }

    /** Appends the leader's entries and answers once they are synced. */
    async answerAppend(req: AppendRequest): Promise<AppendReply> {
        const { replica } = this;
        replica.checkAddressee(req);
        if (!replica.followLeader(req)) return this.refuse(replica.log.lastIndex);
        if (req.prevIndex > replica.log.lastIndex) return this.refuse(replica.log.lastIndex);
        const isCommitted = req.prevIndex <= replica.commitIndex;
        if (!isCommitted && replica.log.termAt(req.prevIndex) !== req.prevTerm) return this.refuse(replica.commitIndex);
        replica.appendFromLeader(numberEntries(req));
        const last = req.prevIndex + req.entries.length as LogIndex;
        await replica.persistVote();
        await replica.log.whenDurable(last);
        if (replica.term !== req.term) return this.refuse(replica.commitIndex);
        this.takeMatch(req.term, last);
        this.takeCommit(req.term, req.commit);
        return { term: replica.term, ok: true, lastIndex: last };
    }

    /** Commits what the leader has committed and what has been synced here since. */
    takeDurable(): void {
        if (this.replica.term === this.matchedTerm) this.takeCommit(this.matchedTerm, this.leaderCommit);
    }

    private refuse(lastIndex: LogIndex): AppendReply {
        return { term: this.replica.term, ok: false, lastIndex };
    }

    /** True when the candidate's log has all that this one may have acknowledged. */
    private isUpToDate(req: VoteRequest): boolean {
        const { log } = this.replica;
        if (req.lastTerm !== log.lastTerm) return req.lastTerm > log.lastTerm;
        return req.lastIndex >= log.lastIndex;
    }

    private takeMatch(term: Term, index: LogIndex): void {
        if (term !== this.matchedTerm) {
            this.matchedTerm = term;
            this.matched = 0 as LogIndex;
            this.leaderCommit = 0 as LogIndex;
        }
        this.matched = Math.max(this.matched, index) as LogIndex;
    }

    private takeCommit(term: Term, commit: LogIndex): void {
        this.takeMatch(term, 0 as LogIndex);
        this.leaderCommit = Math.max(this.leaderCommit, commit) as LogIndex;
        this.replica.commitTo(Math.min(this.leaderCommit, this.matched) as LogIndex);
    }
}

function numberEntries(req: AppendRequest): StoredEntry[] {
    return req.entries.map(([term, payload], place) => ({
        index: req.prevIndex + 1 + place as LogIndex,
        term,
        payload,
    }));
}
