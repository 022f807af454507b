import PQueue from "p-queue";
import { StoreId, Term } from "../../ids/index.js";
import { LogStore, Vote } from "../../store/index.js";

/**
 * A replica's current term and its vote in that term. Both change in memory first, so that no concurrent step uses
 * outdated values, and must be synced before any reply that depends on them: a vote forgotten in a restart could be
 * given twice, which would elect two leaders in one term.
 *
 * @example
 * const granted = votingState.grantVote(candidate);
 * await votingState.persist();
 */
export class VotingState {
    private readonly writer = new PQueue({ concurrency: 1 });
    private current: Vote;

    /**
     * @param store - Persists the vote.
     * @param lastTerm - Term of the log's last entry, which may be synced before the vote file contains that term.
     */
    constructor(private readonly store: LogStore, lastTerm: Term) {
        const { vote } = store;
        this.current = vote.term >= lastTerm ? vote : { term: lastTerm, votedFor: undefined };
    }

    get term(): Term {
        return this.current.term;
    }

    /** Advances to a higher term, in which no vote has been given yet. */
    advanceTerm(term: Term): void {
        this.current = { term, votedFor: undefined };
    }

    /** Grants the vote if none was given in this term or it was given to the same candidate. */
    grantVote(candidate: StoreId): boolean {
        const { term, votedFor } = this.current;
        if (votedFor !== undefined && votedFor !== candidate) return false;
        this.current = { term, votedFor: candidate };
        return true;
    }

    /**
     * Writes the current term and vote to disk.
     *
     * @throws StoreError
     */
    async persist(): Promise<void> {
        await this.writer.add(async () => {
            const { vote: stored } = this.store;
            const latest = this.current;
            if (stored.term === latest.term && stored.votedFor === latest.votedFor) return;
            await this.store.saveVote(latest);
        });
    }

    /** Waits for pending writes. */
    async close(): Promise<void> {
        await this.writer.onIdle();
    }
}
