import PQueue from "p-queue";
import { ClusterId, HostId, LogIndex, StoreId, Term } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { Clock } from "../../ports/index.js";
import { LogStore, StoredEntry, StoreError, Vote } from "../../store/index.js";
import { decodeValue } from "../../wire/index.js";
import { Gate } from "../_lib/gate.js";
import { EntryLog } from "../entryLog/index.js";
import { decodePayload, encodePayload, EntryPayload } from "../entryPayload/index.js";
import { LogTiming } from "../logTiming/index.js";
import { Configuration, findMember, isVoter } from "../member/index.js";
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

interface ConfigurationAt {
    readonly index: LogIndex;
    readonly configuration: Configuration;
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
    private readonly voteWriter = new PQueue({ concurrency: 1 });
    private configurations: ConfigurationAt[];
    private currentTerm: Term;
    private votedFor: StoreId | undefined;
    private isLeader = false;
    private knownLeader: LeaderIdentity | undefined;
    private promised: number;
    private fullUntil = Number.NEGATIVE_INFINITY;
    private committed: LogIndex;
    private applied: LogIndex;

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
        // Entries may be synced before the vote file has their term.
        this.currentTerm = Math.max(store.vote.term, this.log.lastTerm) as Term;
        this.votedFor = store.vote.term === this.currentTerm ? store.vote.votedFor : undefined;
        // A promise made before a restart is forgotten with it. Without this pause a replica that restarts quickly could elect
        // a second leader while the first still counts on the promise: two holders at once.
        this.promised = clock.monotonic() + timing.leaseMs;
        this.configurations = [this.readBaseConfiguration()];
        this.committed = store.snapshot?.index ?? 0 as LogIndex;
        this.applied = this.committed;
        const state = store.takeSnapshotState();
        if (state) options.stateMachine.restore(decodeValue(state));
        for (const entry of this.log.slice(this.applied + 1 as LogIndex, Number.POSITIVE_INFINITY)) {
            this.noteConfiguration(entry);
        }
    }

    get storeId(): StoreId {
        return this.store.identity.storeId;
    }

    get cluster(): ClusterId | undefined {
        return this.store.identity.cluster;
    }

    get term(): Term {
        return this.currentTerm;
    }

    get leads(): boolean {
        return this.isLeader;
    }

    get leader(): LeaderIdentity | undefined {
        return this.knownLeader;
    }

    /** Until when, on the monotonic clock, this replica refuses to help elect another leader. */
    get promisedUntil(): number {
        return this.promised;
    }

    get commitIndex(): LogIndex {
        return this.committed;
    }

    get appliedIndex(): LogIndex {
        return this.applied;
    }

    /** The members by the newest entry, committed or not. */
    get configuration(): Configuration {
        return this.configurations.at(-1)!.configuration;
    }

    /** The index of the entry that the members are taken from. */
    get configurationIndex(): LogIndex {
        return this.configurations.at(-1)!.index;
    }

    /** The members at an index that is applied. */
    configurationAt(index: LogIndex): Configuration {
        return this.configurations.findLast(at => at.index <= index)!.configuration;
    }

    /** True when this replica may try to become leader: a voter, not bound by a promise, with a disk that takes writes. */
    mayCampaign(): boolean {
        return this.clock.monotonic() >= this.fullUntil && this.isFree() && isVoter(this.configuration, this.storeId);
    }

    /** True when no leader counts on this replica. */
    isFree(): boolean {
        return !this.isLeader && this.clock.monotonic() >= this.promised;
    }

    /** Ties the replica to its cluster, once. */
    async joinCluster(cluster: ClusterId, founding: Configuration): Promise<void> {
        await this.store.saveIdentity(cluster, founding);
        if (this.configurations[0].index === 0) this.configurations[0] = this.readBaseConfiguration();
        this.changed.open();
    }

    /**
     * Makes sure that a message is for this data folder and from this cluster.
     *
     * @throws Error when it is not, which the sender sees as a failed call.
     */
    checkAddressee(message: MemberMessage): void {
        if (message.to !== this.storeId) throw new Error("the message is for another data folder");
        if (message.cluster !== this.cluster) throw new Error("the message is from another cluster");
    }

    /** Takes over a higher term, in which no vote is given yet. Answers that rest on it must await `persistVote`. */
    adoptTerm(term: Term): void {
        if (term <= this.currentTerm) return;
        this.currentTerm = term;
        this.votedFor = undefined;
        this.knownLeader = undefined;
        this.stepDown();
        this.changed.open();
    }

    /** Starts an election: a term of its own, with its own vote. */
    async startTerm(): Promise<Term> {
        const term = this.currentTerm + 1 as Term;
        this.adoptTerm(term);
        this.votedFor = this.storeId;
        await this.persistVote();
        return term;
    }

    /** Gives the vote of the present term, if it is free or given to the same candidate already. */
    giveVote(candidate: StoreId): boolean {
        if (this.votedFor !== undefined && this.votedFor !== candidate) return false;
        this.votedFor = candidate;
        return true;
    }

    /** Syncs term and vote. Must be awaited before an answer that rests on them. */
    async persistVote(): Promise<void> {
        await this.voteWriter.add(async () => {
            const { vote } = this.store;
            const wanted: Vote = { term: this.currentTerm, votedFor: this.votedFor };
            if (vote.term === wanted.term && vote.votedFor === wanted.votedFor) return;
            try {
                await this.store.saveVote(wanted);
            }
            catch (err) {
                this.takeStoreError(err as StoreError);
                throw err;
            }
        });
    }

    /**
     * Takes note of a message from a leader and renews the promise to it.
     *
     * @returns False when the leader's term is over.
     */
    followLeader(message: LeaderMessage): boolean {
        if (message.term < this.currentTerm) return false;
        this.adoptTerm(message.term);
        if (this.isLeader) throw new Error(`two leaders in term ${message.term}`);
        if (this.knownLeader?.storeId !== message.from) {
            this.knownLeader = { host: message.host, storeId: message.from };
            this.changed.open();
        }
        this.promised = Math.max(this.promised, this.clock.monotonic() + this.timing.leaseMs);
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
        const entry: StoredEntry = { index, term: this.currentTerm, payload: encodePayload(payload) };
        this.log.append([entry]);
        if (payload.kind === "members") this.pushConfiguration(index, payload.configuration);
        return entry;
    }

    /** Appends the leader's entries, cutting off what stands in their place. */
    appendFromLeader(entries: readonly StoredEntry[]): void {
        const firstNew = entries.findIndex(entry => !this.hasEntry(entry));
        if (firstNew < 0) return;
        const fresh = entries.slice(firstNew);
        if (fresh[0].index <= this.log.lastIndex) this.truncateFrom(fresh[0].index);
        this.log.append(fresh);
        for (const entry of fresh) this.noteConfiguration(entry);
    }

    /** Commits and applies up to an index, but no further than what is synced here. */
    commitTo(index: LogIndex): void {
        const reachable = Math.min(index, this.log.durableIndex) as LogIndex;
        if (reachable <= this.committed) return;
        this.committed = reachable;
        while (this.applied < this.committed) {
            const entry = this.log.entryAt(this.applied + 1 as LogIndex)!;
            const result = this.applyEntry(entry);
            this.applied = entry.index;
            this.options.events.onApplied(entry, result);
        }
    }

    /** Takes over a snapshot from the leader, which is synced already, in place of state and log. */
    restoreSnapshot(index: LogIndex, term: Term, configuration: Configuration, state: Uint8Array): void {
        if (index <= this.committed) return;
        this.options.stateMachine.restore(decodeValue(state));
        this.committed = index;
        this.applied = index;
        const keepsLog = this.log.termAt(index) === term && this.log.durableIndex >= index;
        if (!keepsLog) this.log.resetTo(index, term);
        const later = keepsLog ? this.configurations.filter(at => at.index > index) : [];
        this.configurations = [{ index, configuration }, ...later];
        this.changed.open();
    }

    /** The state machine's state, encoded before anything else can change it. */
    get stateMachine(): StateMachine {
        return this.options.stateMachine;
    }

    /** Ends the replica: it can't go on without doing harm. */
    fail(err: Error): void {
        this.logger.error("control-log-failed", { error: err.message });
        this.options.events.onFailure(err);
    }

    private applyEntry(entry: StoredEntry): unknown {
        const payload = this.decode(entry);
        if (payload?.kind !== "command") return undefined;
        try {
            return this.options.stateMachine.apply(payload.command, { index: entry.index, proposedAt: payload.at });
        }
        catch (err) {
            // The same on each replica, so that the states stay alike; stopping would stop them all, at each restart again.
            this.logger.error("apply-failed", { index: entry.index, error: String(err) });
            return undefined;
        }
    }

    private hasEntry(entry: StoredEntry): boolean {
        return entry.index <= this.committed || this.log.termAt(entry.index) === entry.term;
    }

    private truncateFrom(index: LogIndex): void {
        this.log.truncateFrom(index);
        this.dropConfigurationsFrom(index);
    }

    private noteConfiguration(entry: StoredEntry): void {
        const payload = this.decode(entry);
        if (payload?.kind === "members") this.pushConfiguration(entry.index, payload.configuration);
    }

    private decode(entry: StoredEntry): EntryPayload | undefined {
        try {
            return decodePayload(entry.payload);
        }
        catch (err) {
            this.fail(err as Error);
            return undefined;
        }
    }

    private pushConfiguration(index: LogIndex, configuration: Configuration): void {
        this.configurations.push({ index, configuration });
        this.changed.open();
    }

    private dropConfigurationsFrom(index: LogIndex): void {
        this.configurations = this.configurations.filter((at, place) => place === 0 || at.index < index);
        this.changed.open();
    }

    private readBaseConfiguration(): ConfigurationAt {
        const { snapshot, identity } = this.store;
        if (snapshot) return { index: snapshot.index, configuration: snapshot.configuration as Configuration };
        return { index: 0 as LogIndex, configuration: identity.founding as Configuration | undefined ?? NO_MEMBERS };
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
        this.dropConfigurationsFrom(this.log.lastIndex + 1 as LogIndex);
        this.stepDown();
    }

    /** Waits for the writers to finish, and gives the data folder up. */
    async close(): Promise<void> {
        await this.log.close();
        await this.voteWriter.onIdle();
        await this.store.close();
    }

    /** True when the member's list has this data folder. */
    isMember(): boolean {
        return findMember(this.configuration, this.storeId) !== undefined;
    }
}
