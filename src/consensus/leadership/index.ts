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
import { SilenceReport } from "../reportedSilences/index.js";

type ProposeResult = Either<ProposeError, unknown>;

const MAX_PENDING_PROPOSALS = 20_000;
/** A shorter silence is not reported to followers, in heartbeat intervals: one answer may be late. */
const MIN_REPORTED_GAPS = 2;

/**
 * One replica's leadership of one term: replicates and commits entries and holds the lease.
 *
 * @example
 * const leadership = new Leadership(replica, links, onLeaseExtended);
 * leadership.start();
 */
export class Leadership {
    readonly term: Term;
    private readonly lifecycle = new Lifecycle();
    private readonly replicators = new Map<StoreId, Replicator>();
    private readonly pendingProposals = new Map<LogIndex, (result: ProposeResult) => void>();
    /** Start of the leadership (`Clock.monotonicWithSuspend`). */
    private readonly startedAt: number;
    private termStartIndex = 0 as LogIndex;
    private isPaused = false;
    private hasEnded = false;

    /**
     * @param replica - Replica that already leads.
     * @param links - Links to the other members.
     * @param onLeaseExtended - Called each time the lease may have been acquired or renewed.
     */
    constructor(
        private readonly replica: Replica,
        private readonly links: PeerLinks,
        private readonly onLeaseExtended: () => void,
    ) {
        this.term = replica.term;
        this.startedAt = replica.clock.monotonicWithSuspend();
    }

    /**
     * Appends the first entry of the term: entries of earlier terms are committed only through one of the current term.
     */
    start(): void {
        // The replicators start before the entry is appended, so they begin after the previous last entry, which the
        // peers are likely to have.
        this.reconcileReplicators();
        this.termStartIndex = this.replica.appendAsLeader({ kind: "term-start" }).index;
        this.wakeReplicators();
        this.lifecycle.run(signal => this.monitorQuorum(signal), err => this.replica.fail(err as Error));
    }

    /** Whether the term's first entry, and thus all entries committed before it, are applied on this replica. */
    get isEstablished(): boolean {
        return this.termStartIndex > 0 && this.replica.appliedIndex >= this.termStartIndex;
    }

    /** Returns the time (`Clock.monotonicWithSuspend`) until which a majority has promised to elect no other leader. */
    leaseUntil(): number {
        return this.quorumContactAt() + leaderLeaseMs(this.replica.timing);
    }

    /** Refuses proposals as `busy` from now on, before the leadership is handed over. */
    pauseProposals(): void {
        this.isPaused = true;
    }

    /** Accepts proposals again. */
    resumeProposals(): void {
        this.isPaused = false;
    }

    /** Appends a command and waits until it is committed and applied. */
    propose(command: unknown): Promise<ProposeResult> {
        const { replica } = this;
        if (this.isPaused || this.pendingProposals.size >= MAX_PENDING_PROPOSALS) {
            return Promise.resolve(Left(new ProposeError("busy", false, replica.host)));
        }
        const { index } = replica.appendAsLeader({ kind: "command", command, at: replica.clock.now() });
        this.wakeReplicators();
        return new Promise(resolve => this.pendingProposals.set(index, resolve));
    }

    /** Changes the configuration. Returns false when another change is pending. */
    changeMembers(configuration: Configuration): boolean {
        if (!this.mayChangeMembers()) return false;
        const version = (this.replica.configuration.version ?? 0) + 1;
        this.replica.appendAsLeader({ kind: "members", configuration: { ...configuration, version } });
        this.reconcileReplicators();
        this.wakeReplicators();
        return true;
    }

    /**
     * Returns whether the configuration may be changed: the last change and an entry of this term are committed.
     *
     * Prevents two majorities without a common voter: configurations that differ by one member always share one, but
     * those two changes apart need not. Without an entry of its own term, a leader could build on a change that an
     * earlier leader never committed and that a later leader removes.
     */
    mayChangeMembers(): boolean {
        return this.isEstablished && this.replica.configurationIndex <= this.replica.commitIndex;
    }

    replicatorOf(storeId: StoreId): Replicator | undefined {
        return this.replicators.get(storeId);
    }

    /** Returns whether a member has answered within the last lease. */
    isInContact(storeId: StoreId): boolean {
        const contactAt = this.replicators.get(storeId)?.contactAt ?? Number.NEGATIVE_INFINITY;
        return this.replica.clock.monotonicWithSuspend() - contactAt < this.replica.timing.leaseMs;
    }

    /** Resolves the proposal of an applied entry with its result. */
    resolveProposal(entry: StoredEntry, result: unknown): void {
        const resolve = this.pendingProposals.get(entry.index);
        this.pendingProposals.delete(entry.index);
        resolve?.(Right(result));
    }

    /**
     * Commits entries that a majority of the voters has synced. Counts only entries of this term: one of an earlier
     * term may be on a majority and still be overwritten by a leader elected without it.
     */
    advanceCommit(): void {
        const { replica } = this;
        if (this.hasEnded) return;
        const index = reachedByMajority(replica.configuration, voter => this.matchIndexOf(voter.storeId)) as LogIndex;
        if (index <= replica.commitIndex || replica.log.termAt(index) !== this.term) return;
        const before = replica.commitIndex;
        replica.commitTo(index);
        if (replica.commitIndex > before) this.onCommitAdvanced();
    }

    /** Ends the leadership. Pending proposals fail as `lost`, since the next leader may or may not commit them. */
    async close(): Promise<void> {
        if (this.hasEnded) return;
        this.hasEnded = true;
        for (const resolve of this.pendingProposals.values()) resolve(Left(new ProposeError("lost", true, undefined)));
        this.pendingProposals.clear();
        const closing = [...this.replicators.values()].map(replicator => replicator.close());
        await Promise.all([...closing, this.lifecycle.close()]);
    }

    /**
     * Called when the commit index has advanced. A leader that was removed steps down once its removal is committed.
     */
    private onCommitAdvanced(): void {
        const { replica } = this;
        const isSettled = replica.configurationIndex <= replica.commitIndex;
        if (isSettled && !isVoter(replica.configuration, replica.storeId)) {
            replica.stepDown();
            return;
        }
        this.onLeaseExtended();
    }

    private matchIndexOf(storeId: StoreId): LogIndex {
        if (storeId === this.replica.storeId) return this.replica.log.durableIndex;
        return this.replicators.get(storeId)?.matchIndex ?? 0 as LogIndex;
    }

    private quorumContactAt(): number {
        const { replica } = this;
        const now = replica.clock.monotonicWithSuspend();
        return reachedByMajority(replica.configuration, ({ storeId }) => {
            return storeId === replica.storeId ? now : this.replicators.get(storeId)?.contactAt ?? 0;
        });
    }

    /**
     * Steps down when a majority has not replied for a lease (check-quorum), so that proposals are not accepted in
     * vain.
     *
     * Prevents an unnecessary election after a jump of the wall clock: it looks like a suspension of the machine, which
     * ends the lease at once and makes all contacts seem too old. The leader has one lease duration from the jump on to
     * regain contact. If the machine really was suspended and another replica leads, the replies say so.
     */
    private async monitorQuorum(signal: AbortSignal): Promise<void> {
        const { clock, timing } = this.replica;
        let suspendedMs = clock.monotonicWithSuspend() - clock.monotonic();
        let resumedAt = this.startedAt;
        while (!signal.aborted) {
            await clock.sleep(timing.heartbeatMs, signal);
            if (clock.monotonicWithSuspend() - clock.monotonic() - suspendedMs >= timing.heartbeatMs) {
                suspendedMs = clock.monotonicWithSuspend() - clock.monotonic();
                resumedAt = clock.monotonicWithSuspend();
            }
            const contactAt = Math.max(resumedAt, this.quorumContactAt());
            if (!signal.aborted && clock.monotonicWithSuspend() - contactAt > timing.leaseMs) this.replica.stepDown();
        }
    }

    private reconcileReplicators(): void {
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
                onContact: () => this.onLeaseExtended(),
                listSilences: () => this.listSilences(),
            });
            this.replicators.set(member.storeId, replicator);
            replicator.start();
        }
    }

    /** Returns the members that have missed more than one heartbeat. */
    private listSilences(): SilenceReport[] {
        const minMs = MIN_REPORTED_GAPS * this.replica.timing.heartbeatMs;
        return [...this.replicators]
            .filter(([, { silence }]) => silence.silentMs >= minMs)
            .map(([storeId, { silence }]) => [storeId, Math.round(silence.silentMs)]);
    }

    private wakeReplicators(): void {
        for (const replicator of this.replicators.values()) replicator.wake();
    }
}

function isSameAddress(one: Address, other: Address): boolean {
    return formatAddress(one) === formatAddress(other);
}
