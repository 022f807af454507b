import { DEFAULT_LOG_TIMING } from "../../consensus/index.js";
import { ControlProcess } from "../../control/index.js";
import { EmulatedCallUpstream, EmulatedCallUpstreamOptions } from "../../emulator/index.js";
import { DEFAULT_ENTRY_LIMITS, EntryProcess, startQueueHost } from "../../entry/index.js";
import { HostId, Incarnation, PoolId, ZoneId } from "../../ids/index.js";
import { Logger, SilentLogger } from "../../logging/index.js";
import { NoMetrics } from "../../metrics/index.js";
import { CALL_HEADERS, CallDialect, NativeDialect, RepeatLimits } from "../../passthrough/index.js";
import {
    Address,
    DEFAULT_HTTP_LIMITS,
    findHeader,
    MemoryDisk,
    MemoryFabric,
    MemoryHttpFabric,
    PathLoss,
    SeededRandom,
    VirtualClock,
} from "../../ports/index.js";
import { checkDocument } from "../../routing/index.js";
import { DEFAULT_REGISTRY_TIMING } from "../../upstream/index.js";
import { ZoneCommand } from "../../zone/index.js";
import { PausableClock } from "../pausableClock/index.js";
import { CALL_TIMEOUT_MS, TestCall, TestCaller, TestReply } from "../testCaller/index.js";

const PORTS = { control: 7001, callers: 8080, peers: 7000, relay: 7002, upstream: 9000 } as const;
const UPSTREAM_HOST_PREFIX = "10.0.9.";
const PEER_TIMING = { heartbeatMs: 500, silenceMs: 1_300 };
const LOG_TIMING = { ...DEFAULT_LOG_TIMING, heartbeatMs: 250, leaseMs: 1_200, electionSpreadMs: 600 };
const VIEW_LEASE_MS = 4_000;
const ANNOUNCEMENT_INTERVAL_MS = 1_200;
const REGISTRY_TIMING = { ...DEFAULT_REGISTRY_TIMING, silentAfterMs: 4 * ANNOUNCEMENT_INTERVAL_MS };
const SEED_COUNT = 3;
/** Time in which a host that goes on reads what arrived while it stood still, in milliseconds. */
const THAW_READ_MS = 2;
const START_TIMEOUT_MS = 30_000;
/** Those of a deployment with a handful of entries. */
const REPEAT_LIMITS: RepeatLimits = { ratio: 0.2, windowMs: 10_000, slack: 54 };

/** Options of a `RoutedFleet`. */
export interface RoutedFleetOptions {
    readonly seed: number;
    /** Number of control processes. */
    readonly controls: number;
    /** Number of entry processes. */
    readonly entries: number;
    /** Options of each emulated upstream, where they differ from the defaults. */
    readonly upstreams: readonly Partial<EmulatedCallUpstreamOptions>[];
    /** Whether control hosts own the queues of pools; otherwise entries do. */
    readonly queueHosts: boolean;
    /** The zones that may be evacuated; undefined for any. */
    readonly zones?: readonly string[];
    /** Receives the log lines of all processes; undefined: they are dropped. */
    readonly logger?: Logger;
    /** Limits on retries of a pool, for all entries together. */
    readonly repeats: RepeatLimits;
    /** Of the entries; undefined: our own. */
    readonly dialect?: CallDialect;
    /** The zone of each entry; undefined: all are in the upstreams' zone. */
    readonly entryZones?: readonly string[];
}

/**
 * Control processes, entries and emulated upstreams that serve the routes of a fleet document: the production code over in-memory
 * ports, under virtual time. Entries and control processes start with the addresses of three control processes as seeds.
 *
 * @example
 * const fleet = new RoutedFleet({ entries: 2 });
 * await fleet.start(document);
 * const reply = await fleet.call({ entry: 0, path: "/orders/1" });
 */
export class RoutedFleet {
    readonly clock = new VirtualClock();
    readonly fabric = new MemoryFabric(this.clock, (from, to) => from === to ? 0 : 1);
    readonly web = new MemoryHttpFabric(this.fabric);
    readonly controls: (ControlProcess | undefined)[] = [];
    readonly entries: (EntryProcess | undefined)[] = [];
    /** The queue owners that run on control hosts, by control number. */
    readonly queues: (EntryProcess | undefined)[] = [];
    readonly disks: MemoryDisk[] = [];
    readonly upstreams: EmulatedCallUpstream[] = [];
    /** Times at which each host was started, by its address, in milliseconds on the monotonic clock. */
    readonly hostStarts = new Map<string, number[]>();
    /** Times at which callers sent calls, in milliseconds on the monotonic clock. */
    readonly callTimes: number[] = [];
    readonly layout: RoutedFleetOptions;
    private readonly random: SeededRandom;
    private readonly caller = new TestCaller(this.clock, this.web);
    private readonly announcementsAbort = new AbortController();
    private readonly frozenControls = new Set<number>();
    private readonly hostClocks = new Map<string, PausableClock>();
    private startCount = 0;

    constructor(layout: Partial<RoutedFleetOptions> = {}) {
        this.layout = {
            seed: 1,
            controls: 5,
            entries: 2,
            upstreams: [{}, {}],
            queueHosts: false,
            repeats: REPEAT_LIMITS,
            ...layout,
        };
        this.random = new SeededRandom(this.layout.seed);
    }

    /** Starts all processes and upstreams, puts a document in force and waits until it is served. */
    async start(document: unknown): Promise<void> {
        for (let number = 0; number < this.layout.controls; number++) {
            this.disks.push(this.makeDisk());
            await this.run(this.startControl(number, true));
        }
        for (let number = 0; number < this.layout.entries; number++) await this.run(this.startEntry(number));
        for (const [number, options] of this.layout.upstreams.entries()) {
            this.upstreams.push(await EmulatedCallUpstream.start(this.makeUpstreamOptions(number, options)));
        }
        void this.announcePeriodically();
        await this.advance(3_000);
        await this.replaceDocument(document);
        await this.advance(500);
    }

    /** Advances virtual time. */
    advance(ms: number): Promise<void> {
        return this.clock.advance(ms);
    }

    /** Advances virtual time until the work is done. */
    run<Value>(work: Promise<Value>, limitMs = START_TIMEOUT_MS): Promise<Value> {
        return this.clock.runUntil(work, limitMs);
    }

    async startControl(number: number, mayBootstrap = false): Promise<void> {
        const host = controlAddress(number);
        this.recordStart(host.host);
        this.controls[number] = await ControlProcess.start({
            ...this.makePorts(host.host),
            disk: this.disks[number],
            self: this.makeIdentity(`control-${number}`),
            peerAddress: host,
            members: this.seedAddresses().map(address => ({ address })),
            logTiming: LOG_TIMING,
            timing: PEER_TIMING,
            viewLeaseMs: VIEW_LEASE_MS,
            windowMs: 5_000,
            windowGraceMs: 5_000,
            platform: undefined,
            routing: {
                seeds: this.seedAddresses(),
                voters: this.layout.controls,
                mayBootstrap: mayBootstrap && number < SEED_COUNT,
                startsWindowMs: 5_000,
                maxStartsReportWaitMs: 6_000,
                silentAfterMs: 4 * ANNOUNCEMENT_INTERVAL_MS,
                zones: this.layout.zones as readonly ZoneId[] | undefined,
            },
        });
        if (this.layout.queueHosts) this.queues[number] = await this.startQueueOwner(number);
    }

    private startQueueOwner(number: number): Promise<EntryProcess> {
        const { host } = controlAddress(number);
        return startQueueHost({
            ...this.makePorts(host),
            metrics: new NoMetrics(),
            self: this.makeIdentity(`control-${number}`),
            zone: "vogar" as ZoneId,
            region: "sudurnes",
            peers: controlAddress(number),
            sharedRouter: this.controls[number]!.router,
            controlPeers: this.seedAddresses(),
            dialect: new NativeDialect(),
            timing: PEER_TIMING,
            registryTiming: REGISTRY_TIMING,
            windowMs: 5_000,
        });
    }

    /** Returns the number of the control host that owns a pool's queue according to an entry; -1 when an entry owns it. */
    queueOwner(pool: PoolId, entry = 0): number {
        const owner = this.entries[entry]!.dispatcher.ownerOf(pool);
        return Array.from({ length: this.layout.controls }, (_, number) => `control-${number}`).indexOf(owner);
    }

    /** Isolates a control host from all entries and upstreams, or reconnects it. */
    cutControl(number: number, isCut: boolean): void {
        const others = this.entries.map((_, entry) => entryHost(entry));
        this.fabric.isolate(controlAddress(number).host, [
            ...others,
            ...this.upstreams.map((_, index) => `${UPSTREAM_HOST_PREFIX}${index + 1}`),
        ], isCut);
    }

    /** Isolates a control host from some entries; all other hosts still reach it. */
    cutControlFromEntries(number: number, entries: readonly number[]): void {
        this.fabric.isolate(controlAddress(number).host, entries.map(entry => entryHost(entry)), true);
    }

    /** Reconnects a control host to entries from which it was isolated. */
    restoreControlToEntries(number: number, entries: readonly number[]): void {
        this.fabric.isolate(controlAddress(number).host, entries.map(entry => entryHost(entry)), false);
    }

    /** Takes an entry's paths to upstreams away; callers, other entries and control hosts still reach it. */
    loseUpstreamPaths(entry: number, loss: PathLoss, upstreams = this.upstreams.keys()): void {
        for (const upstream of upstreams) this.fabric.losePath(entryHost(entry), upstreamHost(upstream), loss);
    }

    /** Gives an entry its paths to all upstreams back. */
    restoreUpstreamPaths(entry: number): void {
        for (const upstream of this.upstreams.keys()) this.fabric.restorePath(entryHost(entry), upstreamHost(upstream));
    }

    /** Isolates an entry from all other entries and from control hosts, or reconnects it; callers and upstreams still reach it. */
    isolateEntry(number: number, isCut: boolean): void {
        const entries = this.entries.map((_, entry) => entryHost(entry));
        const controls = this.controls.map((_, control) => controlAddress(control).host);
        const others = [...entries, ...controls].filter(host => host !== entryHost(number));
        this.fabric.isolate(entryHost(number), others, isCut);
    }

    /** Isolates all entries from each other and from control hosts, or reconnects them; they still reach upstreams. */
    cutEntriesApart(isCut = true): void {
        const entries = this.entries.map((_, entry) => entryHost(entry));
        const controls = this.controls.map((_, number) => controlAddress(number).host);
        for (const host of entries) this.fabric.isolate(host, [...entries, ...controls], isCut);
    }

    /** Stops an entry as SIGSTOP does, or lets it go on: it finds what arrived meanwhile, and what it sent before arrives then. */
    freezeEntry(number: number, isFrozen: boolean): void {
        this.freezeHost(entryHost(number), isFrozen);
    }

    /** Stops a control host as SIGSTOP does, or lets it go on. */
    freezeControl(number: number, isFrozen: boolean): void {
        if (isFrozen) this.frozenControls.add(number);
        else this.frozenControls.delete(number);
        this.freezeHost(controlAddress(number).host, isFrozen);
    }

    private freezeHost(host: string, isFrozen: boolean): void {
        if (isFrozen) {
            this.fabric.freeze(host);
            this.clockOf(host).pause();
        }
        else {
            // A process that goes on reads what has arrived before its timers run.
            this.fabric.thaw(host);
            this.clock.after(THAW_READ_MS, () => this.clockOf(host).resume());
        }
    }

    private clockOf(host: string): PausableClock {
        const clock = this.hostClocks.get(host) ?? new PausableClock(this.clock);
        this.hostClocks.set(host, clock);
        return clock;
    }

    async startEntry(number: number): Promise<void> {
        const host = entryHost(number);
        this.recordStart(host);
        this.entries[number] = await EntryProcess.start({
            ...this.makePorts(host),
            metrics: new NoMetrics(),
            self: this.makeIdentity(`entry-${number}`),
            zone: (this.layout.entryZones?.[number] ?? "vogar") as ZoneId,
            region: "sudurnes",
            peers: { host, port: PORTS.peers },
            relay: { host, port: PORTS.relay },
            controlPeers: this.seedAddresses(),
            callerLimits: DEFAULT_HTTP_LIMITS,
            limits: DEFAULT_ENTRY_LIMITS,
            timing: PEER_TIMING,
            registryTiming: REGISTRY_TIMING,
            windowMs: 5_000,
            balancerMs: 500,
            routes: {
                callers: { host, port: PORTS.callers },
                dialect: this.layout.dialect ?? new NativeDialect(),
                repeats: this.layout.repeats,
                startsWindowMs: 5_000,
            },
        });
    }

    /** Kills an entry as SIGKILL does. */
    async killEntry(number: number): Promise<void> {
        const entry = this.entries[number];
        this.entries[number] = undefined;
        this.fabric.crash(entryHost(number));
        this.web.crash(entryHost(number));
        await entry?.close();
    }

    /** Kills a control process as a power cut does: unsynced bytes are lost. */
    async killControl(number: number): Promise<void> {
        const control = this.controls[number];
        const queueOwner = this.queues[number];
        this.controls[number] = undefined;
        this.queues[number] = undefined;
        this.fabric.crash(controlAddress(number).host);
        this.disks[number].crash();
        await Promise.all([control?.close(), queueOwner?.close()]);
    }

    makeDisk(): MemoryDisk {
        return new MemoryDisk(this.clock);
    }

    /** Replaces a control host's disk by an empty one, as after a disk failure. */
    wipeDisk(number: number): void {
        this.disks[number] = this.makeDisk();
    }

    /** Returns the number of the control process that holds the lease; -1 for none. */
    holder(): number {
        return this.controls.findIndex(control => control?.log.holdsLease());
    }

    /** Replaces the fleet document through one control process. Returns whether it was accepted. */
    async replaceDocument(document: unknown, through = 0): Promise<boolean> {
        const { documents } = this.controls[through]!.routing!;
        const source = Buffer.from(JSON.stringify(document));
        const checked = checkDocument(document).unsafeCoerce();
        const outcome = await this.run(documents.replace({ kind: "document.replace", document: checked, source }));
        return outcome.isRight();
    }

    /** Evacuates or restores a zone through one control process. Returns whether the order was accepted. */
    async submitZoneOrder(kind: ZoneCommand["kind"], zone: string, through = 0): Promise<boolean> {
        const { zones } = this.controls[through]!.routing!;
        const outcome = await this.run(zones.order({ kind, zone: zone as ZoneId }));
        return outcome.isRight();
    }

    /** Sends a call and advances time until its response is complete. */
    call(call: TestCall): Promise<TestReply> {
        return this.run(this.startCall(call), CALL_TIMEOUT_MS);
    }

    /** Sends a call without advancing time; the response arrives as the test advances it. */
    startCall(call: TestCall): Promise<TestReply> {
        this.callTimes.push(this.clock.monotonic());
        return this.caller.send({ host: entryHost(call.entry), port: PORTS.callers }, call);
    }

    /** Starts a further upstream. Returns its number. */
    async addUpstream(options: Partial<EmulatedCallUpstreamOptions>): Promise<number> {
        const number = this.upstreams.length;
        this.upstreams.push(await EmulatedCallUpstream.start(this.makeUpstreamOptions(number, options)));
        await this.announce(number, "ready", this.liveControl());
        return number;
    }

    /** Has an upstream announce that it leaves, and end after a time, in milliseconds, with all calls that still run there. */
    async retireUpstream(number: number, afterMs: number): Promise<void> {
        await this.announce(number, "leaving", this.liveControl());
        this.clock.after(afterMs, () => void this.upstreams[number].crash());
    }

    /** Returns the id of the upstream that signed a response. */
    upstreamOf({ headers }: TestReply): string | undefined {
        return findHeader(headers, CALL_HEADERS.signature)?.split("/")[0];
    }

    async close(): Promise<void> {
        this.announcementsAbort.abort();
        const ends = [...this.entries, ...this.queues, ...this.controls].map(process => process?.close());
        await this.run(Promise.all([...ends, ...this.upstreams.map(upstream => upstream.close())]));
    }

    /** Sends an upstream's state announcement to one control process. Returns whether it was accepted. */
    announce(upstream: number, state: "ready" | "leaving" | "gone", through = 0): Promise<boolean> {
        const { publisher } = this.controls[through]!.routing!;
        return this.run(publisher.receive(this.upstreams[upstream].announce(state)));
    }

    private liveControl(): number {
        return this.controls.findIndex((_, number) => this.isAnswering(number));
    }

    /** Whether a control process runs and does not stand still: upstreams announce themselves to another one otherwise. */
    private isAnswering(number: number): boolean {
        return this.controls[number] !== undefined && !this.frozenControls.has(number);
    }

    private async announcePeriodically(): Promise<void> {
        while (!this.announcementsAbort.signal.aborted) {
            for (const [number, upstream] of this.upstreams.entries()) {
                if (!upstream.isUp) continue;
                const live = this.controls.filter((_, control) => this.isAnswering(control));
                void live[number % live.length]?.routing!.publisher.receive(upstream.announce());
            }
            await this.clock.sleep(ANNOUNCEMENT_INTERVAL_MS, this.announcementsAbort.signal);
        }
    }

    private makeUpstreamOptions(
        number: number,
        options: Partial<EmulatedCallUpstreamOptions>,
    ): EmulatedCallUpstreamOptions {
        const host = `${UPSTREAM_HOST_PREFIX}${number + 1}`;
        return {
            clock: this.clock,
            http: this.web.http(host),
            id: `upstream-${number}`,
            address: { host, port: PORTS.upstream },
            pool: "ledger",
            zone: "vogar",
            slots: 4,
            workMs: 20,
            events: 0,
            gapMs: 20,
            ...options,
        };
    }

    private recordStart(host: string): void {
        this.hostStarts.set(host, [...this.hostStarts.get(host) ?? [], this.clock.monotonic()]);
    }

    private seedAddresses(): Address[] {
        return Array.from(
            { length: Math.min(SEED_COUNT, this.layout.controls) },
            (_, number) => controlAddress(number),
        );
    }

    private makeIdentity(name: string): { host: HostId; incarnation: Incarnation; } {
        return { host: name as HostId, incarnation: `${name}.${++this.startCount}` as Incarnation };
    }

    private makePorts(host: string) {
        return {
            clock: this.clockOf(host),
            random: new SeededRandom(this.random.integer(1, 1_000_000)),
            network: this.fabric.network(host),
            http: this.web.http(host),
            logger: this.layout.logger ?? new SilentLogger(),
        };
    }
}

function entryHost(entry: number): string {
    return `10.0.1.${entry + 1}`;
}

function upstreamHost(upstream: number): string {
    return `${UPSTREAM_HOST_PREFIX}${upstream + 1}`;
}

/** Returns the address of a control process. */
export function controlAddress(number: number): Address {
    return { host: `10.0.0.${number + 1}`, port: PORTS.control };
}
