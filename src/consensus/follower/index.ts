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
 * Handles requests from candidates and from the leader.
 *
 * @example
 * router.add(RpcMethod.Vote, body => follower.handleVote(body as VoteRequest));
 */
export class Follower {
    /** Last index up to which the log is known to match the leader's, in `matchedTerm`. */
    private matchedIndex = 0 as LogIndex;
    private matchedTerm = 0 as Term;
    private leaderCommit = 0 as LogIndex;

    constructor(private readonly replica: Replica) {}

    /**
     * Grants or refuses a vote.
     *
     * Protects the lease: a replica that received a message from its leader within `leaseMs` neither votes nor adopts
     * the candidate's term, so no other leader can be elected while the current one relies on a majority of such
     * promises. This also prevents a host that was cut off from returning with a high term and unseating a working
     * leader.
     */
    async handleVote(req: VoteRequest): Promise<VoteReply> {
        const { replica } = this;
        replica.checkAddressee(req);
        if (!replica.mayVoteFor(req.from, req.releasedBy) || req.term < replica.term) {
            return { term: replica.term, granted: false };
        }
        if (req.pre) return { term: replica.term, granted: req.term > replica.term && this.isUpToDate(req) };
        replica.adoptTerm(req.term);
        const granted = this.isUpToDate(req) && replica.grantVote(req.from);
        await replica.persistVote();
        return { term: replica.term, granted };
    }

    /**
     * Handles a heartbeat. Replies immediately even while the disk is slow, since the lease depends on the promise,
     * which is not stored on disk.
     */
    handleHeartbeat(req: HeartbeatRequest): HeartbeatReply {
        const { replica } = this;
        replica.checkAddressee(req);
        if (!replica.followLeader(req)) return { term: replica.term, ok: false };
        replica.silences.recordHeartbeat(req.from, req.silences);
        this.advanceCommit(req.term, req.commit);
        return { term: replica.term, ok: true };
    }

    /** Appends the leader's entries and replies once they are synced. */
    async handleAppend(req: AppendRequest): Promise<AppendReply> {
        const { replica } = this;
        replica.checkAddressee(req);
        if (!replica.followLeader(req)) return this.reject(replica.log.lastIndex);
        if (req.prevIndex > replica.log.lastIndex) return this.reject(replica.log.lastIndex);
        const isCommitted = req.prevIndex <= replica.commitIndex;
        if (!isCommitted && replica.log.termAt(req.prevIndex) !== req.prevTerm) return this.reject(replica.commitIndex);
        replica.appendFromLeader(toStoredEntries(req));
        const last = req.prevIndex + req.entries.length as LogIndex;
        await replica.persistVote();
        await replica.log.whenDurable(last);
        if (replica.term !== req.term) return this.reject(replica.commitIndex);
        this.recordMatch(req.term, last);
        this.advanceCommit(req.term, req.commit);
        return { term: replica.term, ok: true, lastIndex: last };
    }

    /** Commits entries that the leader has committed and that have since been synced to the local disk. */
    commitDurable(): void {
        if (this.replica.term === this.matchedTerm) this.advanceCommit(this.matchedTerm, this.leaderCommit);
    }

    private reject(lastIndex: LogIndex): AppendReply {
        return { term: this.replica.term, ok: false, lastIndex };
    }

    /** Returns whether the candidate's log contains every entry that this replica may have acknowledged. */
    private isUpToDate(req: VoteRequest): boolean {
        const { log } = this.replica;
        if (req.lastTerm !== log.lastTerm) return req.lastTerm > log.lastTerm;
        return req.lastIndex >= log.lastIndex;
    }

    private recordMatch(term: Term, index: LogIndex): void {
        if (term !== this.matchedTerm) {
            this.matchedTerm = term;
            this.matchedIndex = 0 as LogIndex;
            this.leaderCommit = 0 as LogIndex;
        }
        this.matchedIndex = Math.max(this.matchedIndex, index) as LogIndex;
    }

    private advanceCommit(term: Term, commit: LogIndex): void {
        this.recordMatch(term, 0 as LogIndex);
        this.leaderCommit = Math.max(this.leaderCommit, commit) as LogIndex;
        this.replica.commitTo(Math.min(this.leaderCommit, this.matchedIndex) as LogIndex);
    }
}

function toStoredEntries(req: AppendRequest): StoredEntry[] {
    return req.entries.map(([term, payload], offset) => ({
        index: req.prevIndex + 1 + offset as LogIndex,
        term,
        payload,
    }));
}
