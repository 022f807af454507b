import { Either, Left, Right } from "purify-ts";
import { FencingToken, HostId, LogIndex, StoreId } from "../../ids/index.js";
import { Lifecycle, WaitCondition } from "../../lifecycle/index.js";
import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { Address, Clock, Disk, Network, Random, Timer } from "../../ports/index.js";
import { LogStore } from "../../store/index.js";
import { PeerError, PeerIdentity, PeerRouter, PeerTiming } from "../../wire/index.js";
import { BootstrapMember, ClusterBootstrap } from "../clusterBootstrap/index.js";
import { ControlLog, ProposeError } from "../controlLog/index.js";
import { Departure, DepartureResult } from "../departure/index.js";
import { Election } from "../election/index.js";
import { Follower } from "../follower/index.js";
import { JoinTask } from "../joinTask/index.js";
import { Leadership } from "../leadership/index.js";
import { DEFAULT_LOG_TIMING, LogTiming } from "../logTiming/index.js";
import { Configuration, findVoters } from "../member/index.js";
import { MembershipManager } from "../membershipManager/index.js";
import {
    AppendRequest,
    BootstrapStatusRequest,
    HeartbeatRequest,
    JoinRequest,
    LeadershipStatusRequest,
    LeaveRequest,
    ReadIndexReply,
    RpcMethod,
    SnapshotRequest,
    TakeOverReply,
    TakeOverRequest,
    VoteRequest,
} from "../message/index.js";
import { PeerLinks } from "../peerLinks/index.js";
import { Replica } from "../replica/index.js";
import { RestartPause } from "../restartPause/index.js";
import { Snapshotter } from "../snapshotter/index.js";
import { StateMachine } from "../stateMachine/index.js";

/** Replaces an unresponsive connection before the lease that depends on it expires. */
const LOG_PEER_TIMING: PeerTiming = { heartbeatMs: 500, silenceMs: 1_200 };

/** Options of a replicated log. */
export interface ReplicatedLogOptions {
    readonly network: Network;
    readonly clock: Clock;
    readonly random: Random;
    /** The data folder, used only by this log. */
    readonly disk: Disk;
    /** Router on which the log registers the methods that other members call. The process serves it. */
    readonly router: PeerRouter;
    readonly self: PeerIdentity;
    /** Address at which the other members reach this process. */
    readonly address: Address;
    /** Control hosts from the settings, including this one. The list is the same on each host. */
    readonly bootstrap: readonly BootstrapMember[];
    /** False: this replica only joins a cluster and never bootstraps one. Defaults to true. */
    readonly mayBootstrap?: boolean;
    /** Desired number of voters. Undefined: each member becomes a voter. */
    readonly targetVoters?: number;
    readonly stateMachine: StateMachine;
    readonly timing?: LogTiming;
    readonly peerTiming?: PeerTiming;
    readonly logger: Logger;
    /** Receives gauges of the voters; undefined: none are recorded. */
    readonly metrics?: Metrics;
}

/** Replies of voters to a call. */
export interface VoterReplies {
    /** Number of voters, including this replica if it is one. */
    readonly voters: number;
    /** The replies by the store id of the voter that was called; this replica is not called. */
    readonly replies: ReadonlyMap<StoreId, unknown>;
}

/**
 * One replica of the replicated control log.
 *
 * @example
 * const log = await ReplicatedLog.open(options);
 * lifecycle.own(() => log.close());
 * log.start();
 * const result = await log.propose({ kind: "template.put" });
 */
export class ReplicatedLog extends ControlLog {
    private readonly lifecycle = new Lifecycle();
    private readonly replica: Replica;
    private readonly links: PeerLinks;
    private readonly follower: Follower;
    private readonly restartPause: RestartPause;
    private readonly snapshotter: Snapshotter;
    private readonly clusterBootstrap: ClusterBootstrap;
    private readonly joinTask: JoinTask;
    private readonly membershipManager: MembershipManager;
    private readonly election: Election;
    private readonly departure: Departure;
    private readonly listeners = new Set<(holds: boolean) => void>();
    private readonly entryApplied = new WaitCondition();
    private leadership: Leadership | undefined;
    private seeds: readonly Address[] = [];
    private leaseExpiryTimer: Timer | undefined;
    private lastNotifiedHolds = false;
    private resolveStopped: (err: Error | undefined) => void = () => undefined;

    /** Resolves when the log has ended: with the failure that ended it, or with undefined after `close`. */
    readonly stopped = new Promise<Error | undefined>(resolve => {
        this.resolveStopped = resolve;
    });

    private constructor(options: ReplicatedLogOptions, store: LogStore) {
        super();
        const { self, clock, timing = DEFAULT_LOG_TIMING, peerTiming = LOG_PEER_TIMING, logger } = options;
        this.replica = new Replica({
            host: self.host,
            store,
            stateMachine: options.stateMachine,
            clock,
            timing,
            logger,
            events: {
                onDurable: () => this.onEntriesDurable(),
                onApplied: (entry, result) => {
                    this.leadership?.resolveProposal(entry, result);
                    this.entryApplied.notifyAll();
                    this.snapshotter.takeIfDue();
                },
                onStepDown: () => this.endLeadership(),
                onFailure: err => void this.end(err),
            },
        });
        this.lifecycle.addCleanUp(() => this.replica.close());
        this.links = new PeerLinks({ ...options, timing: peerTiming }, this.lifecycle);
        this.follower = new Follower(this.replica);
        this.restartPause = new RestartPause(this.replica, this.links);
        this.snapshotter = new Snapshotter(this.replica);
        const member = { host: self.host, address: options.address };
        const { bootstrap, mayBootstrap } = options;
        this.clusterBootstrap = new ClusterBootstrap(
            this.replica,
            this.links,
            options.random,
            member,
            bootstrap,
            mayBootstrap,
            () => this.seeds,
        );
        const bootstrapAddresses = bootstrap.map(({ address }) => address);
        const listSeeds = (): readonly Address[] => [...bootstrapAddresses, ...this.seeds];
        this.joinTask = new JoinTask(this.replica, this.links, options.address, listSeeds);
        this.membershipManager = new MembershipManager(this.replica, options);
        this.election = new Election(this.replica, this.links, options.random, () => this.beginLeadership());
        this.departure = new Departure({
            replica: this.replica,
            links: this.links,
            membershipManager: this.membershipManager,
            findLeadership: () => this.leadership,
        });
        this.registerHandlers(options.router);
    }

    /**
     * Reads the data folder and restores the state machine. Sends nothing before `start`.
     *
     * @throws StoreError when the folder is damaged or in use.
     */
    static async open(options: ReplicatedLogOptions): Promise<ReplicatedLog> {
        const { disk, random, timing = DEFAULT_LOG_TIMING } = options;
        const store = await LogStore.open({ disk, random, segmentBytes: timing.segmentBytes });
        return new ReplicatedLog(options, store);
    }

    /** Starts participating in the cluster. The process must already serve the router. */
    start(): void {
        this.lifecycle.run(signal => this.participate(signal), err => this.replica.fail(err as Error));
    }

    /**
     * Sets further addresses at which the members of the cluster may be found. The hosts from the settings that this process started with may
     * all have been replaced before it joined.
     */
    setSeeds(seeds: readonly Address[]): void {
        this.seeds = seeds;
    }

    /** Stops participating. Accepted entries remain on disk. */
    async close(): Promise<void> {
        await this.end(undefined);
    }

    propose(command: unknown): Promise<Either<ProposeError, unknown>> {
        if (this.lifecycle.isClosing) return Promise.resolve(Left(new ProposeError("stopped", false, undefined)));
        if (!this.leadership) return Promise.resolve(Left(new ProposeError("not-holder", false, this.holder())));
        return this.leadership.propose(command);
    }

    holdsLease(): boolean {
        const { leadership } = this;
        if (!leadership?.isEstablished || this.lifecycle.isClosing) return false;
        return this.replica.clock.monotonicWithSuspend() < leadership.leaseUntil();
    }

    fencingToken(): FencingToken {
        return this.replica.term as number as FencingToken;
    }

    holder(): HostId | undefined {
        if (this.leadership) return this.holdsLease() ? this.replica.host : undefined;
        const hasCurrentLeader = this.replica.clock.monotonic() < this.replica.promisedUntil;
        return hasCurrentLeader ? this.replica.leader?.host : undefined;
    }

    appliedIndex(): LogIndex {
        return this.replica.appliedIndex;
    }

    onHolderChange(listener: (holds: boolean) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    /**
     * Waits until all entries accepted before this call are applied on this replica.
     *
     * Prevents stale reads: a replica that was cut off, or a leader that was suspended during its successor's election,
     * would answer from an old state. The holder has applied all accepted entries, and its index is requested after the
     * call began.
     *
     * @param timeoutMs - Maximum waiting time, in milliseconds.
     * @returns The index up to which the state is current.
     */
    async readBarrier(timeoutMs: number): Promise<Either<ProposeError, LogIndex>> {
        const { clock } = this.replica;
        const deadline = clock.monotonic() + timeoutMs;
        const index = await this.fetchReadIndex(timeoutMs);
        if (index === undefined) return Left(new ProposeError("not-holder", false, this.holder()));
        while (this.appliedIndex() < index) {
            const remaining = deadline - clock.monotonic();
            if (remaining <= 0 || this.lifecycle.isClosing) {
                return Left(new ProposeError("not-holder", false, this.holder()));
            }
            await this.entryApplied.wait(clock, remaining, this.lifecycle.signal);
        }
        return Right(index);
    }

    /** Returns the newest configuration in the local log, committed or not. */
    configuration(): Configuration {
        return this.replica.configuration;
    }

    /** Returns the configuration at the last entry applied on this replica. */
    committedConfiguration(): Configuration {
        return this.replica.configurationAt(this.replica.appliedIndex);
    }

    /** Store id of this replica's data folder. */
    get storeId(): StoreId {
        return this.replica.storeId;
    }

    /**
     * Removes a member permanently. Its data folder can't be used to rejoin.
     *
     * @returns False when this replica does not lead, another change is pending, or there is no such member.
     */
    removeMember(storeId: StoreId): boolean {
        return this.leadership !== undefined && this.membershipManager.remove(storeId, this.leadership);
    }

    /**
     * Hands the vote and the leadership over before a planned stop of the process. The replica takes part until `close`, but does not ask to
     * join again.
     *
     * @param limitMs - Maximum time, in milliseconds. Returns at once when nobody can take over.
     */
    leave(limitMs: number): Promise<DepartureResult> {
        this.joinTask.stop();
        return this.departure.run(limitMs, this.lifecycle.signal);
    }

    private async participate(signal: AbortSignal): Promise<void> {
        await this.clusterBootstrap.run(signal);
        if (signal.aborted) return;
        await Promise.all([
            this.keepLinks(signal),
            this.election.run(signal),
            this.joinTask.run(signal),
            this.restartPause.run(signal),
        ]);
    }

    /** Keeps links to all other voters open, so that an election reaches each of them at once, and no links to hosts that are gone. */
    private async keepLinks(signal: AbortSignal): Promise<void> {
        const { clock, changed, timing } = this.replica;
        while (!signal.aborted) {
            const others = findVoters(this.replica.configuration).filter(({ storeId }) => storeId !== this.storeId);
            this.links.retain(others.map(({ address }) => address));
            await changed.wait(clock, timing.leaseMs, signal);
        }
    }

    private registerHandlers(router: PeerRouter): void {
        router.add(RpcMethod.Vote, body => this.follower.handleVote(body as VoteRequest));
        router.add(
            RpcMethod.LeadershipStatus,
            body => this.restartPause.handleLeadershipStatus(body as LeadershipStatusRequest),
        );
        router.add(RpcMethod.Heartbeat, body => this.follower.handleHeartbeat(body as HeartbeatRequest));
        router.add(RpcMethod.Append, body => this.follower.handleAppend(body as AppendRequest));
        router.add(RpcMethod.Snapshot, body => this.snapshotter.handleChunk(body as SnapshotRequest));
        router.add(
            RpcMethod.BootstrapStatus,
            body => this.clusterBootstrap.handleStatus(body as BootstrapStatusRequest),
        );
        router.add(RpcMethod.Join, body => this.membershipManager.handleJoin(body as JoinRequest, this.leadership));
        router.add(RpcMethod.Leave, body => this.membershipManager.handleLeave(body as LeaveRequest, this.leadership));
        router.add(RpcMethod.TakeOver, body => this.handleTakeOver(body as TakeOverRequest));
        router.add(RpcMethod.ReadIndex, (): ReadIndexReply => this.holdsLease() ? { index: this.appliedIndex() } : {});
    }

    /**
     * Calls a method of the process that leads.
     *
     * @param timeoutMs - Timeout of the call, in milliseconds.
     */
    async callLeader(method: string, body: unknown, timeoutMs: number): Promise<Either<PeerError, unknown>> {
        const address = this.findLeaderAddress();
        if (!address) return Left(new PeerError("unreachable", false, "no leader is known"));
        return this.links.call(address, method, body, timeoutMs);
    }

    /**
     * Calls a method of each other voter at the same time.
     *
     * @param timeoutMs - Timeout of each call, in milliseconds.
     * @returns The number of voters, and the replies by the store id of the voter that was called.
     */
    async callVoters(method: string, body: unknown, timeoutMs: number): Promise<VoterReplies> {
        const voters = findVoters(this.replica.configuration);
        const others = voters.filter(({ storeId }) => storeId !== this.storeId);
        const replies = new Map<StoreId, unknown>();
        await Promise.all(others.map(async ({ storeId, address }) => {
            const reply = await this.links.call(address, method, body, timeoutMs);
            reply.ifRight(value => replies.set(storeId, value));
        }));
        return { voters: voters.length, replies };
    }

    private findLeaderAddress(): Address | undefined {
        const { leader, configuration } = this.replica;
        if (this.leadership) return undefined;
        return configuration.members.find(({ storeId }) => storeId === leader?.storeId)?.address;
    }

    private async fetchReadIndex(timeoutMs: number): Promise<LogIndex | undefined> {
        if (this.holdsLease()) return this.appliedIndex();
        const address = this.findLeaderAddress();
        if (!address) return undefined;
        const reply = await this.links.call<ReadIndexReply>(address, RpcMethod.ReadIndex, {}, timeoutMs);
        return reply.map(({ index }) => index).orDefault(undefined);
    }

    private async handleTakeOver(req: TakeOverRequest): Promise<TakeOverReply> {
        this.replica.checkAddressee(req);
        return { isLeader: await this.election.takeOver(req, this.lifecycle.signal) };
    }

    private onEntriesDurable(): void {
        this.leadership?.advanceCommit();
        if (!this.leadership) this.follower.commitDurable();
    }

    private beginLeadership(): void {
        this.leadership = new Leadership(this.replica, this.links, () => this.onLeaseExtended());
        this.leadership.start();
        this.replica.logger.info("leader-elected", { term: this.replica.term });
    }

    private endLeadership(): void {
        const { leadership } = this;
        this.leadership = undefined;
        this.replica.logger.info("leader-stepped-down", { term: leadership?.term });
        this.notifyHolderChange();
        void leadership?.close();
    }

    private onLeaseExtended(): void {
        if (!this.leadership) return;
        this.notifyHolderChange();
        this.membershipManager.applyDueChange(this.leadership);
    }

    /** Notifies the listeners if the lease was gained or lost, and schedules a check for when it would expire. */
    private notifyHolderChange(): void {
        const holds = this.holdsLease();
        this.leaseExpiryTimer?.cancel();
        if (holds) {
            const remaining = this.leadership!.leaseUntil() - this.replica.clock.monotonicWithSuspend();
            const maxMs = this.replica.timing.leaseMs;
            this.leaseExpiryTimer = this.replica.clock.after(
                Math.min(remaining, maxMs),
                () => this.notifyHolderChange(),
            );
        }
        if (holds === this.lastNotifiedHolds) return;
        this.lastNotifiedHolds = holds;
        for (const listener of this.listeners) listener(holds);
    }

    private async end(err: Error | undefined): Promise<void> {
        const closing = this.lifecycle.close();
        this.replica.stepDown();
        await closing;
        this.resolveStopped(err);
    }
}
