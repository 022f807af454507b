import {
    BootstrapMember,
    DEFAULT_LOG_TIMING,
    DepartureResult,
    LogTiming,
    ReplicatedLog,
} from "../../consensus/index.js";
import { HostId, Incarnation, LogIndex } from "../../ids/index.js";
import { Logger, SilentLogger } from "../../logging/index.js";
import {
    Address,
    LatencyModel,
    MemoryDisk,
    MemoryFabric,
    MemoryHost,
    Random,
    VirtualClock,
} from "../../ports/index.js";
import { DEFAULT_PEER_TIMING, PeerRouter, servePeers } from "../../wire/index.js";
import { History, InvariantError, RecordingStateMachine } from "../recordingStateMachine/index.js";

const PORT = 7000;
/** Log timing with small segments and snapshot intervals, so that a short run rolls segments and sends snapshots. */
export const FLEET_LOG_TIMING: LogTiming = {
    ...DEFAULT_LOG_TIMING,
    snapshotEntries: 40,
    trailingEntries: 5,
    segmentBytes: 1_000,
};
/** Timing with which a lost holder is replaced within little more than a second. */
export const EAGER_LOG_TIMING: LogTiming = {
    ...FLEET_LOG_TIMING,
    heartbeatMs: 200,
    leaseMs: 900,
    electionSpreadMs: 450,
    appendTimeoutMs: 4_000,
    joinRetryMs: 250,
};
/** Time in which a process that is stopped hands over what it holds, in milliseconds. */
const MAX_LEAVE_MS = 3_000;
/** Maximum deviation of a host's clock rate from 1, below the drift that the lease tolerates. */
const MAX_CLOCK_DRIFT = 0.009;
/** Maximum time in which a fleet without faults must recover. */
const RECOVERY_TIMEOUT_MS = 120_000;
const CHECK_INTERVAL_MS = 20;

/** Options of a simulated fleet. */
export interface ReplicaFleetOptions {
    readonly timing?: LogTiming;
    /** Desired number of voters; undefined: each member becomes one. */
    readonly targetVoters?: number;
    /** Returns the logger of a host's processes; undefined: nothing is logged. */
    readonly loggerOf?: (name: string) => Logger;
}

/** One simulated host. Its disk survives its processes. */
export interface ReplicaHost {
    readonly name: HostId;
    readonly disk: MemoryDisk;
    /** Rate of the host's clock relative to virtual time. */
    readonly clockRate: number;
    /** The running control process; undefined while it is down. */
    process: ReplicaProcess | undefined;
}

/** One run of a host's control process, from start to crash. */
export interface ReplicaProcess {
    readonly host: MemoryHost;
    readonly log: ReplicatedLog;
    readonly recorder: RecordingStateMachine;
}

/**
 * Simulated hosts with one replica of the control log each, under virtual time. Checks the log's invariants while time advances.
 *
 * @example
 * const fleet = new ReplicaFleet(new SeededRandom(1), ["a", "b", "c"]);
 * await fleet.startAll();
 */
export class ReplicaFleet {
    readonly clock = new VirtualClock();
    readonly fabric: MemoryFabric;
    readonly hosts = new Map<string, ReplicaHost>();
    /** Commands whose proposal succeeded. */
    readonly acceptedCommands = new Set<string>();
    private readonly history = new History();
    /** Host that held the lease, by fencing token. */
    private readonly holderByToken = new Map<number, string>();
    private readonly bootstrapMembers: readonly BootstrapMember[];
    /** Highest index that each process has applied so far. */
    private readonly lastApplied = new Map<ReplicaProcess, number>();
    /** One-way latency, in milliseconds; a test may replace it. */
    latency: LatencyModel = () => Math.round(this.random.between(1, 4));
    /** Highest log index of an accepted command. */
    private acceptedIndex = 0 as LogIndex;
    /** The first violation found; thrown by the next `checkInvariants`. */
    private violation: unknown;
    private nextCommandNumber = 1;

    constructor(
        readonly random: Random,
        bootstrapHosts: readonly string[],
        private readonly options: ReplicaFleetOptions = {},
    ) {
        this.fabric = new MemoryFabric(this.clock, (from, to) => this.latency(from, to));
        this.bootstrapMembers = bootstrapHosts.map(makeBootstrapMember);
        for (const name of bootstrapHosts) this.addHost(name);
    }

    /** Adds a host with an empty disk and no running process. */
    addHost(name: string, clockRate = 1 + this.random.between(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)): ReplicaHost {
        const host = { name: name as HostId, disk: new MemoryDisk(this.clock), clockRate, process: undefined };
        this.hosts.set(name, host);
        return host;
    }

    async startAll(): Promise<void> {
        for (const name of this.hosts.keys()) await this.start(name);
    }

    /**
     * Starts the control process of a host.
     *
     * @param seeds - Hosts in its settings; it then only joins a cluster. Undefined: the bootstrap hosts.
     */
    async start(name: string, port = PORT, seeds?: readonly string[]): Promise<void> {
        const { disk, clockRate } = this.find(name);
        const host = new MemoryHost({ clock: this.clock, network: this.fabric.network(name), disk, clockRate });
        const recorder = new RecordingStateMachine(this.history, err => this.recordViolation(err));
        const router = new PeerRouter();
        const self = { host: name as HostId, incarnation: String(this.clock.monotonic()) as Incarnation };
        const { clock, network } = host;
        const address = addressOf(name, port);
        const log = await ReplicatedLog.open({
            network,
            clock,
            random: this.random,
            disk: host.disk,
            router,
            self,
            address,
            bootstrap: this.listBootstrapMembers(name, address, seeds),
            mayBootstrap: seeds === undefined,
            stateMachine: recorder,
            timing: this.options.timing ?? FLEET_LOG_TIMING,
            targetVoters: this.options.targetVoters,
            logger: this.options.loggerOf?.(name) ?? new SilentLogger(),
        });
        await servePeers({ network, clock, address, self, router, timing: DEFAULT_PEER_TIMING });
        log.onHolderChange(() => this.runCheck(() => this.checkInvariants()));
        log.start();
        this.find(name).process = { host, log, recorder };
    }

    private listBootstrapMembers(
        name: string,
        address: Address,
        seeds?: readonly string[],
    ): readonly BootstrapMember[] {
        const members = seeds ? seeds.map(makeBootstrapMember) : this.bootstrapMembers;
        const isListed = members.some(({ host }) => host === name);
        return isListed ? members : [...members, { host: name as HostId, address }];
    }

    /** Kills the control process of a host. Each file loses its unsynced bytes except for the first `keptUnsynced`. */
    crash(name: string, keptUnsynced = 0): void {
        const host = this.find(name);
        host.process?.host.kill();
        host.process = undefined;
        this.fabric.crash(name);
        host.disk.crash(keptUnsynced);
    }

    /** Kills the control process of a host and erases its disk. */
    wipe(name: string): void {
        this.crash(name);
        this.find(name).disk.wipe();
    }

    /** Stops the control process of a host as planned: it hands over what it holds, and ends. */
    async stop(name: string): Promise<DepartureResult> {
        const { log } = this.find(name).process!;
        const result = await log.leave(MAX_LEAVE_MS);
        this.crash(name);
        return result;
    }

    /**
     * Ends a host for good.
     *
     * @param isSilent - Whether the host answers nothing from now on, as without power; otherwise it refuses connections.
     */
    removeHost(name: string, isSilent: boolean): void {
        if (isSilent) {
            this.fabric.isolate(name, [...this.hosts.keys()], true);
            this.find(name).process?.host.kill();
        }
        else {
            this.crash(name);
        }
        this.hosts.delete(name);
    }

    find(name: string): ReplicaHost {
        return this.hosts.get(name)!;
    }

    /** The running processes, including frozen ones. */
    processes(): ReplicaProcess[] {
        return [...this.hosts.values()].flatMap(({ process }) => process ? [process] : []);
    }

    /** The host that holds the control lease. */
    holder(): ReplicaHost | undefined {
        return [...this.hosts.values()].find(({ process }) => process?.log.holdsLease());
    }

    /** Proposes a new command, and records it once it is accepted. */
    propose(process: ReplicaProcess, padding = ""): void {
        const command = `command-${this.nextCommandNumber++}${padding}`;
        void process.log.propose(command).then(result => result.ifRight(() => this.recordAccepted(command)));
    }

    /** Proposes a number of commands to the holder, and advances time until all are accepted. */
    async proposeMany(count: number, padding = ""): Promise<void> {
        const wanted = this.acceptedCommands.size + count;
        for (let done = 0; done < count; done++) this.propose(this.holder()!.process!, padding);
        await this.advanceUntil(() => this.acceptedCommands.size >= wanted);
    }

    /** Reconnects all links, thaws frozen processes and repairs slow or full disks. Stopped hosts stay down. */
    endFaults(): void {
        this.healAll();
        this.thawAll();
        this.repairDisks();
    }

    healAll(): void {
        const names = [...this.hosts.keys()];
        for (const name of names) this.fabric.isolate(name, names, false);
    }

    thawAll(): void {
        for (const { host } of this.processes()) host.thaw();
    }

    repairDisks(): void {
        for (const { disk } of this.hosts.values()) {
            disk.syncDurationMs = 0;
            disk.capacityBytes = Number.POSITIVE_INFINITY;
        }
    }

    /**
     * Advances time until all hosts are voters, a new command is accepted and all replicas have the same applied index; then checks
     * that they agree.
     */
    async converge(): Promise<void> {
        await this.advanceUntil(() => this.hasFullMembership());
        await this.proposeUntilAccepted();
        await this.advanceUntil(() => new Set(this.processes().map(({ log }) => log.appliedIndex())).size === 1);
        this.checkReplicasAgree();
    }

    /** Proposes repeatedly, since a holder that was isolated until now may still step down and lose a proposal. */
    private async proposeUntilAccepted(): Promise<void> {
        const before = this.acceptedCommands.size;
        const end = this.clock.monotonic() + RECOVERY_TIMEOUT_MS;
        while (this.acceptedCommands.size === before) {
            if (this.clock.monotonic() >= end) throw new InvariantError("no command is accepted any more");
            const holder = this.holder();
            if (holder) this.propose(holder.process!);
            await this.advance(1_000);
        }
    }

    /** Advances virtual time, checking the invariants every `CHECK_INTERVAL_MS`. */
    async advance(ms: number): Promise<void> {
        const end = this.clock.monotonic() + ms;
        while (this.clock.monotonic() < end) {
            await this.clock.advance(Math.min(CHECK_INTERVAL_MS, end - this.clock.monotonic()));
            this.checkInvariants();
        }
    }

    /** Advances virtual time until the condition holds. */
    async advanceUntil(condition: () => boolean, limitMs = RECOVERY_TIMEOUT_MS): Promise<void> {
        const end = this.clock.monotonic() + limitMs;
        while (!condition()) {
            if (this.clock.monotonic() >= end) throw new InvariantError(`no progress within ${limitMs} ms`);
            await this.advance(CHECK_INTERVAL_MS);
        }
    }

    /** Whether the committed membership consists of exactly the hosts' current data folders, as many voters as wanted among them. */
    hasFullMembership(): boolean {
        const members = this.holder()?.process?.log.committedConfiguration().members ?? [];
        const stores = [...this.hosts.values()].map(({ process }) => process?.log.storeId);
        const voters = members.filter(({ role }) => role === "voter");
        return members.length === stores.length
            && members.every(({ storeId }) => stores.includes(storeId))
            && voters.length === Math.min(stores.length, this.options.targetVoters ?? stores.length);
    }

    /** Checks that all replicas applied the same sequence of commands, with each accepted command in it once. */
    checkReplicasAgree(): void {
        const [first, ...others] = this.processes().map(({ recorder }) => recorder.commands);
        for (const other of others) {
            if (other.join() !== first.join()) throw new InvariantError("replicas applied different sequences");
        }
        const counts = new Map<string, number>();
        for (const command of first) counts.set(command, (counts.get(command) ?? 0) + 1);
        for (const command of this.acceptedCommands) {
            const times = counts.get(command) ?? 0;
            if (times !== 1) throw new InvariantError(`${command} was accepted and is applied ${times} times`);
        }
    }

    /** Checks that there is one holder at most, and that applied indexes and fencing tokens never decrease. */
    checkInvariants(): void {
        if (this.violation) throw this.violation;
        const holders = this.processes().filter(({ log }) => log.holdsLease());
        if (holders.length > 1) throw new InvariantError("two hosts hold the lease");
        for (const process of this.processes()) {
            const applied = process.log.appliedIndex();
            if (applied < (this.lastApplied.get(process) ?? 0)) throw new InvariantError("the applied index went back");
            this.lastApplied.set(process, applied);
        }
        const holder = this.holder();
        if (!holder) return;
        this.checkFencingToken(holder);
        // A holder that has not applied all accepted commands would repeat actions of its predecessor.
        if (holder.process!.log.appliedIndex() < this.acceptedIndex) throw new InvariantError("the holder is behind");
    }

    private recordAccepted(command: string): void {
        this.acceptedCommands.add(command);
        const index = this.history.indexOf(command);
        if (index === undefined) this.recordViolation(new InvariantError(`${command} is accepted and applied nowhere`));
        this.acceptedIndex = Math.max(this.acceptedIndex, index ?? 0) as LogIndex;
    }

    /** Runs a check from within a replica's callback, into which it must not throw. */
    private runCheck(check: () => void): void {
        try {
            check();
        }
        catch (err) {
            this.recordViolation(err);
        }
    }

    private checkFencingToken({ name, process }: ReplicaHost): void {
        const token = process!.log.fencingToken();
        const newest = Math.max(...this.holderByToken.keys());
        if (token < newest) throw new InvariantError(`token ${token} of ${name} is older than ${newest}`);
        if ((this.holderByToken.get(token) ?? name) !== name) throw new InvariantError(`two hosts had token ${token}`);
        this.holderByToken.set(token, name);
    }

    private recordViolation(err: unknown): void {
        this.violation ??= err;
    }
}

function makeBootstrapMember(name: string): BootstrapMember {
    return { host: name as HostId, address: addressOf(name) };
}

function addressOf(name: string, port = PORT): Address {
    return { host: name, port };
}
