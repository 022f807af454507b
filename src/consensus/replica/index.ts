import { ClusterId, HostId, LogIndex, StoreId, Term } from "../../ids/index.js";
import { Gate } from "../../lifecycle/index.js";
import { Logger } from "../../logging/index.js";
import { Clock } from "../../ports/index.js";
import { LogStore, StoredEntry, StoreError } from "../../store/index.js";
import { Applier } from "../applier/index.js";
import { Ballot } from "../ballot/index.js";
import { EntryLog } from "../entryLog/index.js";
import { decodePayload, encodePayload, EntryPayload } from "../entryPayload/index.js";
import { LogTiming } from "../logTiming/index.js";
import { Configuration, isVoter } from "../member/index.js";
import { MemberHistory } from "../memberHistory/index.js";
import { LeaderMessage, MemberMessage } from "../message/index.js";
import { StateMachine } from "../stateMachine/index.js";

/** What a replica is made of. */
export interface ReplicaOptions {
    readonly host: HostId;
    readonly store: LogStore;
    readonly stateMachine: StateMachine;
    readonly clock: Clock;
    readonly timing: LogTiming;
    readonly logger: Logger;
    readonly events: ReplicaEvents;
}

/** Told of what happens to a replica. */
export interface ReplicaEvents {
    /** Entries were synced here. */
    onDurable(): void;
    /** A committed entry was applied here. */
    onApplied(entry: StoredEntry, result: unknown): void;
    /** The replica no longer leads. */
    onStepDown(): void;
    /** The replica can't go on. */
    onFailure(err: Error): void;
}

/** Who leads, as far as is known. */
export interface LeaderIdentity {
    readonly host: HostId;
    readonly storeId: StoreId;
}

/** How long a replica leaves leading to others after its disk was full. */
const FULL_DISK_PAUSE_MS = 5_000;
const NO_MEMBERS: Configuration = { members: [], retired: [] };

/**
 * The state of one replica: term, vote, log, members, what is committed and applied, and the promise to its leader. The
 * tasks of election, leadership and following read it and change it through its methods, each in one synchronous step.
 */
export class Replica {
    readonly log: EntryLog;
    readonly host: HostId;
    readonly clock: Clock;
    readonly timing: LogTiming;
    readonly store: LogStore;
    readonly logger: Logger;
    /** Opened at each change of role, term or members. */
    readonly changed = new Gate();
    private readonly options: ReplicaOptions;
    private readonly ballot: Ballot;
    private readonly members: MemberHistory;
    private isLeader = false;
    private knownLeader: LeaderIdentity | undefined;
    /** Until when it is bound to a leader that it has heard in this life, on the monotonic clock. */
    private promised = Number.NEGATIVE_INFINITY;
    private promisedTo: StoreId | undefined;
    /** Until when it is bound to one that it may have heard before its restart. */
    private restartPauseUntil: number;
    private fullUntil = Number.NEGATIVE_INFINITY;
    private readonly applier: Applier;
    private committed: LogIndex;
    private hasFailed = false;

    constructor(options: ReplicaOptions) {
        const { store, clock, timing } = options;
        this.options = options;
        this.host = options.host;
        this.clock = clock;
        this.timing = timing;
        this.store = store;
        this.logger = options.logger;
        this.log = new EntryLog(store, {
            onDurable: () => options.events.onDurable(),
            onStoreError: err => this.takeStoreError(err),
        });
        this.ballot = new Ballot(store, this.log.lastTerm);
        // A promise made before a restart is forgotten with it. Without this pause a replica that restarts quickly could elect
        // a second leader while the first still counts on the promise: two holders at once.
        this.restartPauseUntil = clock.monotonic() + timing.leaseMs;
        this.committed = store.snapshot?.index ?? 0 as LogIndex;
        this.applier = new Applier(options.stateMachine, options.logger, this.committed);
        const members = store.snapshot ? store.snapshot.configuration : store.identity.founding;
        const base = members as Configuration | undefined ?? NO_MEMBERS;
        this.members = new MemberHistory(this.committed, base, () => this.changed.open());
        const state = store.takeSnapshotState();
        if (state) this.applier.restore(this.committed, state);
        const rest = this.log.slice(this.committed + 1 as LogIndex, Number.POSITIVE_INFINITY);
        for (const entry of rest) this.noteConfiguration(entry);
    }

    get storeId(): StoreId {
        return this.store.identity.storeId;
    }

    get cluster(): ClusterId | undefined {
        return this.store.identity.cluster;
    }

    get term(): Term {
        return this.ballot.term;
    }

    get leads(): boolean {
        return this.isLeader;
    }

    get leader(): LeaderIdentity | undefined {
        return this.knownLeader;
    }

    /** Until when, on the monotonic clock, this replica refuses to help elect another leader. */
    get promisedUntil(): number {
        return Math.max(this.promised, this.restartPauseUntil);
    }

    /** True while a leader may count on a promise from before the restart. */
    get isInRestartPause(): boolean {
        return this.clock.monotonic() < this.restartPauseUntil;
    }

    /** Takes note that no leader counts on a promise from before the restart. Promises given since stay. */
    endRestartPause(): void {
        this.restartPauseUntil = Number.NEGATIVE_INFINITY;
        this.logger.info("restart-pause-ended", { term: this.term });
        this.changed.open();
    }

    get commitIndex(): LogIndex {
        return this.committed;
    }

    get appliedIndex(): LogIndex {
        return this.applier.appliedIndex;
    }

    /** The members by the newest entry, committed or not. */
    get configuration(): Configuration {
        return this.members.newest;
    }

    /** The members before the newest change. */
    get previousConfiguration(): Configuration | undefined {
        return this.members.previous;
    }

    /** The index of the entry that the members are taken from. */
    get configurationIndex(): LogIndex {
        return this.members.newestIndex;
    }

    /** The members at an index that is applied. */
    configurationAt(index: LogIndex): Configuration {
        return this.members.at(index);
    }

    /** True when this replica may try to become leader: a voter, not bound by a promise, with a disk that takes writes. */
    mayCampaign(): boolean {
        return this.clock.monotonic() >= this.fullUntil && this.isFree() && isVoter(this.configuration, this.storeId);
    }

    /** True when no leader counts on this replica. */
    isFree(): boolean {
        return !this.isLeader && this.clock.monotonic() >= this.promisedUntil;
    }

    /**
     * True when no leader but the candidate counts on this replica.
     *
     * Guards against seconds without a leader: one that was just elected is unseated by a candidate that had begun before it heard
     * of it, and all who have promised themselves to it would refuse everybody, that one too. A promise keeps others out only.
     */
    isFreeFor(candidate: StoreId): boolean {
        const isPromisedToIt = this.promisedTo === candidate && !this.isInRestartPause;
        return this.isFree() || (!this.isLeader && isPromisedToIt);
    }

    /** Ties the replica to its cluster, once. */
    async joinCluster(cluster: ClusterId, founding: Configuration): Promise<void> {
        await this.store.saveIdentity(cluster, founding);
        this.members.rebase(0 as LogIndex, founding, true);
    }

    /**
     * Makes sure that a message is for this data folder and from this cluster.
     *
     * @throws Error when it is not, which the sender sees as a failed call.
     */
    checkAddressee(message: MemberMessage): void {
        if (this.hasFailed) throw new Error("this replica has failed");
        if (message.to !== this.storeId) throw new Error("the message is for another data folder");
        if (message.cluster !== this.cluster) throw new Error("the message is from another cluster");
    }

    /** Takes over a higher term, in which no vote is given yet. Answers that rest on it must await `persistVote`. */
    adoptTerm(term: Term): void {
        if (term <= this.term) return;
        this.ballot.adopt(term);
        this.knownLeader = undefined;
        this.stepDown();
        this.changed.open();
    }

    /** Starts an election: a term of its own, with its own vote. */
    async startTerm(): Promise<Term> {
        const term = this.term + 1 as Term;
        this.adoptTerm(term);
        this.ballot.give(this.storeId);
        await this.persistVote();
        return term;
    }

    /** Gives the vote of the present term, if it is free or given to the same candidate already. */
    giveVote(candidate: StoreId): boolean {
        return this.ballot.give(candidate);
    }

    /** Syncs term and vote. Must be awaited before an answer that rests on them. */
    async persistVote(): Promise<void> {
        try {
            await this.ballot.persist();
        }
        catch (err) {
            this.takeStoreError(err as StoreError);
            throw err;
        }
    }

    /**
     * Takes note of a message from a leader and renews the promise to it.
     *
     * @returns False when the leader's term is over.
     */
    followLeader(message: LeaderMessage): boolean {
        if (message.term < this.term) return false;
        this.adoptTerm(message.term);
        if (this.isLeader) throw new Error(`two leaders in term ${message.term}`);
        if (this.knownLeader?.storeId !== message.from) {
            this.knownLeader = { host: message.host, storeId: message.from };
            this.changed.open();
        }
        this.promised = Math.max(this.promised, this.clock.monotonic() + this.timing.leaseMs);
        this.promisedTo = message.from;
        return true;
    }

    /** Leads in the present term, which it has won. */
    lead(): void {
        this.isLeader = true;
        this.knownLeader = { host: this.host, storeId: this.storeId };
        this.changed.open();
    }

    /** Ends leading, if it does. */
    stepDown(): void {
        if (!this.isLeader) return;
        this.isLeader = false;
        this.knownLeader = undefined;
        this.options.events.onStepDown();
        this.changed.open();
    }

    /** Appends an entry of its own as the leader. */
    appendOwn(payload: EntryPayload): StoredEntry {
        const index = this.log.lastIndex + 1 as LogIndex;
        const version = payload.kind === "command"
            ? this.options.stateMachine.entryVersionOf(payload.command)
            : undefined;
        const entry: StoredEntry = { index, term: this.term, payload: encodePayload(payload, version) };
        this.log.append([entry]);
        if (payload.kind === "members") this.members.push(index, payload.configuration);
        return entry;
    }

    /** Appends the leader's entries, cutting off what stands in their place. */
    appendFromLeader(entries: readonly StoredEntry[]): void {
        const firstNew = entries.findIndex(entry => !this.hasEntry(entry));
        if (firstNew < 0) return;
        const fresh = entries.slice(firstNew);
        if (fresh[0].index <= this.log.lastIndex) this.truncateFrom(fresh[0].index);
        this.log.append(fresh);
        this.orFail(() => fresh.forEach(entry => this.noteConfiguration(entry)));
    }

    /** Commits and applies up to an index, but no further than what is synced here. */
    commitTo(index: LogIndex): void {
        const reachable = Math.min(index, this.log.durableIndex) as LogIndex;
        if (reachable <= this.committed || this.hasFailed) return;
        this.committed = reachable;
        this.orFail(() => this.applyCommitted());
    }

    /** Takes over a snapshot from the leader, which is synced already, in place of state and log. */
    restoreSnapshot(index: LogIndex, term: Term, configuration: Configuration, state: Uint8Array): void {
        if (index <= this.committed) return;
        this.applier.restore(index, state);
        this.committed = index;
        const keepsLog = this.log.termAt(index) === term && this.log.durableIndex >= index;
        if (!keepsLog) this.log.resetTo(index, term);
        this.members.rebase(index, configuration, keepsLog);
    }

    /** The state machine's state, encoded before anything else can change it. */
    get stateMachine(): StateMachine {
        return this.options.stateMachine;
    }

    /** Ends the replica: it can't go on without doing harm. */
    fail(err: Error): void {
        if (this.hasFailed) return;
        this.hasFailed = true;
        this.logger.error("control-log-failed", { error: err.message });
        this.options.events.onFailure(err);
    }

    private applyCommitted(): void {
        while (this.appliedIndex < this.committed) {
            const entry = this.log.entryAt(this.appliedIndex + 1 as LogIndex)!;
            const result = this.applier.apply(entry);
            this.options.events.onApplied(entry, result);
        }
    }

    /** An entry that needs a newer version ends the replica before anything behind it is applied. */
    private orFail(work: () => void): void {
        try {
            work();
        }
        catch (err) {
            this.fail(err as Error);
        }
    }

    private hasEntry(entry: StoredEntry): boolean {
        return entry.index <= this.committed || this.log.termAt(entry.index) === entry.term;
    }

    private truncateFrom(index: LogIndex): void {
        this.log.truncateFrom(index);
        this.members.dropFrom(index);
    }

    private noteConfiguration(entry: StoredEntry): void {
        const payload = decodePayload(entry.payload);
        if (payload.kind === "members") this.members.push(entry.index, payload.configuration);
    }

    /**
     * A full disk: the replica stops leading, so that one with space takes over, and goes on following; each further write
     * is tried again. Entries that the disk did not take were never acknowledged by this replica. It campaigns again after a
     * while, since all disks may have been full at once. Any other failure ends the replica.
     */
    takeStoreError(err: StoreError): void {
        if (err.reason !== "full") {
            this.fail(err);
            return;
        }
        const now = this.clock.monotonic();
        if (now >= this.fullUntil) this.logger.error("disk-full", { error: err.message });
        this.fullUntil = now + FULL_DISK_PAUSE_MS;
        this.members.dropFrom(this.log.lastIndex + 1 as LogIndex);
        this.stepDown();
    }

    /** Waits for the writers to finish, and gives the data folder up. */
    async close(): Promise<void> {
        await this.log.close();
        await this.ballot.close();
        await this.store.close();
    }
}
