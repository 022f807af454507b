import { Address } from "../../ports/index.js";
import { Offer } from "../../protocol/index.js";
import { StandInPorts } from "../_lib/standInPorts.js";
import { AnnouncerConfig } from "../announcer/index.js";
import { ChatLedger } from "../chatLedger/index.js";
import { EmulatorSettings } from "../emulatorSettings/index.js";
import { EngineStandIn, EngineStats } from "../engineStandIn/index.js";
import { Fleet, StartRequest } from "../fleet/index.js";
import { KeySightings } from "../keyWatch/index.js";
import { PlatformStandIn, PlatformStats } from "../platformStandIn/index.js";
import { RunLedger } from "../runLedger/index.js";
import { ServiceStandIn, ServiceStats } from "../serviceStandIn/index.js";
import { UpstreamIdentity } from "../upstreamState/index.js";

/** What all stand-ins together have done up to now. */
export interface SetStats {
    readonly engines: readonly EngineStats[];
    readonly services: readonly ServiceStats[];
    readonly platform: PlatformStats;
    /** Tokens given by all engines. */
    readonly tokens: number;
    /** Different calls of plain services that ran, and those that ran more than once. */
    readonly calls: number;
    readonly doubledCalls: readonly string[];
    readonly keys: KeySightings;
}

const WEIGHT_BYTES = 65_536;

/**
 * A platform with its engines and plain services, made from one set of settings.
 *
 * @example
 * const set = new StandInSet(ports, settings);
 * const platformAddress = await set.startAll();
 */
export class StandInSet extends Fleet {
    readonly platform: PlatformStandIn;
    readonly ledger = new RunLedger();
    readonly chats = new ChatLedger();
    readonly engines = new Map<string, EngineStandIn>();
    readonly services = new Map<string, ServiceStandIn>();
    private entries: readonly Address[];
    /** Tokens given by engines that were restarted since. */
    private earlierTokens = 0;

    /**
     * @param ports - What all of them run on.
     * @param settings - How many there are, and what they are like.
     */
    constructor(private readonly ports: StandInPorts, private readonly settings: EmulatorSettings) {
        super();
        this.entries = settings.entries;
        this.platform = new PlatformStandIn(ports, this, {
            address: { host: settings.host, port: settings.platformPort },
            offers: makeOffers(settings),
            checksFence: settings.platformChecksFence,
            weights: { ratePerSecond: settings.weightRate, burst: settings.weightBurst },
            weightBytes: WEIGHT_BYTES,
        });
    }

    /**
     * Starts the platform and the upstreams that run from the first.
     *
     * @returns The platform's address.
     */
    async startAll(): Promise<Address> {
        const { engines, services, zones, pool, service } = this.settings;
        const address = await this.platform.start();
        for (let number = 1; number <= engines; number++) {
            const zone = zones[(number - 1) % zones.length];
            const reclaimable = this.settings.reclaimableZones.includes(zone);
            await this.startFirst(`${pool}-${zone}-${number}`, pool, makeOffer(this.settings, zone, reclaimable));
        }
        for (let number = 1; number <= services; number++) {
            const zone = zones[(number - 1) % zones.length];
            await this.startFirst(`${service}-${zone}-${number}`, service, makeOffer(this.settings, zone, false));
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

    /** Starts an upstream again under its id, as a new incarnation with an empty cache; one that still runs crashes. */
    async restart(id: string): Promise<void> {
        const offer = this.platform.orders.offerOf(id);
        if (!offer) return;
        await this.find(id)?.crash();
        this.earlierTokens += this.engines.get(id)?.stats().tokens ?? 0;
        await this.start({ id, offer });
    }

    /** The upstream of an id, or undefined. */
    find(id: string): EngineStandIn | ServiceStandIn | undefined {
        return this.engines.get(id) ?? this.services.get(id);
    }

    /** Changes which entries are told of all upstreams, also of those that start later. */
    setEntries(entries: readonly Address[]): void {
        this.entries = entries;
        for (const upstream of [...this.engines.values(), ...this.services.values()]) upstream.setEntries(entries);
    }

    /** Ends all of them at once. */
    async close(): Promise<void> {
        const upstreams = [...this.engines.values(), ...this.services.values()];
        await Promise.all([this.platform.close(), ...upstreams.map(upstream => upstream.crash())]);
    }

    /** What all of them have done up to now. */
    stats(): SetStats {
        const engines = [...this.engines.values()].map(engine => engine.stats());
        return {
            engines,
            services: [...this.services.values()].map(service => service.stats()),
            platform: this.platform.stats(),
            tokens: engines.reduce((sum, engine) => sum + engine.tokens, this.earlierTokens),
            calls: this.ledger.distinct,
            doubledCalls: this.ledger.doubled(),
            keys: this.ports.keyWatch.sightings(),
        };
    }

    /** The addresses of the upstreams, for the one who started the set. */
    addresses(): readonly string[] {
        return [...this.engines.values(), ...this.services.values()].map(upstream => upstream.address);
    }

    /** Starts an upstream that the platform bills as if it had been ordered at this moment. */
    private async startFirst(id: string, pool: string, like: Offer): Promise<void> {
        const offer = { ...like, pool };
        this.platform.orders.adopt(id, offer);
        await this.start({ id, offer });
    }

    private makeIdentity(
        id: string,
        pool: string,
        zone: string,
        pricePerHour: number,
        reclaimable: boolean,
    ): UpstreamIdentity {
        const { checksFence } = this.settings;
        const incarnation = Math.floor(this.ports.clock.now());
        return { id, incarnation, pools: [pool], zone, pricePerHour, reclaimable, checksFence };
    }

    private async startEngine(identity: UpstreamIdentity): Promise<void> {
        const { settings } = this;
        const engine = new EngineStandIn(this.ports, {
            identity,
            address: { host: settings.host, port: 0 },
            pace: settings,
            cacheBlocks: settings.cacheBlocks,
            meanTokens: settings.meanTokens,
            announcer: this.makeAnnouncer(),
        }, this.chats);
        this.engines.set(identity.id, engine);
        await engine.start();
    }

    private async startService(identity: UpstreamIdentity): Promise<void> {
        const { settings } = this;
        const service = new ServiceStandIn(this.ports, this.ledger, {
            identity,
            address: { host: settings.host, port: 0 },
            slots: settings.serviceSlots,
            minLatencyMs: settings.serviceMinMs,
            maxLatencyMs: settings.serviceMaxMs,
            announcer: this.makeAnnouncer(),
        });
        this.services.set(identity.id, service);
        await service.start();
    }

    private makeAnnouncer(): AnnouncerConfig {
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
