import PQueue from "p-queue";
import { StoreId, Term } from "../../ids/index.js";
import { LogStore, Vote } from "../../store/index.js";

/**
 * A replica's term and its vote in it. Both change in memory first, so that no step in between acts on old values, and must be
 * synced before any answer that rests on them: a vote that is forgotten in a restart could be given twice, and two
 * leaders elected in one term.
 *
 * @example
 * const granted = ballot.give(candidate);
 * await ballot.persist();
 */
export class Ballot {
    private readonly writer = new PQueue({ concurrency: 1 });
    private current: Vote;

    /**
     * @param store - Keeps the vote.
     * @param lastTerm - The term of the log's last entry, which may be synced before the vote file has that term.
     */
    constructor(private readonly store: LogStore, lastTerm: Term) {
        const { vote } = store;
        this.current = vote.term >= lastTerm ? vote : { term: lastTerm, votedFor: undefined };
    }

    get term(): Term {
        return this.current.term;
    }

    /** Goes to a higher term, in which no vote is given yet. */
    adopt(term: Term): void {
        this.current = { term, votedFor: undefined };
    }

    /** Gives the vote, if it is free or given to the same candidate already. */
    give(candidate: StoreId): boolean {
        const { term, votedFor } = this.current;
        if (votedFor !== undefined && votedFor !== candidate) return false;
        this.current = { term, votedFor: candidate };
        return true;
    }

    /**
     * Syncs term and vote as they are now.
     *
     * @throws StoreError
     */
    async persist(): Promise<void> {
        await this.writer.add(async () => {
            const { vote } = this.store;
            const wanted = this.current;
            if (vote.term === wanted.term && vote.votedFor === wanted.votedFor) return;
            await this.store.saveVote(wanted);
        });
    }

    /** Waits for the writes under way. */
    async close(): Promise<void> {
        await this.writer.onIdle();
    }
}
