import { BootstrapMember, DEFAULT_LOG_TIMING, LogTiming, ReplicatedLog } from "../../consensus/index.js";
import { HostId, Incarnation } from "../../ids/index.js";
import { SilentLogger } from "../../logging/index.js";
import { MemoryDisk, MemoryFabric, MemoryHost, Random, VirtualClock } from "../../ports/index.js";
import { DEFAULT_PEER_TIMING, PeerRouter, servePeers } from "../../wire/index.js";
import { History, InvariantError, Recorder } from "../recorder/index.js";

const PORT = 7000;
/** Small, so that a short run rolls segments and sends snapshots. */
const FLEET_TIMING: LogTiming = {
    ...DEFAULT_LOG_TIMING,
    snapshotEntries: 40,
    trailingEntries: 5,
    segmentBytes: 1_000,
};
/** Below the drift that the lease allows for. */
const MOST_DRIFT = 0.009;
const LOOK_MS = 10;

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
    private broken: unknown;
    private nextCommand = 1;

    constructor(readonly random: Random, founders: readonly string[], private readonly timing = FLEET_TIMING) {
        this.fabric = new MemoryFabric(this.clock, () => Math.round(random.between(1, 4)));
        this.founders = founders.map(name => ({ host: name as HostId, address: addressOf(name) }));
        for (const name of founders) this.addHost(name);
    }

    addHost(name: string): FleetHost {
        const clockRate = 1 + this.random.between(-MOST_DRIFT, MOST_DRIFT);
        const host = { name: name as HostId, disk: new MemoryDisk(this.clock), clockRate, process: undefined };
        this.hosts.set(name, host);
        return host;
    }

    async startAll(): Promise<void> {
        for (const name of this.hosts.keys()) await this.start(name);
    }

    /** Starts the control process of a host. */
    async start(name: string): Promise<void> {
        const { disk, clockRate } = this.find(name);
        const host = new MemoryHost({ clock: this.clock, network: this.fabric.network(name), disk, clockRate });
        const recorder = new Recorder(this.history, err => this.noteBroken(err));
        const router = new PeerRouter();
        const self = { host: name as HostId, incarnation: String(this.clock.monotonic()) as Incarnation };
        const { clock, network } = host;
        const isFounder = this.founders.some(founder => founder.host === name);
        const member = { host: name as HostId, address: addressOf(name) };
        const log = await ReplicatedLog.open({
            network,
            clock,
            random: this.random,
            disk: host.disk,
            router,
            self,
            address: addressOf(name),
            bootstrap: isFounder ? this.founders : [...this.founders, member],
            stateMachine: recorder,
            timing: this.timing,
            logger: new SilentLogger(),
        });
        await servePeers({ network, clock, address: addressOf(name), self, router, timing: DEFAULT_PEER_TIMING });
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
    propose(process: FleetProcess): void {
        const command = `command-${this.nextCommand++}`;
        void process.log.propose(command).then(result => result.ifRight(() => this.acked.add(command)));
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
    async passUntil(condition: () => boolean, limitMs: number): Promise<void> {
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
        for (const command of this.acked) {
            const times = first.filter(applied => applied === command).length;
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
        if (holder) this.checkToken(holder);
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

function addressOf(name: string): { host: string; port: number; } {
    return { host: name, port: PORT };
}
