import { BootstrapMember, LogTiming, ReplicatedLog } from "../../consensus/index.js";
import { Lifecycle } from "../../lifecycle/index.js";
import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { Address, Clock, Disk, formatAddress, Network, Random } from "../../ports/index.js";
import { PeerIdentity, PeerRouter, PeerTiming, reportTraffic, servePeers } from "../../wire/index.js";
import { ConnectionSender } from "../connectionSender/index.js";
import { ControlService } from "../controlService/index.js";
import { EntrySweeper } from "../entrySweeper/index.js";
import { HolderAnnouncer } from "../holderAnnouncer/index.js";
import { HolderRunner, HolderTask } from "../holderRunner/index.js";
import { OrderSender } from "../orderSender/index.js";
import { PurchasePolicy, PurchaseRunner } from "../purchaseRunner/index.js";
import { RoutingDuties, RoutingService } from "../routingService/index.js";
import { ControlState } from "../state/index.js";
import { UsageReporter } from "../usageReporter/index.js";
import { WindowCloser } from "../windowCloser/index.js";

/** The platform, as a control process sees it. */
export interface PlatformAccess {
    readonly address: Address;
    /** The platform refuses what comes with an old fencing token. */
    readonly checksFence: boolean;
    readonly purchasePolicy: PurchasePolicy;
    /** How often purchases are planned, in milliseconds. */
    readonly purchasePeriodMs: number;
}

/** What a control process is made of. */
export interface ControlOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly network: Network;
    readonly disk: Disk;
    readonly logger: Logger;
    /** Undefined: nothing is counted. */
    readonly metrics?: Metrics;
    readonly self: PeerIdentity;
    readonly peers: Address;
    /** Where this process answers operators; undefined: it can't send them on to itself from elsewhere. */
    readonly operators?: Address;
    readonly members: readonly BootstrapMember[];
    readonly logTiming: LogTiming;
    readonly timing: PeerTiming;
    /** How long an entry may work on one view, in milliseconds. */
    readonly viewLeaseMs: number;
    readonly windowMs: number;
    /** How long after its end a usage window still takes usage, in milliseconds. */
    readonly windowGraceMs: number;
    /** Undefined: no orders and no usage reports are sent. */
    readonly platform: PlatformAccess | undefined;
    /** Undefined: calls are not routed by a fleet document. */
    readonly routing?: RoutingDuties;
}

/**
 * A control process: a replica of the control log, the entries' service, and the tasks of the holder of the lease.
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
        /** Undefined where calls are not routed by a fleet document. */
        readonly routing: RoutingService | undefined,
        /** Answers all processes that are connected to this one. */
        readonly router: PeerRouter,
        private readonly lifecycle: Lifecycle,
    ) {}

    /**
     * Starts a control process.
     *
     * @throws StoreError when the data folder is damaged or in use, NetworkError when the address is taken.
     */
    static async start(options: ControlOptions): Promise<ControlProcess> {
        const { clock, logTiming, timing, peers: address, members, viewLeaseMs, logger, routing } = options;
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
            mayFound: routing?.mayFound,
            targetVoters: routing?.voters,
        });
        lifecycle.own(() => log.close());
        const listControls = (): string[] => log.configuration().members.map(member => formatAddress(member.address));
        const service = new ControlService({ log, state, clock, router, viewLeaseMs, listControls });
        lifecycle.own(() => service.close());
        const parts = { ...options, log, state, service, router, lifecycle };
        const routed = routing && new RoutingService({ ...parts, routing });
        const control = new ControlProcess(log, service, state, routed, router, lifecycle);
        try {
            const peers = await servePeers({ ...options, address, router });
            lifecycle.own(() => peers.close());
        }
        catch (err) {
            await lifecycle.close();
            throw err;
        }
        log.start();
        routed?.start();
        const runner = control.makeRunner(options);
        const onError = (err: unknown): void =>
            logger.error("holder-runner-failed", { problem: String((err as Error).stack) });
        lifecycle.run(signal => runner.run(signal), onError);
        const { traffic } = router;
        lifecycle.run(signal => reportTraffic({ ...options, traffic }, signal), onError);
        return control;
    }

    /** True while some process holds the control lease, as far as is known here. */
    get isReady(): boolean {
        return this.log.holder() !== undefined;
    }

    /** Settles when the control log has ended by a fault: without it this process can do nothing. */
    awaitFailure(): Promise<Error> {
        return new Promise(resolve => {
            void this.log.stopped.then(err => err && resolve(err));
        });
    }

    /** Ends everything at once. */
    close(): Promise<void> {
        return this.lifecycle.close();
    }

    private makeRunner(options: ControlOptions): HolderRunner {
        const { clock, network, logger, logTiming, routing } = options;
        const sender = new ConnectionSender(network, clock, routing?.platform?.flightMs);
        this.lifecycle.own(() => sender.resetAll());
        return new HolderRunner({
            log: this.log,
            clock,
            logger,
            sender,
            tasks: this.makeTasks(options, sender),
            holderLeaseMs: logTiming.leaseMs,
        });
    }

    private makeTasks(options: ControlOptions, sender: ConnectionSender): HolderTask[] {
        const { platform, operators, self, windowGraceMs: graceMs } = options;
        const parts = { ...options, log: this.log, state: this.state, sender };
        const tasks: HolderTask[] = [
            new WindowCloser({ ...parts, graceMs }),
            new EntrySweeper({ ...parts, entries: this.service.entries }),
            ...this.routing?.makeTasks(sender) ?? [],
        ];
        if (operators) {
            const operatorAddress = formatAddress(operators);
            tasks.push(new HolderAnnouncer({ ...parts, host: self.host, operatorAddress }));
        }
        if (!platform) return tasks;
        const towards = { ...parts, platform: platform.address, platformChecksFence: platform.checksFence };
        const { demand } = this.service;
        const purchases = { ...parts, demand, policy: platform.purchasePolicy, periodMs: platform.purchasePeriodMs };
        return [...tasks, new UsageReporter(towards), new OrderSender(towards), new PurchaseRunner(purchases)];
    }
}
