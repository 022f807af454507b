import { BootstrapMember, LogTiming, ReplicatedLog } from "../../consensus/index.js";
import { Lifecycle } from "../../lifecycle/index.js";
import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { Address, Clock, Disk, formatAddress, Network, Random } from "../../ports/index.js";
import { PeerIdentity, PeerRouter, PeerTiming, reportTraffic, servePeers } from "../../wire/index.js";
import { AbandonedCallReaper } from "../abandonedCallReaper/index.js";
import { ConnectionSender } from "../connectionSender/index.js";
import { ControlService } from "../controlService/index.js";
import { ControlState } from "../controlState/index.js";
import { HolderAnnouncer } from "../holderAnnouncer/index.js";
import { serveForwards } from "../holderForwarder/index.js";
import { HolderRunner, HolderTask } from "../holderRunner/index.js";
import { LateStarts } from "../lateStarts/index.js";
import { openUsageJournal } from "../openUsageJournal/index.js";
import { OrderSender } from "../orderSender/index.js";
import { ProvisioningPolicy, PurchaseRunner } from "../purchaseRunner/index.js";
import { RoutingOptions, RoutingService } from "../routingService/index.js";
import { StartsTable } from "../startsTable/index.js";
import { UsageCollector } from "../usageCollector/index.js";
import { UsageJournal } from "../usageJournal/index.js";
import { UsageRecorder } from "../usageRecorder/index.js";
import { UsageReporter } from "../usageReporter/index.js";
import { UsageWindowCloser } from "../usageWindowCloser/index.js";

/** Maximum time for handing over the vote and the leadership at a planned stop, in milliseconds. */
const MAX_LEAVE_MS = 3_000;

/** Connection and purchase settings for the platform that starts and stops upstreams. */
export interface PlatformAccess {
    readonly address: Address;
    /** The platform refuses messages with an outdated fencing token. */
    readonly checksFence: boolean;
    /** Decides which upstreams to start and stop. */
    readonly purchasePolicy: ProvisioningPolicy;
    /** Interval between runs of the purchase policy, in milliseconds. */
    readonly purchasePeriodMs: number;
}

/** Options of `ControlProcess.start`. */
export interface ControlProcessOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly network: Network;
    readonly disk: Disk;
    readonly logger: Logger;
    /** Receives metrics; undefined: none are recorded. */
    readonly metrics?: Metrics;
    readonly self: PeerIdentity;
    /** Listen address for peer connections of entry and control processes. */
    readonly peerAddress: Address;
    /** Address of the operators' API; undefined: other control processes can't redirect operators here. */
    readonly operatorAddress?: Address;
    /** Members with which the cluster is bootstrapped. */
    readonly members: readonly BootstrapMember[];
    readonly logTiming: LogTiming;
    /** Timing of peer links. */
    readonly timing: PeerTiming;
    /** Freshness lease of an entry's view: how long an entry may use a view after it asked for it, in milliseconds. */
    readonly viewLeaseMs: number;
    /** Length of a usage window, in milliseconds. */
    readonly windowMs: number;
    /** How long after its end a usage window still accepts usage, in milliseconds. */
    readonly windowGraceMs: number;
    /** Undefined: neither orders nor usage reports are sent. */
    readonly platform: PlatformAccess | undefined;
    /** Options for calls that are routed by the fleet document; undefined: there is no document routing. */
    readonly routing?: RoutingOptions;
}

/**
 * A control process: a replica of the control log, the service for entry processes, and the tasks of the lease holder.
 *
 * @example
 * const control = await ControlProcess.start(options);
 * await control.close();
 */
export class ControlProcess {
    private constructor(
        readonly log: ReplicatedLog,
        readonly service: ControlService,
        readonly state: ControlState,
        /** Undefined without document routing. */
        readonly routing: RoutingService | undefined,
        /** Dispatches requests from connected peers to their handlers. */
        readonly router: PeerRouter,
        private readonly journal: UsageJournal,
        private readonly startsTable: StartsTable,
        private readonly lifecycle: Lifecycle,
    ) {}

    /**
     * Starts a control process.
     *
     * @throws StoreError when the data folder is damaged or in use, NetworkError when the address is in use.
     */
    static async start(options: ControlProcessOptions): Promise<ControlProcess> {
        const { clock, logTiming, timing, peerAddress: address, members, viewLeaseMs, logger, routing } = options;
        const lifecycle = new Lifecycle();
        const router = new PeerRouter();
        const state = new ControlState();
        const log = await ReplicatedLog.open({
            ...options,
            router,
            address,
            bootstrap: members,
            stateMachine: state,
            timing: logTiming,
            peerTiming: timing,
            mayBootstrap: routing?.mayBootstrap,
            targetVoters: routing?.voters ?? members.length,
        });
        lifecycle.addCleanUp(() => log.close());
        const startsTable = new StartsTable(clock, router);
        const journal = await openUsageJournal({ ...options, log, router, state, startsTable, lifecycle });
        const listControls = (): string[] => log.configuration().members.map(member => formatAddress(member.address));
        const service = new ControlService({ log, state, clock, router, viewLeaseMs, listControls });
        lifecycle.addCleanUp(() => service.close());
        serveForwards(router, log);
        const shared = { ...options, log, state, service, router, lifecycle, startsTable };
        const routingService = routing && new RoutingService({ ...shared, routing });
        const control = new ControlProcess(
            log,
            service,
            state,
            routingService,
            router,
            journal,
            startsTable,
            lifecycle,
        );
        try {
            const peers = await servePeers({ ...options, address, router });
            lifecycle.addCleanUp(() => peers.close());
        }
        catch (err) {
            await lifecycle.close();
            throw err;
        }
        log.start();
        routingService?.start();
        const runner = control.makeRunner(options);
        const onError = (err: unknown): void =>
            logger.error("holder-runner-failed", { problem: String((err as Error).stack) });
        lifecycle.run(signal => runner.run(signal), onError);
        const { traffic } = router;
        lifecycle.run(signal => reportTraffic({ ...options, traffic }, signal), onError);
        return control;
    }

    /** True while this process knows a holder of the control lease. */
    get isReady(): boolean {
        return this.log.holder() !== undefined;
    }

    /** Resolves when the control log has failed; the process can't continue without it. */
    awaitFailure(): Promise<Error> {
        return new Promise(resolve => {
            void this.log.stopped.then(err => err && resolve(err));
        });
    }

    /**
     * Hands over what this process holds in the control log, before a planned stop.
     *
     * @param limitMs - Maximum time, in milliseconds. Returns at once when nobody can take over.
     * @returns Whether nothing was left to hand over.
     */
    async leave(limitMs = MAX_LEAVE_MS): Promise<boolean> {
        return await this.log.leave(limitMs) !== "timeout";
    }

    /** Stops all tasks, connections and the control log immediately. */
    close(): Promise<void> {
        return this.lifecycle.close();
    }

    private makeRunner(options: ControlProcessOptions): HolderRunner {
        const { clock, network, logger, logTiming, routing } = options;
        const sender = new ConnectionSender(network, clock, routing?.platform?.maxDeliveryMs);
        this.lifecycle.addCleanUp(() => sender.resetAll());
        return new HolderRunner({
            log: this.log,
            clock,
            logger,
            sender,
            tasks: this.makeTasks(options, sender),
            holderLeaseMs: logTiming.leaseMs,
        });
    }

    private makeTasks(options: ControlProcessOptions, sender: ConnectionSender): HolderTask[] {
        const { platform, operatorAddress: operators, self, windowGraceMs: graceMs } = options;
        const { log, state, journal, startsTable: table } = this;
        const shared = { ...options, log, state, sender };
        const callVoters = log.callVoters.bind(log);
        const late = new LateStarts();
        const collector = new UsageCollector({ ...options, journal, table, callVoters });
        const tasks: HolderTask[] = [
            collector,
            new UsageRecorder({ ...shared, table, late, listBatches: () => journal.listBatches() }),
            new UsageWindowCloser({ ...shared, graceMs, collector }),
            new AbandonedCallReaper({ ...shared, entries: this.service.entries }),
            ...this.routing?.makeTasks(sender, collector, late) ?? [],
        ];
        if (operators) {
            const operatorAddress = formatAddress(operators);
            tasks.push(new HolderAnnouncer({ ...shared, host: self.host, operatorAddress }));
        }
        if (!platform) return tasks;
        const platformOptions = { ...shared, platform: platform.address, platformChecksFence: platform.checksFence };
        const { demand } = this.service;
        const purchases = { ...shared, demand, policy: platform.purchasePolicy, periodMs: platform.purchasePeriodMs };
        return [
            ...tasks,
            new UsageReporter(platformOptions),
            new OrderSender(platformOptions),
            new PurchaseRunner(purchases),
        ];
    }
}
