import { Either, Left, Right } from "purify-ts";
import { LogIndex, StoreId, Term } from "../../ids/index.js";
import { Lifecycle } from "../../lifecycle/index.js";
import { Address, formatAddress } from "../../ports/index.js";
import { StoredEntry } from "../../store/index.js";
import { ProposeError } from "../controlLog/index.js";
import { leaderLeaseMs } from "../logTiming/index.js";
import { Configuration, isVoter, reachedByMajority } from "../member/index.js";
import { PeerLinks } from "../peerLinks/index.js";
import { Replica } from "../replica/index.js";
import { Replicator } from "../replicator/index.js";

type ProposeResult = Either<ProposeError, unknown>;

const MOST_PROPOSALS = 20_000;

/**
 * One replica's time as leader, in one term: replicates, commits, and holds the lease.
 *
 * @example
 * const leadership = new Leadership(replica, links, onLease);
 * leadership.start();
 */
export class Leadership {
    readonly term: Term;
    private readonly lifecycle = new Lifecycle();
    private readonly replicators = new Map<StoreId, Replicator>();
    private readonly proposals = new Map<LogIndex, (result: ProposeResult) => void>();
    /** When it began, as `Clock.elapsed` counts. */
    readonly startedAt: number;
    private firstIndex = 0 as LogIndex;
    private hasEnded = false;

    /**
     * @param replica - Leads already.
     * @param links - To the other members.
     * @param onLease - Told each time the lease may have been won or renewed.
     */
    constructor(
        private readonly replica: Replica,
        private readonly links: PeerLinks,
        private readonly onLease: () => void,
    ) {
        this.term = replica.term;
        this.startedAt = replica.clock.elapsed();
    }

    /** Appends the entry that opens the term: entries of earlier terms are committed only through one of its own. */
    start(): void {
        // The replicators start first: they begin behind the last entry, which the others are likely to have.
        this.matchReplicators();
        this.firstIndex = this.replica.appendOwn({ kind: "term-start" }).index;
        this.wakeReplicators();
        this.lifecycle.run(signal => this.watchQuorum(signal), err => this.replica.fail(err as Error));
    }

    /** True once the term's first entry, and so all entries committed before it, are applied here. */
    get isEstablished(): boolean {
        return this.firstIndex > 0 && this.replica.appliedIndex >= this.firstIndex;
    }

    /** Until when, as `Clock.elapsed` counts, a majority has promised to elect no other leader. */
    leaseUntil(): number {
        return this.quorumContactAt() + leaderLeaseMs(this.replica.timing);
    }

    /** Appends a command and waits until it is committed and applied. */
    propose(command: unknown): Promise<ProposeResult> {
        const { replica } = this;
        if (this.proposals.size >= MOST_PROPOSALS) {
            return Promise.resolve(Left(new ProposeError("busy", false, replica.host)));
        }
        const { index } = replica.appendOwn({ kind: "command", command, at: replica.clock.now() });
        this.wakeReplicators();
        return new Promise(resolve => this.proposals.set(index, resolve));
    }

    /** Changes the members, if no other change is under way. */
    changeMembers(configuration: Configuration): boolean {
        if (!this.mayChangeMembers()) return false;
        this.replica.appendOwn({ kind: "members", configuration });
        this.matchReplicators();
        this.wakeReplicators();
        return true;
    }

    /**
     * True when the members may be changed: the last change is committed, and so is an entry of this term.
     *
     * Guards against two majorities without a common voter: lists that differ by one member always share one, lists two
     * changes apart need not. Without an entry of its own term, a leader could build on a change that an earlier leader
     * never committed and that a later one takes back.
     */
    mayChangeMembers(): boolean {
        return this.isEstablished && this.replica.configurationIndex <= this.replica.commitIndex;
    }

    replicatorOf(storeId: StoreId): Replicator | undefined {
        return this.replicators.get(storeId);
    }

    /** Tells the proposer the result of an applied entry. */
    settle(entry: StoredEntry, result: unknown): void {
        const resolve = this.proposals.get(entry.index);
        this.proposals.delete(entry.index);
        resolve?.(Right(result));
    }

    /**
     * Commits what a majority of the voters has synced. Only an entry of this term is counted: one of an earlier term may sit
     * on a majority and still be overwritten by a leader elected without it.
     */
    advanceCommit(): void {
        const { replica } = this;
        if (this.hasEnded) return;
        const index = reachedByMajority(replica.configuration, voter => this.matchOf(voter.storeId)) as LogIndex;
        if (index <= replica.commitIndex || replica.log.termAt(index) !== this.term) return;
        const before = replica.commitIndex;
        replica.commitTo(index);
        if (replica.commitIndex > before) this.afterCommit();
    }

    /** Ends it: what waits may or may not be committed by the next leader. */
    async close(): Promise<void> {
        if (this.hasEnded) return;
        this.hasEnded = true;
        for (const resolve of this.proposals.values()) resolve(Left(new ProposeError("lost", true, undefined)));
        this.proposals.clear();
        const closing = [...this.replicators.values()].map(replicator => replicator.close());
        await Promise.all([...closing, this.lifecycle.close()]);
    }

    /** A leader that was removed steps down once its removal is committed. */
    private afterCommit(): void {
        const { replica } = this;
        const isSettled = replica.configurationIndex <= replica.commitIndex;
        if (isSettled && !isVoter(replica.configuration, replica.storeId)) {
            replica.stepDown();
            return;
        }
        this.onLease();
    }

    private matchOf(storeId: StoreId): LogIndex {
        if (storeId === this.replica.storeId) return this.replica.log.durableIndex;
        return this.replicators.get(storeId)?.matchIndex ?? 0 as LogIndex;
    }

    private quorumContactAt(): number {
        const { replica } = this;
        const now = replica.clock.elapsed();
        return reachedByMajority(replica.configuration, ({ storeId }) => {
            return storeId === replica.storeId ? now : this.replicators.get(storeId)?.contactAt ?? 0;
        });
    }

    /**
     * Check-quorum: a leader that a majority no longer hears steps down, so that it does not take proposals for nothing.
     *
     * Guards against an election for nothing after a jump of the wall clock: it looks like sleep, which ends the lease at once, and all contacts seem
     * too old. The leader has a lease's time from the jump on to be heard again; if it really slept and another leads, it is told so.
     */
    private async watchQuorum(signal: AbortSignal): Promise<void> {
        const { clock, timing } = this.replica;
        let sleptMs = clock.elapsed() - clock.monotonic();
        let wokeAt = this.startedAt;
        while (!signal.aborted) {
            await clock.sleep(timing.heartbeatMs, signal);
            if (clock.elapsed() - clock.monotonic() - sleptMs >= timing.heartbeatMs) {
                sleptMs = clock.elapsed() - clock.monotonic();
                wokeAt = clock.elapsed();
            }
            const heardAt = Math.max(wokeAt, this.quorumContactAt());
            if (!signal.aborted && clock.elapsed() - heardAt > timing.leaseMs) this.replica.stepDown();
        }
    }

    private matchReplicators(): void {
        const { replica } = this;
        const others = replica.configuration.members.filter(member => member.storeId !== replica.storeId);
        for (const [storeId, replicator] of this.replicators) {
            const { address } = replicator.member;
            if (others.some(member => member.storeId === storeId && isSameAddress(member.address, address))) continue;
            this.replicators.delete(storeId);
            void replicator.close();
        }
        for (const member of others) {
            if (this.replicators.has(member.storeId)) continue;
            const replicator = new Replicator(member, replica, this.links, {
                onMatch: () => this.advanceCommit(),
                onContact: () => this.onLease(),
            });
            this.replicators.set(member.storeId, replicator);
            replicator.start();
        }
    }

    private wakeReplicators(): void {
        for (const replicator of this.replicators.values()) replicator.wake();
    }
}

function isSameAddress(one: Address, other: Address): boolean {
    return formatAddress(one) === formatAddress(other);
}
