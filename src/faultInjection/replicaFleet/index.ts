import { BootstrapMember, DEFAULT_LOG_TIMING, LogTiming, ReplicatedLog } from "../../consensus/index.js";
import { HostId, Incarnation, LogIndex } from "../../ids/index.js";
import { SilentLogger } from "../../logging/index.js";
import {
    Address,
    LatencyBetween,
    MemoryDisk,
    MemoryFabric,
    MemoryHost,
    Random,
    VirtualClock,
} from "../../ports/index.js";
import { DEFAULT_PEER_TIMING, PeerRouter, servePeers } from "../../wire/index.js";
import { History, InvariantError, Recorder } from "../recorder/index.js";

const PORT = 7000;
/** Small, so that a short run rolls segments and sends snapshots. */
export const FLEET_TIMING: LogTiming = {
    ...DEFAULT_LOG_TIMING,
    snapshotEntries: 40,
    trailingEntries: 5,
    segmentBytes: 1_000,
};
/** Below the drift that the lease allows for. */
const MOST_DRIFT = 0.009;
/** How long a fleet without faults may take to recover. */
const SETTLE_MS = 120_000;
const LOOK_MS = 20;

/** One host: its disk lasts, its processes come and go. */
export interface FleetHost {
    readonly name: HostId;
    readonly disk: MemoryDisk;
    readonly clockRate: number;
    process: FleetProcess | undefined;
}

/** One run of the control process. */
export interface FleetProcess {
    readonly host: MemoryHost;
    readonly log: ReplicatedLog;
    readonly recorder: Recorder;
}

/**
 * Hosts with a replica each, under virtual time. Looks at the invariants while time passes.
 *
 * @example
 * const fleet = new ReplicaFleet(new SeededRandom(1), ["a", "b", "c"]);
 * await fleet.startAll();
 */
export class ReplicaFleet {
    readonly clock = new VirtualClock();
    readonly fabric: MemoryFabric;
    readonly hosts = new Map<string, FleetHost>();
    readonly acked = new Set<string>();
    private readonly history = new History();
    private readonly tokens = new Map<number, string>();
    private readonly founders: readonly BootstrapMember[];
    private readonly appliedSeen = new Map<FleetProcess, number>();
    /** One-way latency, in milliseconds; a test may replace it. */
    latency: LatencyBetween = () => Math.round(this.random.between(1, 4));
    private lastAcked = 0 as LogIndex;
    private broken: unknown;
    private nextCommand = 1;

    constructor(readonly random: Random, founders: readonly string[], private readonly timing = FLEET_TIMING) {
        this.fabric = new MemoryFabric(this.clock, (from, to) => this.latency(from, to));
        this.founders = founders.map(name => ({ host: name as HostId, address: addressOf(name) }));
        for (const name of founders) this.addHost(name);
    }

    addHost(name: string, clockRate = 1 + this.random.between(-MOST_DRIFT, MOST_DRIFT)): FleetHost {
        const host = { name: name as HostId, disk: new MemoryDisk(this.clock), clockRate, process: undefined };
        this.hosts.set(name, host);
        return host;
    }

    async startAll(): Promise<void> {
        for (const name of this.hosts.keys()) await this.start(name);
    }

    /** Starts the control process of a host. */
    async start(name: string, port = PORT): Promise<void> {
        const { disk, clockRate } = this.find(name);
        const host = new MemoryHost({ clock: this.clock, network: this.fabric.network(name), disk, clockRate });
        const recorder = new Recorder(this.history, err => this.noteBroken(err));
        const router = new PeerRouter();
        const self = { host: name as HostId, incarnation: String(this.clock.monotonic()) as Incarnation };
        const { clock, network } = host;
        const isFounder = this.founders.some(founder => founder.host === name);
        const address = addressOf(name, port);
        const member = { host: name as HostId, address };
        const log = await ReplicatedLog.open({
            network,
            clock,
            random: this.random,
            disk: host.disk,
            router,
            self,
            address,
            bootstrap: isFounder ? this.founders : [...this.founders, member],
            stateMachine: recorder,
            timing: this.timing,
            logger: new SilentLogger(),
        });
        await servePeers({ network, clock, address, self, router, timing: DEFAULT_PEER_TIMING });
        log.onHolderChange(() => this.notice(() => this.checkInvariants()));
        log.start();
        this.find(name).process = { host, log, recorder };
    }

    /** Kills the control process of a host; unsynced bytes are lost but for the first few of each file. */
    crash(name: string, keptUnsynced = 0): void {
        const host = this.find(name);
        host.process?.host.kill();
        host.process = undefined;
        this.fabric.crash(name);
        host.disk.crash(keptUnsynced);
    }

    /** Kills the process and takes its disk. */
    wipe(name: string): void {
        this.crash(name);
        this.find(name).disk.wipe();
    }

    find(name: string): FleetHost {
        return this.hosts.get(name)!;
    }

    /** The processes that are up, frozen ones too. */
    processes(): FleetProcess[] {
        return [...this.hosts.values()].flatMap(({ process }) => process ? [process] : []);
    }

    /** The one that holds the lease now. */
    holder(): FleetHost | undefined {
        return [...this.hosts.values()].find(({ process }) => process?.log.holdsLease());
    }

    /** Proposes a new command; notes it when it is accepted. */
    propose(process: FleetProcess, padding = ""): void {
        const command = `command-${this.nextCommand++}${padding}`;
        void process.log.propose(command).then(result => result.ifRight(() => this.noteAcked(command)));
    }

    /** Proposes to the holder, and lets time pass until all is accepted. */
    async proposeMany(count: number, padding = ""): Promise<void> {
        const wanted = this.acked.size + count;
        for (let done = 0; done < count; done++) this.propose(this.holder()!.process!, padding);
        await this.passUntil(() => this.acked.size >= wanted);
    }

    /** Ends cuts, freezes, and what ails the disks. Hosts that are down stay so. */
    endFaults(): void {
        this.healAll();
        this.thawAll();
        this.mendDisks();
    }

    healAll(): void {
        const names = [...this.hosts.keys()];
        for (const name of names) this.fabric.isolate(name, names, false);
    }

    thawAll(): void {
        for (const { host } of this.processes()) host.thaw();
    }

    mendDisks(): void {
        for (const { disk } of this.hosts.values()) {
            disk.syncMs = 0;
            disk.capacity = Number.POSITIVE_INFINITY;
        }
    }

    /** Lets time pass until all hosts are members, a new command is accepted, and all have applied the same; checks that. */
    async converge(): Promise<void> {
        await this.passUntil(() => this.isWhole());
        await this.proposeAgainUntilAccepted();
        await this.passUntil(() => new Set(this.processes().map(({ log }) => log.appliedIndex())).size === 1);
        this.checkAlike();
    }

    /** A holder that was cut off until now may still step down and lose what it was given. */
    private async proposeAgainUntilAccepted(): Promise<void> {
        const before = this.acked.size;
        const end = this.clock.monotonic() + SETTLE_MS;
        while (this.acked.size === before) {
            if (this.clock.monotonic() >= end) throw new InvariantError("nothing is accepted any more");
            const holder = this.holder();
            if (holder) this.propose(holder.process!);
            await this.pass(1_000);
        }
    }

    /** Lets time pass, looking at the invariants every few milliseconds. */
    async pass(ms: number): Promise<void> {
        const end = this.clock.monotonic() + ms;
        while (this.clock.monotonic() < end) {
            await this.clock.advance(Math.min(LOOK_MS, end - this.clock.monotonic()));
            this.checkInvariants();
        }
    }

    /** Lets time pass until the condition holds. */
    async passUntil(condition: () => boolean, limitMs = SETTLE_MS): Promise<void> {
        const end = this.clock.monotonic() + limitMs;
        while (!condition()) {
            if (this.clock.monotonic() >= end) throw new InvariantError(`no progress within ${limitMs} ms`);
            await this.pass(LOOK_MS);
        }
    }

    /** True when the holder's members are the hosts' present data folders, all voters, by a committed entry. */
    isWhole(): boolean {
        const members = this.holder()?.process?.log.committedConfiguration().members ?? [];
        const stores = [...this.hosts.values()].map(({ process }) => process?.log.storeId);
        return members.length === stores.length
            && members.every(({ role, storeId }) => role === "voter" && stores.includes(storeId));
    }

    /** Checks that each replica has applied the same, with each accepted command in it once. */
    checkAlike(): void {
        const [first, ...others] = this.processes().map(({ recorder }) => recorder.commands);
        for (const other of others) {
            if (other.join() !== first.join()) throw new InvariantError("replicas applied different sequences");
        }
        const counts = new Map<string, number>();
        for (const command of first) counts.set(command, (counts.get(command) ?? 0) + 1);
        for (const command of this.acked) {
            const times = counts.get(command) ?? 0;
            if (times !== 1) throw new InvariantError(`${command} was accepted and is applied ${times} times`);
        }
    }

    checkInvariants(): void {
        if (this.broken) throw this.broken;
        const holders = this.processes().filter(({ log }) => log.holdsLease());
        if (holders.length > 1) throw new InvariantError("two hosts hold the lease");
        for (const process of this.processes()) {
            const applied = process.log.appliedIndex();
            if (applied < (this.appliedSeen.get(process) ?? 0)) throw new InvariantError("the applied index went back");
            this.appliedSeen.set(process, applied);
        }
        const holder = this.holder();
        if (!holder) return;
        this.checkToken(holder);
        // Whoever acts must have seen all that was accepted, or it acts twice.
        if (holder.process!.log.appliedIndex() < this.lastAcked) throw new InvariantError("the holder is behind");
    }

    private noteAcked(command: string): void {
        this.acked.add(command);
        const index = this.history.indexOf(command);
        if (index === undefined) this.noteBroken(new InvariantError(`${command} is accepted and applied nowhere`));
        this.lastAcked = Math.max(this.lastAcked, index ?? 0) as LogIndex;
    }

    /** Runs a check inside a replica's own step, which it must not disturb. */
    private notice(check: () => void): void {
        try {
            check();
        }
        catch (err) {
            this.noteBroken(err);
        }
    }

    private checkToken({ name, process }: FleetHost): void {
        const token = process!.log.fencingToken();
        const newest = Math.max(...this.tokens.keys());
        if (token < newest) throw new InvariantError(`token ${token} of ${name} is older than ${newest}`);
        if ((this.tokens.get(token) ?? name) !== name) throw new InvariantError(`two hosts had token ${token}`);
        this.tokens.set(token, name);
    }

    private noteBroken(err: unknown): void {
        this.broken ??= err;
    }
}

function addressOf(name: string, port = PORT): Address {
    return { host: name, port };
}
