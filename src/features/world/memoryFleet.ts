import { Either } from "purify-ts";
import { DEFAULT_LOG_TIMING, LogTiming, ProposeError } from "../../consensus/index.js";
import { ControlProcess, CoverPolicy, NoPurchases, OfferReader, PurchasePolicy } from "../../control/index.js";
import { DEFAULT_EMULATOR_SETTINGS, EmulatorSettings, KeyWatch, StandInSet } from "../../emulator/index.js";
import { DEFAULT_ENTRY_LIMITS, EntryLimits, EntryProcess } from "../../entry/index.js";
import { HostId, Incarnation, ZoneId } from "../../ids/index.js";
import { SilentLogger } from "../../logging/index.js";
import { NoMetrics } from "../../metrics/index.js";
import {
    Address,
    DEFAULT_HTTP_LIMITS,
    MemoryDisk,
    MemoryFabric,
    MemoryWeb,
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

/** How a fleet in memory is laid out. */
export interface FleetLayout {
    readonly seed: number;
    readonly entries: number;
    readonly controls: number;
    readonly emulator: Partial<EmulatorSettings>;
    readonly limits: Partial<EntryLimits>;
    readonly windowMs: number;
    /** Undefined: nothing is bought or released. */
    readonly purchases: PurchaseLayout | undefined;
}

/** How a fleet buys and releases upstreams, where it differs from the defaults. */
export interface PurchaseLayout {
    readonly cover: Partial<CoverSettings>;
    readonly forecast: Partial<ForecastSettings>;
}

const DEFAULT_LAYOUT: FleetLayout = {
    seed: 1,
    entries: 2,
    controls: 3,
    emulator: {},
    limits: {},
    windowMs: 60_000,
    purchases: undefined,
};

/** Short leases, so that a scenario needs few seconds of virtual time. */
export const FLEET_LOG_TIMING: LogTiming = {
    ...DEFAULT_LOG_TIMING,
    heartbeatMs: 100,
    leaseMs: 1_000,
    electionSpreadMs: 500,
};
export const FLEET_VIEW_LEASE_MS = 3_000;
const PEER_TIMING = { heartbeatMs: 300, silenceMs: 1_200 };
const START_LIMIT_MS = 30_000;
const DRAIN_LIMIT_MS = 60_000;
const PORTS = { control: 7001, callers: 8080, upstreams: 8090, peers: 7000, admin: 7100, platform: 9000 } as const;
export const STAND_IN_HOST = "10.0.9.1";
export const CALLER_HOST = "10.0.8.1";

/** All processes of a deployment in one, under virtual time: what runs is the real code over in-memory ports. */
export class MemoryFleet {
    readonly clock = new VirtualClock();
    /** One-way latencies of links that are not as fast as all others, in milliseconds; by `from>to`. */
    readonly slowLinks = new Map<string, number>();
    readonly fabric = new MemoryFabric(
        this.clock,
        (from, to) => from === to ? 0 : this.slowLinks.get(`${from}>${to}`) ?? 1,
    );
    readonly web = new MemoryWeb(this.fabric);
    readonly keyWatch = new KeyWatch();
    readonly controls: (ControlProcess | undefined)[] = [];
    readonly entries: (EntryProcess | undefined)[] = [];
    readonly disks: MemoryDisk[] = [];
    readonly standIns: StandInSet;
    readonly layout: FleetLayout;
    private readonly random: SeededRandom;
    private starts = 0;

    constructor(layout: Partial<FleetLayout>) {
        this.layout = { ...DEFAULT_LAYOUT, ...layout };
        this.random = new SeededRandom(this.layout.seed);
        const ports = {
            clock: this.clock,
            random: new SeededRandom(this.layout.seed + 1),
            http: this.web.http(STAND_IN_HOST),
            keyWatch: this.keyWatch,
        };
        this.standIns = new StandInSet(ports, {
            ...DEFAULT_EMULATOR_SETTINGS,
            host: STAND_IN_HOST,
            platformPort: PORTS.platform,
            entries: this.entryNumbers().map(number => ({ host: entryHost(number), port: PORTS.upstreams })),
            ...this.layout.emulator,
        });
    }

    /** Starts everything and waits until it serves. */
    async start(): Promise<void> {
        for (const number of this.controlNumbers()) {
            this.disks.push(new MemoryDisk(this.clock));
            void this.startControl(number);
        }
        await this.run(this.standIns.startAll());
        await this.run(Promise.all(this.entryNumbers().map(number => this.startEntry(number))));
        await this.pass(1_000);
    }

    /** Lets virtual time pass. */
    pass(ms: number): Promise<void> {
        return this.clock.advance(ms);
    }

    /** Lets virtual time pass until the work is done. */
    run<Value>(work: Promise<Value>, limitMs = START_LIMIT_MS): Promise<Value> {
        return this.clock.runUntil(work, limitMs);
    }

    async startControl(number: number): Promise<void> {
        const host = controlHost(number);
        this.controls[number] = await ControlProcess.start({
            ...this.portsOf(host),
            disk: this.disks[number],
            self: this.identity(`control-${number}`),
            peers: { host, port: PORTS.control },
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
                address: { host: STAND_IN_HOST, port: PORTS.platform },
                checksFence: this.layout.emulator.platformChecksFence ?? true,
                purchasePolicy: this.makePolicy(host),
                purchasePeriodMs: 5_000,
            },
        });
    }

    async startEntry(number: number): Promise<void> {
        const host = entryHost(number);
        this.entries[number] = await EntryProcess.start({
            ...this.portsOf(host),
            metrics: new NoMetrics(),
            self: this.identity(`entry-${number}`),
            zone: "keflavik" as ZoneId,
            region: "sudurnes",
            callers: { host, port: PORTS.callers },
            upstreams: { host, port: PORTS.upstreams },
            peers: { host, port: PORTS.peers },
            admin: { host, port: PORTS.admin },
            controlPeers: this.controlNumbers().map(other => ({ host: controlHost(other), port: PORTS.control })),
            callerLimits: DEFAULT_HTTP_LIMITS,
            limits: { ...DEFAULT_ENTRY_LIMITS, ...this.layout.limits },
            timing: PEER_TIMING,
            windowMs: this.layout.windowMs,
            balancerMs: 500,
        });
    }

    /** Ends an entry as SIGKILL does: its connections break, nothing is flushed. */
    async killEntry(number: number): Promise<void> {
        const entry = this.entries[number];
        this.entries[number] = undefined;
        this.fabric.crash(entryHost(number));
        this.web.crash(entryHost(number));
        await entry?.close();
    }

    /** Stops an entry as planned; says whether no work was cut. */
    async stopEntry(number: number): Promise<boolean> {
        const entry = this.entries[number]!;
        const whole = await entry.drain(DRAIN_LIMIT_MS);
        this.entries[number] = undefined;
        await entry.close();
        return whole;
    }

    /** Ends a control process as a power cut does: unsynced bytes are lost. */
    async killControl(number: number): Promise<void> {
        const control = this.controls[number];
        this.controls[number] = undefined;
        this.fabric.crash(controlHost(number));
        this.disks[number].crash();
        await control?.close();
    }

    /** Cuts a control host off from all others, both ways, or joins it again. */
    isolateControl(number: number, isolated: boolean): void {
        this.fabric.isolate(controlHost(number), this.allHosts(), isolated);
    }

    /** Cuts an entry off from the control hosts only. */
    cutEntryFromControl(number: number, cut: boolean): void {
        const controls = this.controlNumbers().map(controlHost);
        this.fabric.isolate(entryHost(number), controls, cut);
    }

    /** Makes all connections that are open between two groups of hosts silent for good; new ones work. */
    forgetConnections(some: readonly string[], others: readonly string[]): void {
        for (const a of some) {
            for (const b of others) {
                if (a !== b) this.fabric.forget(a, b);
            }
        }
    }

    /** The number of the control process that holds the lease; -1 for none. */
    holder(): number {
        return this.controls.findIndex(control => control?.log.holdsLease());
    }

    /** Makes a change of the configuration through the holder and waits until it is in force. */
    async change(change: ConfigChange): Promise<unknown> {
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

    /** Ends everything, so that the test process can end. */
    async close(): Promise<void> {
        const ends = [...this.entries, ...this.controls].map(process => process?.close());
        await this.run(Promise.all([...ends, this.standIns.close()]));
    }

    allHosts(): string[] {
        return [
            ...this.controlNumbers().map(controlHost),
            ...this.entryNumbers().map(entryHost),
            STAND_IN_HOST,
            CALLER_HOST,
        ];
    }

    private makePolicy(host: string): PurchasePolicy {
        const { purchases } = this.layout;
        if (!purchases) return new NoPurchases();
        return new CoverPolicy({
            offers: new OfferReader(this.web.http(host), { host: STAND_IN_HOST, port: PORTS.platform }),
            decision: new CoverPurchase({ ...DEFAULT_COVER, ...purchases.cover }),
            forecast: { ...DEFAULT_FORECAST, ...purchases.forecast },
            logger: new SilentLogger(),
        });
    }

    private identity(name: string): { host: HostId; incarnation: Incarnation; } {
        return { host: name as HostId, incarnation: `${name}.${++this.starts}` as Incarnation };
    }

    private portsOf(host: string) {
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
