import { setMaxListeners } from "node:events";
import { ControlClient, ControlLinkSet, ViewCache } from "../../control/index.js";
import {
    AttemptBudget,
    DEFAULT_RETRY_LIMITS,
    LocalDispatcher,
    PoolOwnerTable,
    ROUTED_POLICIES,
} from "../../dispatch/index.js";
import { ZoneId } from "../../ids/index.js";
import { Lifecycle } from "../../lifecycle/index.js";
import { Logger, RejectionLog } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { CallDialect, DEFAULT_REPEAT_LIMITS, RepeatBudget } from "../../passthrough/index.js";
import {
    Address,
    Clock,
    DEFAULT_HTTP_LIMITS,
    formatAddress,
    Http,
    HttpLimits,
    HttpListener,
    HttpReply,
    Network,
    OpenAnswers,
    Random,
} from "../../ports/index.js";
import { UpstreamAccess } from "../../relay/index.js";
import { RequestRegistry } from "../../request/index.js";
import { TrueTime } from "../../time/index.js";
import { NO_SIGNALS, RegistryTiming, SoftwareView, UpstreamRegistry, UpstreamSignals } from "../../upstream/index.js";
import { PositionCounter } from "../../usage/index.js";
import { PeerIdentity, PeerRouter, PeerTiming, reportTraffic, servePeers } from "../../wire/index.js";
import { AnnouncementForwarder } from "../announcementForwarder/index.js";
import { CacheDiscovery } from "../cacheDiscovery/index.js";
import { CrashMonitor } from "../crashMonitor/index.js";
import { DemandReporter } from "../demandReporter/index.js";
import { DispatchLog } from "../dispatchLog/index.js";
import { DrainSchedule } from "../drainSchedule/index.js";
import { EntryContext, EntryLimits } from "../entryContext/index.js";
import { EntryCounter } from "../entryCounter/index.js";
import { EvacuationMonitor } from "../evacuationMonitor/index.js";
import { FleetControl } from "../fleetControl/index.js";
import { FleetDispatcher } from "../fleetDispatcher/index.js";
import { FleetStreamStarts } from "../fleetStreamStarts/index.js";
import { OwnerExchange } from "../ownerExchange/index.js";
import { PartMonitor } from "../partMonitor/index.js";
import { PeerDirectory } from "../peerDirectory/index.js";
import { PeerUsageBackup } from "../peerUsageBackup/index.js";
import { QueueMonitor } from "../queueMonitor/index.js";
import { readNativeSignals } from "../reportSignals/index.js";
import { RouteService, RouteServiceSettings } from "../routeService/index.js";
import { SendAllowance } from "../sendAllowance/index.js";
import { serveAnnouncements } from "../serveAnnouncements/index.js";
import { serveCallers } from "../serveCallers/index.js";
import { SignalExchange } from "../signalExchange/index.js";
import { SoftwareMonitor } from "../softwareMonitor/index.js";
import { SpendLimiter } from "../spendLimiter/index.js";
import { StreamStartLog } from "../streamStartLog/index.js";
import { TicketServer } from "../ticketServer/index.js";
import { reportUnfinishedRequests } from "../unfinishedRequests/index.js";
import { UsageBackupStore } from "../usageBackupStore/index.js";
import { UsageMeter } from "../usageMeter/index.js";
import { UsageReplicator } from "../usageReplicator/index.js";

/** Options of `EntryProcess`. */
export interface EntryOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly network: Network;
    readonly http: Http;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly self: PeerIdentity;
    readonly zone: ZoneId;
    readonly region: string;
    /** Address at which chats and service calls are served; undefined: not served. */
    readonly callers?: Address;
    /** Address at which upstreams announce themselves; undefined: they announce themselves to control processes only. */
    readonly upstreams?: Address;
    /** Address at which peers reach this process. */
    readonly peers: Address;
    /** Address of the admin API. */
    readonly admin?: Address;
    /** Address at which this process sends requests to upstreams for hosts that have lost their paths; undefined: it sends none for others. */
    readonly relay?: Address;
    /** Whether this process only owns queues of pools and serves no callers. */
    readonly ownsQueues?: boolean;
    /** Router of the process that already listens at `peers` and also serves this one's queue methods; undefined: this process listens there. */
    readonly sharedRouter?: PeerRouter;
    /** Addresses of the initial control processes; the others are discovered through them. */
    readonly controlPeers: readonly Address[];
    /** Settings of routing by the fleet document; undefined: calls are not routed by a fleet document. */
    readonly routes?: RouteServiceSettings;
    /** Timing of the upstream registry, where it differs from the default. */
    readonly registryTiming?: RegistryTiming;
    readonly callerLimits: HttpLimits;
    readonly limits: EntryLimits;
    /** Timing of peer connections. */
    readonly timing: PeerTiming;
    /** Length of a usage window, in milliseconds. */
    readonly windowMs: number;
    /** Time for which a draining entry still accepts new requests, until the load balancer has noticed, in milliseconds. */
    readonly balancerMs: number;
}

const VIEW_POLL_MS = 10;

/**
 * An entry process: serves callers, receives upstreams' announcements, owns the queues of some pools, and meters usage.
 *
 * @example
 * const entry = await EntryProcess.start(options);
 * await entry.drain(600_000);
 * await entry.close();
 */
export class EntryProcess {
    readonly requests = new RequestRegistry();
    readonly registry: UpstreamRegistry;
    readonly software: SoftwareView;
    readonly control: FleetControl;
    /** Queues of the pools that this process owns. */
    readonly local: LocalDispatcher;
    /** Submits tickets to the owners of the queues. */
    readonly dispatcher: FleetDispatcher;
    readonly meter: UsageMeter;
    /** Makes the counted usage durable. */
    readonly replicator: UsageReplicator;
    /** Service for calls routed by the fleet document; undefined where the options have no `routes`. */
    readonly routeService: RouteService | undefined;
    private readonly decisions: DispatchLog;
    private readonly lifecycle = new Lifecycle();
    private readonly router = new PeerRouter();
    private readonly cache = new ViewCache();
    private readonly sendAllowance = new SendAllowance({
        findColdSpec: pool => this.cache.routes?.findPool(pool)?.cold,
        ownerRank: pool => this.control.isFresh() ? this.dispatcher.ownerRank(pool) : undefined,
        countEntries: () => this.control.entries().filter(({ ownsQueues }) => !ownsQueues).length,
    });
    private readonly controlLinks: ControlLinkSet;
    private readonly client: ControlClient;
    /** Counts the entries among which limits of the fleet are divided. */
    readonly entryCounter: EntryCounter;
    private readonly repeats: RepeatBudget;
    private readonly directory: PeerDirectory;
    private readonly announcementForwarder: AnnouncementForwarder;
    private readonly evacuationMonitor: EvacuationMonitor;
    private readonly crashMonitor: CrashMonitor;
    private readonly partMonitor: PartMonitor;
    private readonly signals: SignalExchange;
    private readonly access: UpstreamAccess;
    private readonly trueTime: TrueTime;
    private draining = false;
    /** Set once the load balancer has had time to notice the drain. */
    private refusingRequests = false;
    private readonly exitAbort = new AbortController();
    /** The planned stop; undefined while none has begun. */
    private stop: DrainSchedule | undefined;
    private callerListener: HttpListener | undefined;
    private relayListener: HttpListener | undefined;

    private constructor(private readonly options: EntryOptions) {
        const { clock, random, self, zone, region } = options;
        // All requests that are being admitted listen to this signal, so a large number of listeners is not a leak.
        setMaxListeners(0, this.exitAbort.signal);
        this.controlLinks = new ControlLinkSet({
            ...options,
            router: this.router,
            lifecycle: this.lifecycle,
            onOpen: channel => {
                this.routeService?.subscribeTo(channel);
                this.replicator.sendToAll();
            },
        });
        this.client = this.makeClient();
        this.entryCounter = new EntryCounter(options.clock, this.client);
        const repeatLimits = options.routes?.repeats ?? DEFAULT_REPEAT_LIMITS;
        this.repeats = new RepeatBudget(options.clock, repeatLimits, () => this.entryCounter.count());
        this.control = new FleetControl(this.client, this.cache);
        this.directory = new PeerDirectory({
            ...options,
            router: this.router,
            control: this.control,
            controlLinks: this.controlLinks.list,
            lifecycle: this.lifecycle,
        });
        const owners = new PoolOwnerTable(region);
        this.registry = new UpstreamRegistry({ clock, timing: options.registryTiming });
        this.software = new SoftwareView(this.registry);
        this.decisions = new DispatchLog(options.logger, options.metrics);
        this.local = new LocalDispatcher({
            clock,
            random,
            zone,
            registry: this.registry,
            policies: options.routes && ROUTED_POLICIES,
            observer: this.decisions,
            capacityOf: pool => this.cache.routes?.findPool(pool)?.engine?.kvTokens,
            coldRateOf: pool => this.sendAllowance.coldRateOf(pool),
            limitShareOf: pool => this.sendAllowance.limitShareOf(pool),
        });
        this.signals = new SignalExchange({
            ...options,
            self: self.host,
            directory: this.directory,
            registry: this.registry,
            software: this.software,
            local: this.local,
            ownerOf: pool => this.dispatcher.ownerOf(pool),
            reportDeparture: (pool, departure) => {
                this.announcementForwarder.forwardDeparture(pool, departure);
                this.routeService?.reportDeparture(departure);
            },
        });
        this.dispatcher = new FleetDispatcher({
            ...options,
            self: self.host,
            signals: this.signals,
            owners,
            directory: this.directory,
            local: this.local,
            pools: () => this.cache.routes?.listPools().map(({ pool }) => pool) ?? [],
        });
        this.registry.onChange(({ id, state }) => {
            if (state === "gone") this.signals.forget(id);
        });
        const softwareMonitor = new SoftwareMonitor(options);
        this.registry.onChange(upstream => softwareMonitor.update(upstream));
        this.evacuationMonitor = new EvacuationMonitor({
            ...options,
            registry: this.registry,
            listRunning: () => this.dispatcher.listRunning(),
        });
        this.trueTime = new TrueTime(clock);
        this.access = new UpstreamAccess({
            ...options,
            self: self.host,
            registry: this.registry,
            directory: this.directory,
            sendGuard: this.signals,
            readSignals: reply => readUpstreamSignals(reply, options.routes?.dialect),
        });
        this.access.paths.onLost(({ upstream }) => this.dispatcher.releaseHanging(upstream));
        const { client, cache, trueTime: time } = this;
        this.partMonitor = new PartMonitor({ ...options, self: self.host, client, cache, time });
        this.crashMonitor = new CrashMonitor({
            ...options,
            probe: target => this.access.http.probe(target),
            registry: this.registry,
            client,
            cache,
            time,
            onFinding: (...finding) => this.partMonitor.recordFinding(...finding),
        });
        this.announcementForwarder = new AnnouncementForwarder(
            this.registry,
            this.directory,
            owners,
            self.host,
            new RejectionLog(options),
        );
        const positions = new PositionCounter();
        this.replicator = this.makeReplicator(positions);
        this.meter = new UsageMeter({ ...options, positions, replicator: this.replicator });
        this.routeService = options.routes && this.makeRouteService(options.routes, positions);
    }

    /**
     * Starts an entry. The callers' port opens only after a view has been read through the holder of the control lease.
     *
     * @throws NetworkError when an address is already in use.
     */
    static async start(options: EntryOptions, signal?: AbortSignal): Promise<EntryProcess> {
        const entry = new EntryProcess(options);
        try {
            await entry.open(signal);
        }
        catch (err) {
            await entry.close();
            throw err;
        }
        return entry;
    }

    /** Address at which callers are served; undefined until there is a view. */
    get callerAddress(): Address | undefined {
        return this.callerListener?.address;
    }

    get isDraining(): boolean {
        return this.draining;
    }

    /** Returns how many grants of this process's queues have not ended, and how many grants its own requests use. */
    countSlots(): { readonly granted: number; readonly used: number; } {
        const granted = this.local.pools().reduce((sum, pool) => sum + this.local.countRunning(pool), 0);
        return { granted, used: this.dispatcher.listRunning().length };
    }

    /**
     * Prepares a planned stop: waits for the load balancer to notice, hands the queues over, and waits for running work to end.
     *
     * @param graceMs - Maximum time to wait for running work, in milliseconds.
     * @returns Whether all work has ended.
     */
    async drain(graceMs: number): Promise<boolean> {
        const { clock, balancerMs, logger } = this.options;
        const stop = new DrainSchedule(clock, { balancerMs, graceMs });
        this.stop = stop;
        this.draining = true;
        this.client.setDraining(true);
        logger.info("drain-started", { requests: this.requests.size });
        await clock.sleep(balancerMs);
        this.refusingRequests = true;
        this.access.relays.drain();
        this.local.drain();
        this.callerListener?.closeConnections();
        void this.routeService?.stopAccepting();
        const limit = new AbortController();
        const timer = clock.after(stop.exitLeftMs, () => limit.abort());
        const finalTimer = clock.after(stop.finalAnswersLeftMs, () => this.answerWaiting());
        await Promise.race([this.awaitIdle(limit.signal), clock.sleep(stop.exitLeftMs, limit.signal)]);
        finalTimer.cancel();
        const isDurable = await this.replicator.drain(limit.signal);
        timer.cancel();
        this.replicator.sendLast();
        reportUnfinishedRequests({ clock, logger, requests: this.requests, stopAt: stop.startedAt });
        const { requests: openAnswers, unsentBytes } = this.countOpenAnswers();
        logger.info("drain-ended", {
            requests: this.requests.size,
            relayed: this.access.relays.size,
            openAnswers,
            unsentBytes,
            usage: this.replicator.backlog,
        });
        return this.isIdle() && isDurable;
    }

    /** Gives requests without an answer a final one while there is time to send it; answers that have begun go on. */
    private answerWaiting(): void {
        this.exitAbort.abort();
        this.requests.cancelUnanswered();
    }

    /** Whether nothing runs here and each answer has been sent whole, also those of requests that are not registered yet. */
    private isIdle(): boolean {
        return this.requests.size === 0 && this.access.relays.size === 0 && this.countOpenAnswers().requests === 0;
    }

    private async awaitIdle(limit: AbortSignal): Promise<void> {
        do {
            const answered = this.listeners.map(listener => listener.whenAnswered());
            await Promise.all([this.requests.whenIdle(), this.access.relays.whenIdle(limit), ...answered]);
        }
        while (!this.isIdle() && !limit.aborted);
    }

    /** Counts the answers to callers and to other hosts that have not been sent whole. */
    private countOpenAnswers(): OpenAnswers {
        const open = this.listeners.map(listener => listener.countOpenAnswers());
        return {
            requests: open.reduce((sum, { requests }) => sum + requests, 0),
            unsentBytes: open.reduce((sum, { unsentBytes }) => sum + unsentBytes, 0),
        };
    }

    /** The listeners at which callers and other hosts are served. */
    private get listeners(): HttpListener[] {
        const listeners = [this.callerListener, this.relayListener, this.routeService?.callerListener];
        return listeners.filter(listener => listener !== undefined);
    }

    /** Stops everything immediately, without draining. */
    close(): Promise<void> {
        return this.lifecycle.close();
    }

    private async open(signal?: AbortSignal): Promise<void> {
        const { lifecycle, options } = this;
        const { logger } = options;
        const onError = (err: unknown): void => logger.error("task-failed", { problem: String((err as Error).stack) });
        this.controlLinks.setSeeds(options.controlPeers);
        const backupStore = new UsageBackupStore(options.clock, this.controlLinks.list);
        backupStore.addTo(this.router);
        const peerRouter = options.sharedRouter ?? this.router;
        this.announcementForwarder.addTo(peerRouter);
        this.dispatcher.addTo(this.router);
        const { local, dispatcher, directory } = this;
        const exchange = new OwnerExchange({ ...options, self: options.self.host, local, dispatcher, directory });
        exchange.addTo(peerRouter);
        new TicketServer(this.local, options.clock, request => this.dispatcher.preemptLocal(request)).addTo(peerRouter);
        this.dispatcher.onPreempt(request => this.requests.cancel(request, "preempted"));
        this.control.onViewChange(() => this.requests.cancelWithdrawn(hash => !!this.control.findWorkspace(hash)));
        lifecycle.addCleanUp(() => this.local.close());
        if (!options.sharedRouter) {
            const peers = await servePeers({ ...options, address: options.peers, router: this.router });
            lifecycle.addCleanUp(() => peers.close());
        }
        lifecycle.run(running => this.client.run(running), onError);
        lifecycle.run(running => this.dispatcher.run(running), onError);
        lifecycle.run(running => exchange.run(running), onError);
        lifecycle.run(running => this.replicator.run(running), onError);
        lifecycle.run(running => this.evacuationMonitor.run(running), onError);
        lifecycle.run(running => this.crashMonitor.run(running), onError);
        lifecycle.run(running => this.partMonitor.run(running), onError);
        lifecycle.run(running => this.access.paths.run(running), onError);
        lifecycle.run(running => this.makeQueueMonitor().run(running), onError);
        lifecycle.run(running => backupStore.run(running), onError);
        const { traffic } = this.router;
        lifecycle.run(running => reportTraffic({ ...options, traffic }, running), onError);
        const reporter = this.makeDemandReporter();
        lifecycle.child().run(running => reporter.run(running), onError);
        if (options.upstreams) await this.openUpstreams(options.upstreams);
        if (options.relay) await this.openRelay(options.relay);
        await this.routeService?.start(this.client, this.cache, lifecycle);
        if (options.routes) lifecycle.run(running => this.makeCacheDiscovery(options.routes!).run(running), onError);
        if (!options.callers) return;
        await this.awaitView(signal);
        await this.openCallers(options.callers);
    }

    /** Replaces the control processes named in the settings. */
    setControlPeers(addresses: readonly Address[]): void {
        this.controlLinks.setSeeds(addresses);
    }

    private async openUpstreams(address: Address): Promise<void> {
        const handler = serveAnnouncements(announcement => this.announcementForwarder.accept(announcement));
        const upstreams = await this.options.http.serve(address, DEFAULT_HTTP_LIMITS, handler);
        this.lifecycle.addCleanUp(() => upstreams.close());
    }

    private async openRelay(address: Address): Promise<void> {
        const relays = await this.options.http.serve(address, DEFAULT_HTTP_LIMITS, this.access.relays.handler);
        this.relayListener = relays;
        this.lifecycle.addCleanUp(() => relays.close());
    }

    private async awaitView(signal?: AbortSignal): Promise<void> {
        while (!this.control.isFresh() && !signal?.aborted && !this.lifecycle.isClosing) {
            await this.options.clock.sleep(VIEW_POLL_MS);
        }
    }

    private async openCallers(address: Address): Promise<void> {
        const { options } = this;
        const listener = await options.http.serve(
            address,
            options.callerLimits,
            serveCallers(this.makeContext(), options.self),
        );
        this.callerListener = listener;
        this.lifecycle.addCleanUp(() => listener.close());
        options.logger.info("entry-ready", { callers: formatAddress(listener.address) });
    }

    private makeDemandReporter(): DemandReporter {
        const { client, registry, local, dispatcher } = this;
        const { clock, self, region } = this.options;
        return new DemandReporter({ clock, self: self.host, region, client, registry, local, dispatcher });
    }

    private makeCacheDiscovery({ dialect }: RouteServiceSettings): CacheDiscovery {
        const { local, dispatcher, registry, cache, signals: sendGuard } = this;
        const self = this.options.self.host;
        return new CacheDiscovery({
            ...this.options,
            self,
            upstreamHttp: this.access.http,
            sendGuard,
            dialect,
            registry,
            local,
            dispatcher,
            routes: () => cache.routes,
        });
    }

    private makeQueueMonitor(): QueueMonitor {
        const { local, decisions } = this;
        return new QueueMonitor({ ...this.options, local, decisions, listUsed: () => this.dispatcher.listUsed() });
    }

    private makeContext(): EntryContext {
        return {
            ...this.options,
            control: this.control,
            dispatcher: this.dispatcher,
            requests: this.requests,
            meter: this.meter,
            spendLimiter: new SpendLimiter({ ...this.options, control: this.control }),
            retryBudget: new AttemptBudget(this.options.clock, DEFAULT_RETRY_LIMITS),
            crashGuard: this.crashMonitor,
            partGuard: this.partMonitor,
            sendGuard: this.signals,
            software: this.software,
            upstreamHttp: this.access.http,
            isDraining: () => this.draining,
            isRefusing: () => this.refusingRequests,
            exitSignal: this.exitAbort.signal,
        };
    }

    private makeReplicator(positions: PositionCounter): UsageReplicator {
        return new UsageReplicator({
            ...this.options,
            positions,
            links: this.controlLinks.list,
            backup: new PeerUsageBackup(this.directory, this.options.self),
            holderLink: () => this.client.holderLink,
            trueNow: () => this.trueTime.now(),
        });
    }

    private makeRouteService(settings: RouteServiceSettings, positions: PositionCounter): RouteService {
        return new RouteService({
            ...this.options,
            settings,
            router: this.router,
            registry: this.registry,
            requests: this.requests,
            dispatcher: this.dispatcher,
            sendGuard: this.signals,
            software: this.software,
            upstreamHttp: this.access.http,
            hasWay: () => this.access.hasWay,
            crashes: this.crashMonitor,
            parts: this.partMonitor,
            time: this.trueTime,
            positions,
            replicator: this.replicator,
            repeats: this.repeats,
            streams: this.makeStreamStarts(positions),
            isDraining: () => this.draining,
            isRefusing: () => this.refusingRequests,
            exitSignal: this.exitAbort.signal,
            timeLeftMs: () => this.stop?.finalAnswersLeftMs ?? Number.POSITIVE_INFINITY,
            requiredLevel: () => this.dispatcher.mayOwnQueues() ? "all" : "membership",
        });
    }

    private makeStreamStarts(positions: PositionCounter): FleetStreamStarts {
        const { clock } = this.options;
        const log = new StreamStartLog(clock, positions);
        this.replicator.add(log);
        const report = (): void => this.replicator.notifyChange();
        return new FleetStreamStarts({ clock, log, links: this.controlLinks.list, report });
    }

    private applyEvacuatedZones(zones: readonly ZoneId[]): void {
        this.evacuationMonitor.setZones(zones, this.cache.revision);
        this.registry.setEvacuatedZones(zones, pool => this.sendAllowance.coldMsOf(pool));
    }

    private makeClient(): ControlClient {
        const { options, cache } = this;
        return new ControlClient({
            links: this.controlLinks.list,
            clock: options.clock,
            random: options.random,
            self: {
                host: options.self.host,
                incarnation: options.self.incarnation,
                zone: options.zone,
                peerAddress: formatAddress(options.peers),
                adminAddress: options.admin && formatAddress(options.admin),
                relayAddress: options.relay && formatAddress(options.relay),
                ownsQueues: options.ownsQueues,
            },
            cache,
            onChange: change => {
                if (change.evacuatedZones) this.applyEvacuatedZones(change.evacuatedZones);
                this.control.viewChanged();
                this.crashMonitor.viewChanged();
                this.partMonitor.viewChanged();
                this.routeService?.viewChanged();
            },
            onEntries: () => this.entryCounter.notifyChange(),
            onControls: addresses => this.controlLinks.setMembers(addresses),
        });
    }
}

/** Reads what an upstream's answer states; an answer of another upstream at its address states nothing about it. */
function readUpstreamSignals(reply: HttpReply, dialect: CallDialect | undefined): UpstreamSignals {
    if (!dialect) return readNativeSignals(reply);
    const { signals, misdirected } = dialect.readReply(reply);
    return misdirected ? NO_SIGNALS : signals;
}
