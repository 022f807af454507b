import { Either } from "purify-ts";
import { DEFAULT_LOG_TIMING, LogTiming, ProposeError } from "../../consensus/index.js";
import { ControlProcess, CoverPolicy, NoProvisioning, OfferReader, ProvisioningPolicy } from "../../control/index.js";
import { DEFAULT_EMULATOR_SETTINGS, Emulator, EmulatorSettings, KeyWatch } from "../../emulator/index.js";
import { DEFAULT_ENTRY_LIMITS, EntryLimits, EntryProcess } from "../../entry/index.js";
import { HostId, Incarnation, ZoneId } from "../../ids/index.js";
import { SilentLogger } from "../../logging/index.js";
import { NoMetrics } from "../../metrics/index.js";
import {
    Address,
    DEFAULT_HTTP_LIMITS,
    MemoryDisk,
    MemoryFabric,
    MemoryHttpFabric,
    SeededRandom,
    VirtualClock,
} from "../../ports/index.js";
import {
    CoverPurchase,
    CoverSettings,
    DEFAULT_COVER,
    DEFAULT_FORECAST,
    ForecastSettings,
} from "../../purchase/index.js";
import { ConfigChange } from "../../workspace/index.js";

/** Options of a `MemoryFleet`. */
export interface MemoryFleetLayout {
    readonly seed: number;
    /** Number of entry processes. */
    readonly entries: number;
    /** Number of control processes. */
    readonly controls: number;
    readonly emulator: Partial<EmulatorSettings>;
    readonly limits: Partial<EntryLimits>;
    /** Length of a usage window. */
    readonly windowMs: number;
    /** Undefined when upstreams are neither bought nor released. */
    readonly purchases: PurchaseOverrides | undefined;
}

/** Settings by which a fleet buys and releases upstreams, where they differ from the defaults. */
export interface PurchaseOverrides {
    readonly cover: Partial<CoverSettings>;
    readonly forecast: Partial<ForecastSettings>;
}

const DEFAULT_LAYOUT: MemoryFleetLayout = {
    seed: 1,
    entries: 2,
    controls: 3,
    emulator: {},
    limits: {},
    windowMs: 60_000,
    purchases: undefined,
};

/** Log timing with short leases, so that a scenario needs few seconds of virtual time. */
export const FLEET_LOG_TIMING: LogTiming = {
    ...DEFAULT_LOG_TIMING,
    heartbeatMs: 100,
    leaseMs: 1_000,
    electionSpreadMs: 500,
};
export const FLEET_VIEW_LEASE_MS = 3_000;
const PEER_TIMING = { heartbeatMs: 300, silenceMs: 1_200 };
const START_TIMEOUT_MS = 30_000;
const DRAIN_TIMEOUT_MS = 60_000;
const PORTS = {
    control: 7001,
    callers: 8080,
    upstreams: 8090,
    peers: 7000,
    relay: 7002,
    admin: 7100,
    platform: 9000,
} as const;
export const EMULATOR_HOST = "10.0.9.1";
export const CALLER_HOST = "10.0.8.1";

/** All processes of a deployment in one process: the production code over in-memory ports, under virtual time. */
export class MemoryFleet {
    readonly clock = new VirtualClock();
    /** One-way latencies in milliseconds of links that differ from the default of 1 ms, by `from>to`. */
    readonly linkLatenciesMs = new Map<string, number>();
    readonly fabric = new MemoryFabric(
        this.clock,
        (from, to) => from === to ? 0 : this.linkLatenciesMs.get(`${from}>${to}`) ?? 1,
    );
    readonly web = new MemoryHttpFabric(this.fabric);
    readonly keyWatch = new KeyWatch();
    readonly controls: (ControlProcess | undefined)[] = [];
    readonly entries: (EntryProcess | undefined)[] = [];
    readonly disks: MemoryDisk[] = [];
    readonly emulator: Emulator;
    readonly layout: MemoryFleetLayout;
    private readonly random: SeededRandom;
    private startCount = 0;

    constructor(layout: Partial<MemoryFleetLayout>) {
        this.layout = { ...DEFAULT_LAYOUT, ...layout };
        this.random = new SeededRandom(this.layout.seed);
        const ports = {
            clock: this.clock,
            random: new SeededRandom(this.layout.seed + 1),
            http: this.web.http(EMULATOR_HOST),
            keyWatch: this.keyWatch,
        };
        this.emulator = new Emulator(ports, {
            ...DEFAULT_EMULATOR_SETTINGS,
            host: EMULATOR_HOST,
            platformPort: PORTS.platform,
            entries: this.entryNumbers().map(number => ({ host: entryHost(number), port: PORTS.upstreams })),
            ...this.layout.emulator,
        });
    }

    /** Starts all processes and upstreams and waits until they serve. */
    async start(): Promise<void> {
        for (const number of this.controlNumbers()) {
            this.disks.push(new MemoryDisk(this.clock));
            void this.startControl(number);
        }
        await this.run(this.emulator.startAll());
        await this.run(Promise.all(this.entryNumbers().map(number => this.startEntry(number))));
        await this.advance(1_000);
    }

    /** Advances virtual time. */
    advance(ms: number): Promise<void> {
        return this.clock.advance(ms);
    }

    /** Advances virtual time until the work is done. */
    run<Value>(work: Promise<Value>, limitMs = START_TIMEOUT_MS): Promise<Value> {
        return this.clock.runUntil(work, limitMs);
    }

    async startControl(number: number): Promise<void> {
        const host = controlHost(number);
        this.controls[number] = await ControlProcess.start({
            ...this.makePorts(host),
            disk: this.disks[number],
            self: this.makeIdentity(`control-${number}`),
            peerAddress: { host, port: PORTS.control },
            members: this.controlNumbers().map(other => ({
                host: `control-${other}` as HostId,
                address: { host: controlHost(other), port: PORTS.control },
            })),
            logTiming: FLEET_LOG_TIMING,
            timing: PEER_TIMING,
            viewLeaseMs: FLEET_VIEW_LEASE_MS,
            windowMs: this.layout.windowMs,
            windowGraceMs: 2_000,
            platform: {
                address: { host: EMULATOR_HOST, port: PORTS.platform },
                checksFence: this.layout.emulator.platformChecksFence ?? true,
                purchasePolicy: this.makePurchasePolicy(host),
                purchasePeriodMs: 5_000,
            },
        });
    }

    async startEntry(number: number): Promise<void> {
        const host = entryHost(number);
        this.entries[number] = await EntryProcess.start({
            ...this.makePorts(host),
            metrics: new NoMetrics(),
            self: this.makeIdentity(`entry-${number}`),
            zone: "keflavik" as ZoneId,
            region: "sudurnes",
            callers: { host, port: PORTS.callers },
            upstreams: { host, port: PORTS.upstreams },
            peers: { host, port: PORTS.peers },
            relay: { host, port: PORTS.relay },
            admin: { host, port: PORTS.admin },
            controlPeers: this.controlNumbers().map(other => ({ host: controlHost(other), port: PORTS.control })),
            callerLimits: DEFAULT_HTTP_LIMITS,
            limits: { ...DEFAULT_ENTRY_LIMITS, ...this.layout.limits },
            timing: PEER_TIMING,
            windowMs: this.layout.windowMs,
            balancerMs: 500,
        });
    }

    /** Kills an entry as SIGKILL does: its connections break and nothing is flushed. */
    async killEntry(number: number): Promise<void> {
        const entry = this.entries[number];
        this.entries[number] = undefined;
        this.fabric.crash(entryHost(number));
        this.web.crash(entryHost(number));
        await entry?.close();
    }

    /** Drains and stops an entry. Returns whether no request was interrupted. */
    async stopEntry(number: number): Promise<boolean> {
        const entry = this.entries[number]!;
        const isClean = await entry.drain(DRAIN_TIMEOUT_MS);
        this.entries[number] = undefined;
        await entry.close();
        return isClean;
    }

    /** Kills a control process as a power cut does: unsynced bytes are lost. */
    async killControl(number: number): Promise<void> {
        const control = this.controls[number];
        this.controls[number] = undefined;
        this.fabric.crash(controlHost(number));
        this.disks[number].crash();
        await control?.close();
    }

    /** Isolates a control host from all others in both directions, or reconnects it. */
    isolateControl(number: number, isolated: boolean): void {
        this.fabric.isolate(controlHost(number), this.allHosts(), isolated);
    }

    /** Isolates an entry from the control hosts only, or reconnects it. */
    cutEntryFromControl(number: number, cut: boolean): void {
        const controls = this.controlNumbers().map(controlHost);
        this.fabric.isolate(entryHost(number), controls, cut);
    }

    /** Permanently drops all traffic on the open connections between two groups of hosts; new connections work. */
    blackholeConnections(group: readonly string[], otherGroup: readonly string[]): void {
        for (const a of group) {
            for (const b of otherGroup) {
                if (a !== b) this.fabric.blackholeConnections(a, b);
            }
        }
    }

    /** Returns the number of the control process that holds the lease; -1 for none. */
    holder(): number {
        return this.controls.findIndex(control => control?.log.holdsLease());
    }

    /** Applies a configuration change through the holder and waits until it is in force. */
    async applyChange(change: ConfigChange): Promise<unknown> {
        const control = this.controls[this.holder()];
        if (!control) throw new Error("no control process holds the lease");
        const result: Either<ProposeError, unknown> = await this.run(control.log.propose(change));
        await this.run(control.service.awaitInForce(control.state.revision, 10_000));
        return result.unsafeCoerce();
    }

    entryAddress(number: number): Address {
        return { host: entryHost(number), port: PORTS.callers };
    }

    entryNumbers(): number[] {
        return range(this.layout.entries);
    }

    controlNumbers(): number[] {
        return range(this.layout.controls);
    }

    /** Closes all processes and upstreams, so that the test process can exit. */
    async close(): Promise<void> {
        const ends = [...this.entries, ...this.controls].map(process => process?.close());
        await this.run(Promise.all([...ends, this.emulator.close()]));
    }

    allHosts(): string[] {
        return [
            ...this.controlNumbers().map(controlHost),
            ...this.entryNumbers().map(entryHost),
            EMULATOR_HOST,
            CALLER_HOST,
        ];
    }

    private makePurchasePolicy(host: string): ProvisioningPolicy {
        const { purchases } = this.layout;
        if (!purchases) return new NoProvisioning();
        return new CoverPolicy({
            offers: new OfferReader(this.web.http(host), this.clock, { host: EMULATOR_HOST, port: PORTS.platform }, {
                logger: new SilentLogger(),
            }),
            offerPolicy: new CoverPurchase({ ...DEFAULT_COVER, ...purchases.cover }),
            forecast: { ...DEFAULT_FORECAST, ...purchases.forecast },
            logger: new SilentLogger(),
        });
    }

    private makeIdentity(name: string): { host: HostId; incarnation: Incarnation; } {
        return { host: name as HostId, incarnation: `${name}.${++this.startCount}` as Incarnation };
    }

    private makePorts(host: string) {
        return {
            clock: this.clock,
            random: new SeededRandom(this.random.integer(1, 1_000_000)),
            network: this.fabric.network(host),
            http: this.web.http(host),
            logger: new SilentLogger(),
        };
    }
}

export function controlHost(number: number): string {
    return `10.0.0.${number + 1}`;
}

export function entryHost(number: number): string {
    return `10.0.1.${number + 1}`;
}

function range(count: number): number[] {
    return Array.from({ length: count }, (_, number) => number);
}
