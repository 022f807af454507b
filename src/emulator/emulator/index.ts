import { Address } from "../../ports/index.js";
import { Offer } from "../../protocol/index.js";
import { EmulatorPorts } from "../_lib/emulatorPorts.js";
import { AnnouncerConfig } from "../announcer/index.js";
import { ChatLedger } from "../chatLedger/index.js";
import { EmulatedEngine, EngineStats } from "../emulatedEngine/index.js";
import { EmulatedPlatform, PlatformStats } from "../emulatedPlatform/index.js";
import { EmulatedService, ServiceStats } from "../emulatedService/index.js";
import { EmulatorSettings } from "../emulatorSettings/index.js";
import { KeyLeakCounts } from "../keyWatch/index.js";
import { RunLedger } from "../runLedger/index.js";
import { StartRequest, UpstreamProvisioner } from "../upstreamProvisioner/index.js";
import { UpstreamIdentity } from "../upstreamState/index.js";

/** Statistics of all emulated upstreams and the platform. */
export interface EmulatorStats {
    readonly engines: readonly EngineStats[];
    readonly services: readonly ServiceStats[];
    readonly platform: PlatformStats;
    /** Tokens produced by all engines, also before restarts. */
    readonly tokens: number;
    /** Number of different calls of plain services that ran. */
    readonly calls: number;
    /** Calls of plain services that ran more than once, as `service digest`. */
    readonly doubledCalls: readonly string[];
    readonly keys: KeyLeakCounts;
}

const WEIGHT_FILE_BYTES = 65_536;

/**
 * The emulated platform with its engines and plain services, built from the emulator's settings.
 *
 * @example
 * const emulator = new Emulator(ports, settings);
 * const platformAddress = await emulator.startAll();
 */
export class Emulator extends UpstreamProvisioner {
    readonly platform: EmulatedPlatform;
    readonly runLedger = new RunLedger();
    readonly chatLedger = new ChatLedger();
    readonly engines = new Map<string, EmulatedEngine>();
    readonly services = new Map<string, EmulatedService>();
    private entries: readonly Address[];
    /** Tokens that engines had produced before they were restarted. */
    private tokensBeforeRestarts = 0;
    /** Number of upstreams started so far. */
    private startCount = 0;

    /**
     * @param ports - Clock, random numbers, HTTP and key watch, shared by all.
     * @param settings - Numbers, timing, zones and prices of the upstreams, and the platform's settings.
     */
    constructor(private readonly ports: EmulatorPorts, private readonly settings: EmulatorSettings) {
        super();
        this.entries = settings.entries;
        this.platform = new EmulatedPlatform(ports, this, {
            address: { host: settings.host, port: settings.platformPort },
            offers: makeOffers(settings),
            checksFence: settings.platformChecksFence,
            weights: { ratePerSecond: settings.weightRate, burst: settings.weightBurst },
            weightBytes: WEIGHT_FILE_BYTES,
        });
    }

    /**
     * Starts the platform and the initial upstreams.
     *
     * @returns Address of the platform.
     */
    async startAll(): Promise<Address> {
        const { engines, services, zones, pool, service } = this.settings;
        const address = await this.platform.start();
        for (let number = 1; number <= engines; number++) {
            const zone = zones[(number - 1) % zones.length];
            const reclaimable = this.settings.reclaimableZones.includes(zone);
            await this.startInitial(`${pool}-${zone}-${number}`, pool, makeOffer(this.settings, zone, reclaimable));
        }
        for (let number = 1; number <= services; number++) {
            const zone = zones[(number - 1) % zones.length];
            await this.startInitial(`${service}-${zone}-${number}`, service, makeOffer(this.settings, zone, false));
        }
        return address;
    }

    async start({ id, offer }: StartRequest): Promise<void> {
        const { pool, zone, price_per_hour, reclaimable } = offer;
        const identity = this.makeIdentity(id, pool, zone, price_per_hour, reclaimable);
        if (pool === this.settings.service) await this.startService(identity);
        else await this.startEngine(identity);
    }

    async stop(id: string): Promise<void> {
        await this.find(id)?.stop();
    }

    reclaim(id: string, noticeMs: number): void {
        this.find(id)?.reclaim(noticeMs);
    }

    /** Restarts an upstream under its id, as a new incarnation with an empty cache; crashes it first if it still runs. */
    async restart(id: string): Promise<void> {
        const offer = this.platform.orders.offerOf(id);
        if (!offer) return;
        await this.find(id)?.crash();
        this.tokensBeforeRestarts += this.engines.get(id)?.stats().tokens ?? 0;
        await this.start({ id, offer });
    }

    /** Returns the upstream with the id, or undefined. */
    find(id: string): EmulatedEngine | EmulatedService | undefined {
        return this.engines.get(id) ?? this.services.get(id);
    }

    /** Replaces the entries to which all upstreams announce themselves, also those started later. */
    setEntries(entries: readonly Address[]): void {
        this.entries = entries;
        for (const upstream of [...this.engines.values(), ...this.services.values()]) upstream.setEntries(entries);
    }

    /** Closes the platform and crashes all upstreams. */
    async close(): Promise<void> {
        const upstreams = [...this.engines.values(), ...this.services.values()];
        await Promise.all([this.platform.close(), ...upstreams.map(upstream => upstream.crash())]);
    }

    /** Returns the statistics so far. */
    stats(): EmulatorStats {
        const engines = [...this.engines.values()].map(engine => engine.stats());
        return {
            engines,
            services: [...this.services.values()].map(service => service.stats()),
            platform: this.platform.stats(),
            tokens: engines.reduce((sum, engine) => sum + engine.tokens, this.tokensBeforeRestarts),
            calls: this.runLedger.distinctCallCount,
            doubledCalls: this.runLedger.doubled(),
            keys: this.ports.keyWatch.counts(),
        };
    }

    /** Returns the addresses of all upstreams. */
    addresses(): readonly string[] {
        return [...this.engines.values(), ...this.services.values()].map(upstream => upstream.address);
    }

    /** Starts an upstream that the platform bills from now on, as if it had been ordered. */
    private async startInitial(id: string, pool: string, template: Offer): Promise<void> {
        const offer = { ...template, pool };
        this.platform.orders.addRunning(id, offer);
        await this.start({ id, offer });
    }

    private makeIdentity(
        id: string,
        pool: string,
        zone: string,
        pricePerHour: number,
        reclaimable: boolean,
    ): UpstreamIdentity {
        const { checksFence, software: versions } = this.settings;
        const software = versions[this.startCount++ % versions.length];
        const incarnation = Math.floor(this.ports.clock.now());
        return { id, incarnation, pools: [pool], zone, pricePerHour, reclaimable, checksFence, software };
    }

    private async startEngine(identity: UpstreamIdentity): Promise<void> {
        const { settings } = this;
        const engine = new EmulatedEngine(this.ports, {
            identity,
            address: { host: settings.host, port: 0 },
            pace: settings,
            cacheBlocks: settings.cacheBlocks,
            meanTokens: settings.meanTokens,
            announcer: this.makeAnnouncerConfig(),
        }, this.chatLedger);
        this.engines.set(identity.id, engine);
        await engine.start();
    }

    private async startService(identity: UpstreamIdentity): Promise<void> {
        const { settings } = this;
        const service = new EmulatedService(this.ports, this.runLedger, {
            identity,
            address: { host: settings.host, port: 0 },
            slots: settings.serviceSlots,
            minLatencyMs: settings.serviceMinMs,
            maxLatencyMs: settings.serviceMaxMs,
            announcer: this.makeAnnouncerConfig(),
        });
        this.services.set(identity.id, service);
        await service.start();
    }

    private makeAnnouncerConfig(): AnnouncerConfig {
        const { spread, announceMs, loadLagMs, cacheLagMs, cacheLoss } = this.settings;
        return { entries: this.entries, spread, intervalMs: announceMs, loadLagMs, cacheLagMs, cacheLoss };
    }
}

function makeOffers(settings: EmulatorSettings): Offer[] {
    return settings.zones.flatMap(zone => [makeOffer(settings, zone, false), makeOffer(settings, zone, true)]);
}

function makeOffer(settings: EmulatorSettings, zone: string, reclaimable: boolean): Offer {
    return {
        zone,
        pool: settings.pool,
        reclaimable,
        available: settings.available,
        price_per_hour: reclaimable ? settings.reclaimablePrice : settings.price,
        start_ms: settings.startMs,
        billed_minimum_ms: settings.billedMinimumMs,
    };
}
