import { ReplicatedLog } from "../../consensus/index.js";
import { AnnouncementPublisher, AnnouncementSubscriber } from "../../discovery/index.js";
import { ZoneId } from "../../ids/index.js";
import { Lifecycle } from "../../lifecycle/index.js";
import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { Address, Clock, formatAddress, Network, Random } from "../../ports/index.js";
import { TrueTime } from "../../time/index.js";
import { UpstreamRegistry } from "../../upstream/index.js";
import { ClosedStartWindow } from "../../usage/index.js";
import { PeerIdentity, PeerRouter, PeerTiming } from "../../wire/index.js";
import { ControlLinkSet } from "../controlLinkSet/index.js";
import { ControlService } from "../controlService/index.js";
import { ControlState } from "../controlState/index.js";
import { DocumentService } from "../documentService/index.js";
import { FencedCall, FencedSender } from "../fencedSender/index.js";
import { HolderTask } from "../holderRunner/index.js";
import { HolderTerm } from "../holderTerm/index.js";
import { LateStarts } from "../lateStarts/index.js";
import { PoolSizer, SizeOrder } from "../poolSizer/index.js";
import { QuarantineService } from "../quarantineService/index.js";
import { StartsReporter } from "../startsReporter/index.js";
import { StartsTable } from "../startsTable/index.js";
import { StartsWindowCloser } from "../startsWindowCloser/index.js";
import { UsageCollector } from "../usageCollector/index.js";
import { ZoneEvacuation } from "../zoneEvacuation/index.js";

/** Poll interval of the list of control processes in the log, in milliseconds. */
const MEMBERS_POLL_INTERVAL_MS = 500;

/** Options for the handling of calls that are routed by the fleet document. */
export interface RoutingOptions {
    /** Addresses of control processes, possibly including this one, used to bootstrap or discover the cluster. */
    readonly seeds: readonly Address[];
    /** Target number of voters: no more members become voters, and no document is accepted before the log has this many. */
    readonly voters: number;
    /** False: this host has been a member before and must not bootstrap a new cluster if it has lost its data. */
    readonly mayBootstrap: boolean;
    /** Length of the windows in which request starts are counted, in milliseconds. */
    readonly startsWindowMs: number;
    /** Maximum wait after a window's end for entries that have not reported, in milliseconds. */
    readonly maxStartsReportWaitMs: number;
    /** Time without an announcement after which an upstream gets no more work, in milliseconds. */
    readonly silentAfterMs: number;
    /** The zones that may be evacuated; undefined: any. */
    readonly zones?: readonly ZoneId[];
    /** The platform that counts are reported to; undefined: they are counted and kept. */
    readonly platform?: RoutingPlatform;
}

/** The platform that receives counts of request starts and, optionally, orders of pool sizes. */
export interface RoutingPlatform {
    /** It refuses messages with an outdated fencing token. */
    readonly checksFence: boolean;
    /** Maximum delivery time of a call, in milliseconds. */
    readonly maxDeliveryMs: number;
    /** Builds the call that reports a closed window of request starts. */
    readonly describeStarts: (closed: ClosedStartWindow, term: HolderTerm) => FencedCall;
    /** Builds the call that orders a number of upstreams; undefined: pool sizes are left unchanged. */
    readonly describeSize?: (order: SizeOrder, term: HolderTerm) => FencedCall;
}

/** Options of `RoutingService`. */
export interface RoutingServiceOptions {
    readonly network: Network;
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    /** Receives metrics; undefined: none are recorded. */
    readonly metrics?: Metrics;
    readonly self: PeerIdentity;
    /** This process's own peer address. */
    readonly peerAddress: Address;
    readonly timing: PeerTiming;
    readonly routing: RoutingOptions;
    readonly log: ReplicatedLog;
    readonly state: ControlState;
    readonly service: ControlService;
    readonly router: PeerRouter;
    readonly lifecycle: Lifecycle;
    readonly startsTable: StartsTable;
}

/**
 * The parts of a control process that serve calls routed by the fleet document: distribution of upstream announcements, the fleet
 * document, zone evacuation, quarantine, and counts of request starts.
 *
 * @example
 * const routing = new RoutingService(options);
 * routing.start();
 */
export class RoutingService {
    readonly registry: UpstreamRegistry;
    /** Accepts the announcements of upstreams and sends them to subscribers. */
    readonly publisher: AnnouncementPublisher;
    readonly documents: DocumentService;
    readonly zones: ZoneEvacuation;
    readonly quarantine: QuarantineService;
    /** Wall time agreed upon with the other control processes. */
    readonly time: TrueTime;
    private readonly subscriber: AnnouncementSubscriber;
    private readonly links: ControlLinkSet;

    constructor(private readonly options: RoutingServiceOptions) {
        const { clock, router, routing, peerAddress: peers } = options;
        const timing = { silentAfterMs: routing.silentAfterMs, tombstoneMs: TOMBSTONE_MS };
        this.registry = new UpstreamRegistry({ clock, timing });
        this.publisher = new AnnouncementPublisher({ clock, router, registry: this.registry });
        this.documents = new DocumentService({ ...options, minVoters: routing.voters });
        this.zones = new ZoneEvacuation({ ...options, minVoters: routing.voters, zones: routing.zones });
        this.quarantine = new QuarantineService({ ...options, minVoters: routing.voters });
        this.time = new TrueTime(clock);
        this.subscriber = new AnnouncementSubscriber({
            ...options,
            registry: this.registry,
            onWallTime: (host, wallMs) => this.time.addReading(host, wallMs),
        });
        this.links = new ControlLinkSet({
            ...options,
            ownAddress: peers,
            onOpen: channel => void this.subscriber.subscribe(channel),
        });
    }

    /** Replaces the seed addresses by which other control processes are discovered. */
    setSeeds(seeds: readonly Address[]): void {
        this.links.setSeeds(seeds);
        this.options.log.setSeeds(seeds);
    }

    /** Starts publishing announcements and subscribing to those of the other control processes. */
    start(): void {
        const { lifecycle, logger, routing } = this.options;
        const onError = (err: unknown): void => logger.error("task-failed", { problem: String((err as Error).stack) });
        this.setSeeds(routing.seeds);
        lifecycle.run(signal => this.publisher.run(signal), onError);
        lifecycle.run(signal => this.pollMembers(signal), onError);
        lifecycle.run(signal => this.subscriber.run(signal), onError);
    }

    /** Creates the lease holder's tasks for routed calls. */
    makeTasks(sender: FencedSender, collector: UsageCollector, late: LateStarts): HolderTask[] {
        const { routing, startsTable: table } = this.options;
        const { startsWindowMs: windowMs, maxStartsReportWaitMs: maxReportWaitMs, platform } = routing;
        const shared = { ...this.options, table, collector, late, time: this.time, windowMs, maxReportWaitMs };
        const tasks: HolderTask[] = [new StartsWindowCloser(shared)];
        if (!platform) return tasks;
        const { checksFence: platformChecksFence, describeStarts, describeSize } = platform;
        const platformOptions = { ...this.options, sender, platformChecksFence };
        tasks.push(new StartsReporter({ ...platformOptions, buildCall: describeStarts }));
        if (describeSize) tasks.push(this.makeSizer(platformOptions, describeSize));
        return tasks;
    }

    private makeSizer(
        platformOptions: RoutingServiceOptions & {
            readonly sender: FencedSender;
            readonly platformChecksFence: boolean;
        },
        buildCall: NonNullable<RoutingPlatform["describeSize"]>,
    ): PoolSizer {
        const { demand } = this.options.service;
        return new PoolSizer({ ...platformOptions, registry: this.registry, demand, buildCall: buildCall });
    }

    private async pollMembers(signal: AbortSignal): Promise<void> {
        const { clock, log } = this.options;
        while (!signal.aborted) {
            this.links.setMembers(log.configuration().members.map(({ address }) => formatAddress(address)));
            await clock.sleepToTick(MEMBERS_POLL_INTERVAL_MS, signal);
        }
    }
}

/** Lifetime of the tombstone of a departed upstream, longer than any announcement can be in transit, in milliseconds. */
const TOMBSTONE_MS = 3_600_000;
