import { Either, Left, Right } from "purify-ts";
import { FencingToken, HostId, LogIndex, StoreId } from "../../ids/index.js";
import { Gate, Lifecycle } from "../../lifecycle/index.js";
import { Logger } from "../../logging/index.js";
import { Address, Clock, Disk, Network, Random, Timer } from "../../ports/index.js";
import { LogStore } from "../../store/index.js";
import { PeerError, PeerIdentity, PeerRouter, PeerTiming } from "../../wire/index.js";
import { ControlLog, ProposeError } from "../controlLog/index.js";
import { Election } from "../election/index.js";
import { Follower } from "../follower/index.js";
import { BootstrapMember, Founding } from "../founding/index.js";
import { Leadership } from "../leadership/index.js";
import { DEFAULT_LOG_TIMING, LogTiming } from "../logTiming/index.js";
import { Configuration, findVoters } from "../member/index.js";
import { Membership } from "../membership/index.js";
import {
    AppendRequest,
    HeartbeatRequest,
    JoinRequest,
    Method,
    ReadIndexReply,
    SnapshotRequest,
    StandingRequest,
    StatusRequest,
    VoteRequest,
} from "../message/index.js";
import { PeerLinks } from "../peerLinks/index.js";
import { Replica } from "../replica/index.js";
import { RestartPause } from "../restartPause/index.js";
import { Snapshotter } from "../snapshotter/index.js";
import { StateMachine } from "../stateMachine/index.js";

/** A connection that has gone silent is replaced before the lease that rests on it runs out. */
const LOG_PEER_TIMING: PeerTiming = { heartbeatMs: 500, silenceMs: 1_200 };

/** What a replicated log is made of. */
export interface ReplicatedLogOptions {
    readonly network: Network;
    readonly clock: Clock;
    readonly random: Random;
    /** The data folder, used by this log alone. */
    readonly disk: Disk;
    /** Gets the methods that the other members call; the process serves it. */
    readonly router: PeerRouter;
    readonly self: PeerIdentity;
    /** Where the other members reach this process. */
    readonly address: Address;
    /** The control hosts by the settings, this one too: the same list on each. */
    readonly bootstrap: readonly BootstrapMember[];
    /** False: this replica joins a cluster and never founds one. True where left out. */
    readonly mayFound?: boolean;
    /** How many voters there should be; undefined: each member becomes one. */
    readonly targetVoters?: number;
    readonly stateMachine: StateMachine;
    readonly timing?: LogTiming;
    readonly peerTiming?: PeerTiming;
    readonly logger: Logger;
}

/**
 * The control log, replicated: one replica of it.
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
    private readonly founding: Founding;
    private readonly membership: Membership;
    private readonly listeners = new Set<(holds: boolean) => void>();
    private readonly appliedMore = new Gate();
    private leadership: Leadership | undefined;
    private leaseEnd: Timer | undefined;
    private toldHolds = false;
    private whenStopped: (err: Error | undefined) => void = () => undefined;

    /** Settles when the log has ended: with the failure that ended it, or undefined after `close`. */
    readonly stopped = new Promise<Error | undefined>(resolve => {
        this.whenStopped = resolve;
    });

    private constructor(private readonly options: ReplicatedLogOptions, store: LogStore) {
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
                onDurable: () => this.takeDurable(),
                onApplied: (entry, result) => {
                    this.leadership?.settle(entry, result);
                    this.appliedMore.open();
                    this.snapshotter.review();
                },
                onStepDown: () => this.endLeadership(),
                onFailure: err => void this.end(err),
            },
        });
        this.lifecycle.own(() => this.replica.close());
        this.links = new PeerLinks({ ...options, timing: peerTiming }, this.lifecycle);
        this.follower = new Follower(this.replica);
        this.restartPause = new RestartPause(this.replica, this.links);
        this.snapshotter = new Snapshotter(this.replica);
        const member = { host: self.host, address: options.address };
        const { bootstrap, mayFound } = options;
        this.founding = new Founding(this.replica, this.links, options.random, member, bootstrap, mayFound);
        const addresses = bootstrap.map(({ address }) => address);
        this.membership = new Membership(this.replica, this.links, options.address, addresses, options.targetVoters);
        this.addMethods(options.router);
    }

    /**
     * Reads the data folder and restores the state machine. Nothing is sent before `start`.
     *
     * @throws StoreError when the folder is damaged or in use.
     */
    static async open(options: ReplicatedLogOptions): Promise<ReplicatedLog> {
        const { disk, random, timing = DEFAULT_LOG_TIMING } = options;
        const store = await LogStore.open({ disk, random, segmentBytes: timing.segmentBytes });
        return new ReplicatedLog(options, store);
    }

    /** Begins to take part. The process must serve the router already. */
    start(): void {
        this.lifecycle.run(signal => this.takePart(signal), err => this.replica.fail(err as Error));
    }

    /** Stops taking part. What was accepted stays on disk. */
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
        return this.replica.clock.elapsed() < leadership.leaseUntil();
    }

    fencingToken(): FencingToken {
        return this.replica.term as number as FencingToken;
    }

    holder(): HostId | undefined {
        if (this.leadership) return this.holdsLease() ? this.replica.host : undefined;
        const isHeard = this.replica.clock.monotonic() < this.replica.promisedUntil;
        return isHeard ? this.replica.leader?.host : undefined;
    }

    appliedIndex(): LogIndex {
        return this.replica.appliedIndex;
    }

    onHolderChange(listener: (holds: boolean) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    /**
     * Waits until all that was accepted before this call is applied here.
     *
     * Guards against a stale read: a replica that was cut off, or a leader that slept through its successor's election,
     * would answer from an old state. The holder has applied all that is accepted; its index is asked for after the call began.
     *
     * @param timeoutMs - How long to wait, in milliseconds.
     * @returns The index up to which the state is read.
     */
    async readBarrier(timeoutMs: number): Promise<Either<ProposeError, LogIndex>> {
        const { clock } = this.replica;
        const deadline = clock.monotonic() + timeoutMs;
        const index = await this.askReadIndex(timeoutMs);
        if (index === undefined) return Left(new ProposeError("not-holder", false, this.holder()));
        while (this.appliedIndex() < index) {
            const remaining = deadline - clock.monotonic();
            if (remaining <= 0 || this.lifecycle.isClosing) {
                return Left(new ProposeError("not-holder", false, this.holder()));
            }
            await this.appliedMore.wait(clock, remaining, this.lifecycle.signal);
        }
        return Right(index);
    }

    /** The members, by the newest entry here. */
    configuration(): Configuration {
        return this.replica.configuration;
    }

    /** The members, by the newest entry applied here. */
    committedConfiguration(): Configuration {
        return this.replica.configurationAt(this.replica.appliedIndex);
    }

    /** This data folder's identity. */
    get storeId(): StoreId {
        return this.replica.storeId;
    }

    /**
     * Removes a member for good; its data folder can't come back.
     *
     * @returns False when this replica does not lead, another change is under way, or there is no such member.
     */
    removeMember(storeId: StoreId): boolean {
        return this.leadership !== undefined && this.membership.remove(storeId, this.leadership);
    }

    private async takePart(signal: AbortSignal): Promise<void> {
        await this.founding.run(signal);
        if (signal.aborted) return;
        for (const voter of findVoters(this.replica.configuration)) {
            if (voter.storeId !== this.storeId) this.links.to(voter.address);
        }
        const election = new Election(this.replica, this.links, this.options.random, () => this.beginLeadership());
        await Promise.all([election.run(signal), this.membership.run(signal), this.restartPause.run(signal)]);
    }

    private addMethods(router: PeerRouter): void {
        router.add(Method.Vote, body => this.follower.answerVote(body as VoteRequest));
        router.add(Method.Standing, body => this.restartPause.answerStanding(body as StandingRequest));
        router.add(Method.Heartbeat, body => this.follower.answerHeartbeat(body as HeartbeatRequest));
        router.add(Method.Append, body => this.follower.answerAppend(body as AppendRequest));
        router.add(Method.Snapshot, body => this.snapshotter.answerChunk(body as SnapshotRequest));
        router.add(Method.Status, body => this.founding.answerStatus(body as StatusRequest));
        router.add(Method.Join, body => this.membership.answerJoin(body as JoinRequest, this.leadership));
        router.add(Method.ReadIndex, (): ReadIndexReply => this.holdsLease() ? { index: this.appliedIndex() } : {});
    }

    /**
     * Asks the replica that leads, by a method of the process there.
     *
     * @param timeoutMs - How long to wait for the answer, in milliseconds.
     */
    async askHolder(method: string, body: unknown, timeoutMs: number): Promise<Either<PeerError, unknown>> {
        const address = this.findLeaderAddress();
        if (!address) return Left(new PeerError("unreachable", false, "no leader is known"));
        return this.links.call(address, method, body, timeoutMs);
    }

    private findLeaderAddress(): Address | undefined {
        const { leader, configuration } = this.replica;
        if (this.leadership) return undefined;
        return configuration.members.find(({ storeId }) => storeId === leader?.storeId)?.address;
    }

    private async askReadIndex(timeoutMs: number): Promise<LogIndex | undefined> {
        if (this.holdsLease()) return this.appliedIndex();
        const address = this.findLeaderAddress();
        if (!address) return undefined;
        const reply = await this.links.call<ReadIndexReply>(address, Method.ReadIndex, {}, timeoutMs);
        return reply.map(({ index }) => index).orDefault(undefined);
    }

    private takeDurable(): void {
        this.leadership?.advanceCommit();
        if (!this.leadership) this.follower.takeDurable();
    }

    private beginLeadership(): void {
        this.leadership = new Leadership(this.replica, this.links, () => this.reviewLease());
        this.leadership.start();
        this.replica.logger.info("leader-elected", { term: this.replica.term });
    }

    private endLeadership(): void {
        const { leadership } = this;
        this.leadership = undefined;
        this.replica.logger.info("leader-stepped-down", { term: leadership?.term });
        this.tellHolder();
        void leadership?.close();
    }

    private reviewLease(): void {
        if (!this.leadership) return;
        this.tellHolder();
        this.membership.review(this.leadership);
    }

    /** Tells the listeners of a change, and comes back when the lease would run out. */
    private tellHolder(): void {
        const holds = this.holdsLease();
        this.leaseEnd?.cancel();
        if (holds) {
            const remaining = this.leadership!.leaseUntil() - this.replica.clock.elapsed();
            const mostMs = this.replica.timing.leaseMs;
            this.leaseEnd = this.replica.clock.after(Math.min(remaining, mostMs), () => this.tellHolder());
        }
        if (holds === this.toldHolds) return;
        this.toldHolds = holds;
        for (const listener of this.listeners) listener(holds);
    }

    private async end(err: Error | undefined): Promise<void> {
        const closing = this.lifecycle.close();
        this.replica.stepDown();
        await closing;
        this.whenStopped(err);
    }
}
