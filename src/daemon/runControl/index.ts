import { DEFAULT_LOG_TIMING, LogTiming } from "../../consensus/index.js";
import {
    ControlProcess,
    CoverPolicy,
    createTrpcHandler,
    drainControl,
    NoProvisioning,
    OfferReader,
    operatorRouter,
    PlatformAccess,
    ProvisioningPolicy,
    RoutingOptions,
} from "../../control/index.js";
import { EntryProcess, serveAnnouncements, startQueueHost } from "../../entry/index.js";
import { Lifecycle } from "../../lifecycle/index.js";
import { NativeDialect } from "../../passthrough/index.js";
import { Address, DEFAULT_HTTP_LIMITS, FileDisk } from "../../ports/index.js";
import { CoverPurchase, DEFAULT_FORECAST } from "../../purchase/index.js";
import { ControlSettings } from "../../settings/index.js";
import { DEFAULT_REGISTRY_TIMING } from "../../upstream/index.js";
import { DaemonPorts, DaemonProcess } from "../daemonPorts/index.js";
import { serveHealth } from "../serveHealth/index.js";

/**
 * Starts a control process and, if it takes part in routed calls, its queue host.
 *
 * @param ports - Access to the machine.
 * @param settings - Validated settings.
 */
export async function runControl(ports: DaemonPorts, settings: ControlSettings): Promise<DaemonProcess> {
    const { listen, control, data, timing, usage } = settings;
    const lifecycle = new Lifecycle();
    const disk = new FileDisk(data.folder);
    await disk.makeFolder("");
    const running = await ControlProcess.start({
        ...ports,
        disk,
        peerAddress: listen.peers,
        operatorAddress: listen.operators,
        members: control.members,
        logTiming: toLogTiming(settings),
        timing,
        viewLeaseMs: timing.freshnessLeaseMs,
        windowMs: usage.windowMs,
        windowGraceMs: usage.graceMs,
        platform: toPlatformAccess(ports, settings),
        routing: toRoutingDuties(settings),
    });
    lifecycle.addCleanUp(() => running.close());
    if (running.routing && listen.upstreams) {
        const { publisher } = running.routing;
        const upstreams = await ports.http.serve(
            listen.upstreams,
            DEFAULT_HTTP_LIMITS,
            serveAnnouncements(announcement => publisher.receive(announcement)),
        );
        lifecycle.addCleanUp(() => upstreams.close());
    }
    const queues = running.routing && await startQueues(ports, settings, running);
    if (queues) lifecycle.addCleanUp(() => queues.close());
    const handleOperatorCall = createTrpcHandler(operatorRouter, () => ({
        log: running.log,
        state: running.state,
        service: running.service,
        documents: running.routing?.documents,
        zones: running.routing?.zones,
        quarantine: running.routing?.quarantine,
        operatorAddresses: [],
    }));
    const handler = serveHealth(() => running.isReady, handleOperatorCall);
    const health = await ports.http.serve(listen.operators, DEFAULT_HTTP_LIMITS, handler);
    lifecycle.addCleanUp(() => health.close());
    return { lifecycle, drain: () => drainControl(running, queues), failed: running.awaitFailure() };
}

function startQueues(
    ports: DaemonPorts,
    { host, listen, control, timing, usage }: ControlSettings,
    { router }: ControlProcess,
): Promise<EntryProcess> {
    return startQueueHost({
        ...ports,
        zone: host.zone,
        region: host.region,
        peers: listen.peers,
        sharedRouter: router,
        controlPeers: control.members.map(member => member.address),
        dialect: new NativeDialect(),
        timing,
        windowMs: usage.windowMs,
    });
}

function toLogTiming({ timing, data }: ControlSettings): LogTiming {
    return {
        ...DEFAULT_LOG_TIMING,
        leaseMs: timing.electionMs,
        electionSpreadMs: timing.electionMs,
        heartbeatMs: Math.min(DEFAULT_LOG_TIMING.heartbeatMs, timing.electionMs / 4),
        snapshotEntries: data.snapshotEntries,
        segmentBytes: data.segmentBytes,
    };
}

function toRoutingDuties({ listen, control, usage }: ControlSettings): RoutingOptions | undefined {
    if (!listen.upstreams) return undefined;
    return {
        seeds: control.members.map(({ address }) => address),
        voters: control.members.length,
        mayBootstrap: true,
        startsWindowMs: usage.windowMs,
        maxStartsReportWaitMs: usage.graceMs,
        silentAfterMs: DEFAULT_REGISTRY_TIMING.silentAfterMs,
    };
}

function toPlatformAccess(ports: DaemonPorts, { platform }: ControlSettings): PlatformAccess | undefined {
    if (!platform.address) return undefined;
    return {
        address: platform.address,
        checksFence: platform.checksFence === "yes",
        purchasePolicy: makePurchasePolicy(ports, platform.address, platform.purchases),
        purchasePeriodMs: platform.purchaseMs,
    };
}

function makePurchasePolicy(
    { http, clock, logger, metrics }: DaemonPorts,
    platform: Address,
    purchases: "off" | "cover",
): ProvisioningPolicy {
    if (purchases === "off") return new NoProvisioning();
    const offers = new OfferReader(http, clock, platform, { logger, metrics });
    return new CoverPolicy({ offers, offerPolicy: new CoverPurchase(), forecast: DEFAULT_FORECAST, logger });
}
