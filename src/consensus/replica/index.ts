import { ClusterId, HostId, LogIndex, StoreId, Term } from "../../ids/index.js";
import { WaitCondition } from "../../lifecycle/index.js";
import { Logger } from "../../logging/index.js";
import { Clock } from "../../ports/index.js";
import { LogStore, StoredEntry, StoreError } from "../../store/index.js";
import { Applier } from "../applier/index.js";
import { EntryLog } from "../entryLog/index.js";
import { decodePayload, encodePayload, EntryPayload } from "../entryPayload/index.js";
import { LogTiming } from "../logTiming/index.js";
import { Configuration, isVoter } from "../member/index.js";
import { MemberHistory } from "../memberHistory/index.js";
import { LeaderMessage, MemberMessage } from "../message/index.js";
import { ReportedSilences } from "../reportedSilences/index.js";
import { StateMachine } from "../stateMachine/index.js";
import { VotingState } from "../votingState/index.js";

/** Options of a replica. */
export interface ReplicaOptions {
    readonly host: HostId;
    readonly store: LogStore;
    readonly stateMachine: StateMachine;
    readonly clock: Clock;
    readonly timing: LogTiming;
    readonly logger: Logger;
    readonly events: ReplicaEvents;
}

/** Callbacks for the events of a replica. */
export interface ReplicaEvents {
    /** Called after entries were synced to the local disk. */
    onDurable(): void;
    /** Called after a committed entry was applied to the local state machine. */
    onApplied(entry: StoredEntry, result: unknown): void;
    /** Called when the replica stops leading. */
    onStepDown(): void;
    /** Called when the replica has failed permanently. */
    onFailure(err: Error): void;
}

/** Host and data folder of the leader. */
export interface LeaderIdentity {
    readonly host: HostId;
    readonly storeId: StoreId;
}

/** Time after a full disk during which a replica does not campaign for leadership. */
const FULL_DISK_PAUSE_MS = 5_000;
const EMPTY_CONFIGURATION: Configuration = { members: [], retired: [] };

/**
 * State of one replica: term, vote, log, members, commit and apply indices, and the promise to its leader. The
 * election, leadership and follower tasks read it and change it through its methods, each in one synchronous step.
 */
export class Replica {
    readonly log: EntryLog;
    readonly host: HostId;
    readonly clock: Clock;
    readonly timing: LogTiming;
    readonly store: LogStore;
    readonly logger: Logger;
    /** Notified at each change of role, term or configuration. */
    readonly changed = new WaitCondition();
    /** Members that are known to be silent; a later leader starts from it. */
    readonly silences: ReportedSilences;
    private readonly options: ReplicaOptions;
    private readonly votingState: VotingState;
    private readonly configurations: MemberHistory;
    private hasLeadership = false;
    private knownLeader: LeaderIdentity | undefined;
    /**
     * Monotonic time until which this replica is bound by its promise to a leader. Covers only promises made since the
     * process started.
     */
    private leaderPromiseUntil = Number.NEGATIVE_INFINITY;
    private promisedLeader: StoreId | undefined;
    /** Time (`Clock.monotonicWithSuspend`) of the last message from a leader. */
    private leaderHeardAt: number;
    /** Monotonic time until which this replica may be bound by a promise from before its restart. */
    private restartPauseUntil: number;
    private diskFullUntil = Number.NEGATIVE_INFINITY;
    private readonly applier: Applier;
    private committedIndex: LogIndex;
    private hasFailed = false;

    constructor(options: ReplicaOptions) {
        const { store, clock, timing } = options;
        this.options = options;
        this.host = options.host;
        this.clock = clock;
        this.timing = timing;
        this.store = store;
        this.logger = options.logger;
        this.silences = new ReportedSilences(clock);
        this.log = new EntryLog(store, {
            onDurable: () => options.events.onDurable(),
            onStoreError: err => this.handleStoreError(err),
        });
        this.votingState = new VotingState(store, this.log.lastTerm);
        // Promises are lost in a restart. Without this pause, a replica that restarts quickly could help to elect a
        // second leader while the first still relies on the promise, which would create two simultaneous lease holders.
        this.restartPauseUntil = clock.monotonic() + timing.leaseMs;
        this.leaderHeardAt = clock.monotonicWithSuspend();
        this.committedIndex = store.snapshot?.index ?? 0 as LogIndex;
        this.applier = new Applier(options.stateMachine, options.logger, this.committedIndex);
        const members = store.snapshot ? store.snapshot.configuration : store.identity.founding;
        const base = members as Configuration | undefined ?? EMPTY_CONFIGURATION;
        this.configurations = new MemberHistory(this.committedIndex, base, () => this.changed.notifyAll());
        const state = store.takeLoadedSnapshotState();
        if (state) this.applier.restore(this.committedIndex, state);
        const laterEntries = this.log.slice(this.committedIndex + 1 as LogIndex, Number.POSITIVE_INFINITY);
        for (const entry of laterEntries) this.recordConfiguration(entry);
    }

    get storeId(): StoreId {
        return this.store.identity.storeId;
    }

    get cluster(): ClusterId | undefined {
        return this.store.identity.cluster;
    }

    get term(): Term {
        return this.votingState.term;
    }

    get isLeader(): boolean {
        return this.hasLeadership;
    }

    get leader(): LeaderIdentity | undefined {
        return this.knownLeader;
    }

    /** Monotonic time until which this replica refuses to help elect another leader. */
    get promisedUntil(): number {
        return Math.max(this.leaderPromiseUntil, this.restartPauseUntil);
    }

    /**
     * Time without a message from a leader, in milliseconds, since the process started. Includes the time for which the machine was
     * suspended.
     */
    get leaderSilenceMs(): number {
        return this.clock.monotonicWithSuspend() - this.leaderHeardAt;
    }

    /** Whether a leader may still rely on a promise from before the restart. */
    get isInRestartPause(): boolean {
        return this.clock.monotonic() < this.restartPauseUntil;
    }

    /**
     * Ends the restart pause, because no leader relies on a promise from before the restart. Promises made since remain
     * in effect.
     */
    endRestartPause(): void {
        this.restartPauseUntil = Number.NEGATIVE_INFINITY;
        this.logger.info("restart-pause-ended", { term: this.term });
        this.changed.notifyAll();
    }

    get commitIndex(): LogIndex {
        return this.committedIndex;
    }

    get appliedIndex(): LogIndex {
        return this.applier.appliedIndex;
    }

    /** Configuration of the newest entry, committed or not. */
    get configuration(): Configuration {
        return this.configurations.newest;
    }

    /** Configuration before the newest change. */
    get previousConfiguration(): Configuration | undefined {
        return this.configurations.previous;
    }

    /** Index of the entry that contains the newest configuration. */
    get configurationIndex(): LogIndex {
        return this.configurations.newestIndex;
    }

    /** Returns the configuration at an index that is applied. */
    configurationAt(index: LogIndex): Configuration {
        return this.configurations.at(index);
    }

    /**
     * Returns whether this replica may campaign for leadership: it is a voter, not bound by a promise, and its disk
     * accepts writes.
     */
    mayCampaign(): boolean {
        return !this.isDiskFull && this.mayVote() && isVoter(this.configuration, this.storeId);
    }

    /** Returns whether this replica may vote, because no leader relies on its promise. */
    mayVote(): boolean {
        return !this.hasLeadership && this.clock.monotonic() >= this.promisedUntil;
    }

    /**
     * Returns whether this replica may vote for a candidate, because no other leader relies on its promise.
     *
     * Prevents seconds without a leader: a newly elected leader may be unseated by a candidate that started before it
     * received the leader's messages. If a promise blocked all candidates, every replica that made one to the new
     * leader would refuse every candidate, including that leader. A promise therefore blocks only other candidates.
     *
     * @param releasedBy - The leader that has handed over to the candidate, if any. It has stepped down, so it relies on no promise.
     */
    mayVoteFor(candidate: StoreId, releasedBy?: StoreId): boolean {
        const isFree = this.promisedLeader === candidate || this.isPromisedTo(releasedBy);
        return this.mayVote() || (!this.hasLeadership && !this.isInRestartPause && isFree);
    }

    /**
     * Returns whether this replica may campaign at once because its leader has handed over to it.
     *
     * @param leader - The leader that has stepped down.
     */
    mayTakeOver(leader: StoreId): boolean {
        return this.isPromisedTo(leader) && !this.hasLeadership && !this.isInRestartPause && !this.isDiskFull
            && isVoter(this.configuration, this.storeId);
    }

    private isPromisedTo(leader: StoreId | undefined): boolean {
        return leader !== undefined && this.promisedLeader === leader;
    }

    private get isDiskFull(): boolean {
        return this.clock.monotonic() < this.diskFullUntil;
    }

    /** Binds the replica to its cluster, once. */
    async joinCluster(cluster: ClusterId, initialConfiguration: Configuration): Promise<void> {
        await this.store.saveIdentity(cluster, initialConfiguration);
        this.configurations.rebase(0 as LogIndex, initialConfiguration, true);
    }

    /**
     * Checks that a message is for this data folder and from this cluster.
     *
     * @throws Error when it is not, which the sender receives as a failed call.
     */
    checkAddressee(message: MemberMessage): void {
        if (this.hasFailed) throw new Error("this replica has failed");
        if (message.to !== this.storeId) throw new Error("the message is for another data folder");
        if (message.cluster !== this.cluster) throw new Error("the message is from another cluster");
    }

    /**
     * Adopts a higher term, in which no vote has been given yet. Replies that depend on it must await `persistVote`.
     */
    adoptTerm(term: Term): void {
        if (term <= this.term) return;
        this.votingState.advanceTerm(term);
        this.knownLeader = undefined;
        this.stepDown();
        this.changed.notifyAll();
    }

    /** Starts a new term as a candidate, with a persisted vote for itself. */
    async startElectionTerm(): Promise<Term> {
        const term = this.term + 1 as Term;
        this.adoptTerm(term);
        this.votingState.grantVote(this.storeId);
        await this.persistVote();
        return term;
    }

    /** Grants the vote of the current term if none was given or it was given to the same candidate. */
    grantVote(candidate: StoreId): boolean {
        return this.votingState.grantVote(candidate);
    }

    /** Writes term and vote to disk. Must be awaited before a reply that depends on them. */
    async persistVote(): Promise<void> {
        try {
            await this.votingState.persist();
        }
        catch (err) {
            this.handleStoreError(err as StoreError);
            throw err;
        }
    }

    /**
     * Records a message from a leader and renews the promise to it.
     *
     * @returns False when the leader's term is outdated.
     */
    followLeader(message: LeaderMessage): boolean {
        if (message.term < this.term) return false;
        this.adoptTerm(message.term);
        if (this.hasLeadership) throw new Error(`two leaders in term ${message.term}`);
        if (this.knownLeader?.storeId !== message.from) {
            this.knownLeader = { host: message.host, storeId: message.from };
            this.changed.notifyAll();
        }
        this.promiseTo(message.from);
        this.leaderHeardAt = this.clock.monotonicWithSuspend();
        return true;
    }

    /** Becomes the leader of the current term, in which it has won the election. */
    becomeLeader(): void {
        this.hasLeadership = true;
        this.knownLeader = { host: this.host, storeId: this.storeId };
        this.changed.notifyAll();
    }

    /** Stops leading in favour of a voter. */
    handOverTo(successor: StoreId): void {
        this.stepDown();
        this.promiseTo(successor);
    }

    /** Helps to elect no other leader for a lease. */
    private promiseTo(leader: StoreId): void {
        this.leaderPromiseUntil = Math.max(this.leaderPromiseUntil, this.clock.monotonic() + this.timing.leaseMs);
        this.promisedLeader = leader;
    }

    /** Stops leading. Has no effect on a replica that does not lead. */
    stepDown(): void {
        if (!this.hasLeadership) return;
        this.hasLeadership = false;
        this.knownLeader = undefined;
        this.options.events.onStepDown();
        this.changed.notifyAll();
    }

    /** Appends a new entry as the leader. */
    appendAsLeader(payload: EntryPayload): StoredEntry {
        const index = this.log.lastIndex + 1 as LogIndex;
        const version = payload.kind === "command"
            ? this.options.stateMachine.entryVersionOf(payload.command)
            : undefined;
        const entry: StoredEntry = { index, term: this.term, payload: encodePayload(payload, version) };
        this.log.append([entry]);
        if (payload.kind === "members") this.configurations.push(index, payload.configuration);
        return entry;
    }

    /** Appends the leader's entries and removes conflicting ones. */
    appendFromLeader(entries: readonly StoredEntry[]): void {
        const firstNew = entries.findIndex(entry => !this.hasEntry(entry));
        if (firstNew < 0) return;
        const fresh = entries.slice(firstNew);
        if (fresh[0].index <= this.log.lastIndex) this.truncateFrom(fresh[0].index);
        this.log.append(fresh);
        this.failOnError(() => fresh.forEach(entry => this.recordConfiguration(entry)));
    }

    /** Commits and applies entries up to an index, limited to those synced to the local disk. */
    commitTo(index: LogIndex): void {
        const reachable = Math.min(index, this.log.durableIndex) as LogIndex;
        if (reachable <= this.committedIndex || this.hasFailed) return;
        this.committedIndex = reachable;
        this.failOnError(() => this.applyCommitted());
    }

    /** Replaces the state, and the log where it does not match, with an already synced snapshot from the leader. */
    restoreSnapshot(index: LogIndex, term: Term, configuration: Configuration, state: Uint8Array): void {
        if (index <= this.committedIndex) return;
        this.applier.restore(index, state);
        this.committedIndex = index;
        const keepLog = this.log.termAt(index) === term && this.log.durableIndex >= index;
        if (!keepLog) this.log.resetToSnapshot(index, term);
        this.configurations.rebase(index, configuration, keepLog);
    }

    /** State machine to which this replica applies committed entries. */
    get stateMachine(): StateMachine {
        return this.options.stateMachine;
    }

    /** Ends the replica, which can't continue safely. */
    fail(err: Error): void {
        if (this.hasFailed) return;
        this.hasFailed = true;
        this.logger.error("control-log-failed", { error: err.message });
        this.options.events.onFailure(err);
    }

    private applyCommitted(): void {
        while (this.appliedIndex < this.committedIndex) {
            const entry = this.log.entryAt(this.appliedIndex + 1 as LogIndex)!;
            const result = this.applier.apply(entry);
            this.options.events.onApplied(entry, result);
        }
    }

    /**
     * Runs a function and ends the replica if it throws. An entry that requires a newer version thus ends the replica
     * before any later entry is applied.
     */
    private failOnError(work: () => void): void {
        try {
            work();
        }
        catch (err) {
            this.fail(err as Error);
        }
    }

    private hasEntry(entry: StoredEntry): boolean {
        return entry.index <= this.committedIndex || this.log.termAt(entry.index) === entry.term;
    }

    private truncateFrom(index: LogIndex): void {
        this.log.truncateFrom(index);
        this.configurations.truncateFrom(index);
    }

    private recordConfiguration(entry: StoredEntry): void {
        const payload = decodePayload(entry.payload);
        if (payload.kind === "members") this.configurations.push(entry.index, payload.configuration);
    }

    /**
     * Handles a disk failure. With a full disk, the replica stops leading, so that one with free space takes over. It
     * continues as a follower and retries each further write; it never acknowledged the entries that the disk did not
     * accept. It campaigns again after a pause, since all disks may have been full at the same time. Any other failure
     * ends the replica.
     */
    handleStoreError(err: StoreError): void {
        if (err.reason !== "full") {
            this.fail(err);
            return;
        }
        const now = this.clock.monotonic();
        if (now >= this.diskFullUntil) this.logger.error("disk-full", { error: err.message });
        this.diskFullUntil = now + FULL_DISK_PAUSE_MS;
        this.configurations.truncateFrom(this.log.lastIndex + 1 as LogIndex);
        this.stepDown();
    }

    /** Waits for pending writes and releases the data folder. */
    async close(): Promise<void> {
        await this.log.close();
        await this.votingState.close();
        await this.store.close();
    }
}
