import { ControlClient, ViewCache } from "../../control/index.js";
import { AnnouncementSubscriber, DepartureNotice, UpdateLevel } from "../../discovery/index.js";
import { Dispatcher, SendGuard } from "../../dispatch/index.js";
import { PoolNumberings } from "../../eventStream/index.js";
import { ZoneId } from "../../ids/index.js";
import { Lifecycle } from "../../lifecycle/index.js";
import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { CallDialect, CallDurations, RepeatBudget, RepeatLimits, serveCalls } from "../../passthrough/index.js";
import { Address, Clock, formatAddress, HeldBytes, Http, HttpLimits, HttpListener, Random } from "../../ports/index.js";
import { CrashGuard, PartGuard } from "../../quarantine/index.js";
import { RequestRegistry } from "../../request/index.js";
import { StreamStartRegistry } from "../../resumption/index.js";
import { CallerLimits, DEFAULT_CALLER_LIMITS } from "../../routing/index.js";
import { TrueTime } from "../../time/index.js";
import { SoftwareView, UpstreamHttp, UpstreamRegistry } from "../../upstream/index.js";
import { PositionCounter, StartMeter } from "../../usage/index.js";
import { PeerChannel, PeerIdentity, PeerRouter } from "../../wire/index.js";
import { FleetRouteView } from "../fleetRouteView/index.js";
import { UsageReplicator } from "../usageReplicator/index.js";

/** Maximum size of headers that the listener reads, in bytes; the fleet document's own limit is checked for each call. */
const MAX_HEADER_BYTES = 64 * 1024;
/** Timeout for receiving a request's body, in milliseconds. */
const BODY_TIMEOUT_MS = 30_000;

/** Settings for serving calls that are routed by the fleet document. */
export interface RouteServiceSettings {
    /** Address at which callers are served; undefined: not served. */
    readonly callers?: Address;
    readonly dialect: CallDialect;
    readonly repeats: RepeatLimits;
    /** Length of the windows in which request starts are counted, in milliseconds. */
    readonly startsWindowMs: number;
}

/** Options of `RouteService`. */
export interface RouteServiceOptions {
    readonly settings: RouteServiceSettings;
    readonly clock: Clock;
    readonly random: Random;
    readonly http: Http;
    /** Sends requests to upstreams. */
    readonly upstreamHttp: UpstreamHttp;
    /** Whether this host can send requests to upstreams, itself or through another host. */
    readonly hasWay: () => boolean;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly self: PeerIdentity;
    readonly zone: ZoneId;
    readonly router: PeerRouter;
    readonly registry: UpstreamRegistry;
    readonly requests: RequestRegistry;
    readonly dispatcher: Dispatcher;
    /** Checks grants by what upstreams state in their answers. */
    readonly sendGuard: SendGuard;
    /** The software versions of upstreams. */
    readonly software: SoftwareView;
    /** Quarantine of requests that crash upstreams. */
    readonly crashes: CrashGuard;
    /** Quarantine of parts of prompts that crash upstreams. */
    readonly parts: PartGuard;
    /** Clock that is synchronized with the control processes. */
    readonly time: TrueTime;
    /** Numbers the usage that this entry counts. */
    readonly positions: PositionCounter;
    readonly replicator: UsageReplicator;
    /** Limits how often calls are sent again. */
    readonly repeats: RepeatBudget;
    /** Remembers where streams began. */
    readonly streams: StreamStartRegistry;
    readonly isDraining: () => boolean;
    /** Whether calls are refused: the load balancer has had time to notice the planned stop. */
    readonly isRefusing: () => boolean;
    /** Time for which calls may still run before a planned stop ends them, in milliseconds; infinite while none has begun. */
    readonly timeLeftMs: () => number;
    /** Aborted when the process is about to exit: requests that have not begun are refused. */
    readonly exitSignal: AbortSignal;
    /** Returns the level of detail needed in announcements of upstreams. */
    readonly requiredLevel: () => UpdateLevel;
}

/**
 * Serves calls routed by the fleet document: subscribes to upstreams' announcements at the control processes, serves callers, and counts
 * request starts.
 *
 * @example
 * const service = new RouteService(options);
 * await service.start(client, cache, links, lifecycle);
 */
export class RouteService {
    private readonly startMeter: StartMeter;
    private readonly subscriber: AnnouncementSubscriber;
    private view: FleetRouteView | undefined;
    private listener: HttpListener | undefined;
    /** Version of the document whose caller limits are in force. */
    private limitsVersion = -1;

    constructor(private readonly options: RouteServiceOptions) {
        const { settings, time, positions } = options;
        this.startMeter = new StartMeter(settings.startsWindowMs, positions);
        this.subscriber = new AnnouncementSubscriber({
            ...options,
            onWallTime: (host, wallMs) => time.addReading(host, wallMs),
        });
    }

    /** Whether callers can be served: there is a fresh document, a publisher of announcements is subscribed to, and upstreams can be reached. */
    get isReady(): boolean {
        const hasView = this.view !== undefined && this.view.isFresh() && this.view.routes() !== undefined;
        return hasView && this.subscriber.publisherCount > 0 && this.listener !== undefined
            && !this.options.isDraining() && this.options.hasWay();
    }

    /** Subscribes to the announcements of the control process at the other end of a channel. */
    subscribeTo(channel: PeerChannel): void {
        void this.subscriber.subscribe(channel);
    }

    /** Reports an upstream's departure to all control processes. */
    reportDeparture(departure: DepartureNotice): void {
        this.subscriber.reportDeparture(departure);
    }

    /** Starts following announcements, and opens the callers' port if the settings name one. */
    async start(client: ControlClient, cache: ViewCache, lifecycle: Lifecycle): Promise<void> {
        const { settings, clock, logger } = this.options;
        const onError = (err: unknown): void => logger.error("task-failed", { problem: String(err) });
        lifecycle.run(signal => this.subscriber.run(signal), onError);
        const view = new FleetRouteView(clock, client, cache);
        this.view = view;
        if (!settings.callers) return;
        await this.openCallers(settings.callers, view, lifecycle);
        this.replicateStarts();
        logger.info("routes-served", { callers: formatAddress(settings.callers) });
    }

    private replicateStarts(): void {
        const { replicator } = this.options;
        const source = this.startMeter;
        replicator.add({
            listChanges: after => ({ windows: source.listChanges(after) }),
            dropRecorded: () => undefined,
        });
        source.onStart(() => replicator.notifyChange());
        replicator.startCountingStarts();
    }

    /** Opens the callers' port. Calls that arrive before the first document wait for it for a limited time. */
    private async openCallers(callers: Address, view: FleetRouteView, lifecycle: Lifecycle): Promise<void> {
        const { settings, http, self } = this.options;
        const handler = serveCalls({
            ...this.options,
            self: self.host,
            dialect: settings.dialect,
            view,
            starts: this.startMeter,
            durations: new CallDurations(),
            numberings: new PoolNumberings(),
            heldBytes: new HeldBytes(),
            durability: this.options.replicator,
        });
        const listener = await http.serve(callers, toHttpLimits(DEFAULT_CALLER_LIMITS), handler);
        this.listener = listener;
        lifecycle.addCleanUp(() => listener.close());
    }

    /** Called when the view has changed; applies the caller limits of a new document. */
    viewChanged(): void {
        this.view?.notifyChange();
        const routes = this.view?.routes();
        if (!routes || routes.version === this.limitsVersion) return;
        this.limitsVersion = routes.version;
        this.listener?.setLimits(toHttpLimits(routes.limits));
        this.options.logger.info("document-in-force", { version: routes.version });
    }

    /** The listener at which callers are served; undefined while there is none. */
    get callerListener(): HttpListener | undefined {
        return this.listener;
    }

    /** Stops accepting connections; running answers continue. */
    async stopAccepting(): Promise<void> {
        await this.listener?.stopAccepting();
    }
}

function toHttpLimits({ headerTimeoutMs, idleTimeoutMs }: CallerLimits): HttpLimits {
    return { headerBytes: MAX_HEADER_BYTES, headerTimeoutMs, requestTimeoutMs: BODY_TIMEOUT_MS, idleTimeoutMs };
}
