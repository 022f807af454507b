import { computeMaxReportWaitMs, ControlProcess, drainControl, RoutingPlatform } from "../../control/index.js";
import { answerOpenRequests, DaemonPorts, DaemonProcess } from "../../daemon/index.js";
import { startQueueHost } from "../../entry/index.js";
import { Lifecycle } from "../../lifecycle/index.js";
import { DEFAULT_HTTP_LIMITS, FileDisk } from "../../ports/index.js";
import { DEFAULT_REGISTRY_TIMING } from "../../upstream/index.js";
import { serveControlPlane } from "../controlPlane/index.js";
import { NodeSettings } from "../nodeSettings/index.js";
import { makePlatformCalls } from "../platformCalls/index.js";
import { PlatformDialect } from "../platformDialect/index.js";
import {
    CONTROL_LOG_TIMING,
    EXIT_RESERVE_MS,
    INTERNAL_PEER_TIMING,
    MAX_PLATFORM_CALL_MS,
    upstreamTimeoutMs,
    VIEW_LEASE_SHARE,
} from "../timing/index.js";

/** A running control process. */
export interface ControlNode extends DaemonProcess {
    /** Applies the settings that may change while the process runs: the seeds. */
    readonly reload: (settings: NodeSettings) => void;
}

/**
 * Starts a control process and its queue host with the platform's settings.
 *
 * @throws Error when `listen.controlPlane` or `dataDir` is missing.
 */
export async function runControlNode(ports: DaemonPorts, settings: NodeSettings): Promise<ControlNode> {
    const { control: address, dataFolder, ip, controlPeerPort, seeds, usageWindowMs, revokeMs } = settings;
    if (!address || !dataFolder) {
        throw new Error("this machine serves no control: listen.controlPlane or dataDir is missing");
    }
    const lifecycle = new Lifecycle();
    const disk = new FileDisk(dataFolder);
    await disk.makeFolder("");
    const running = await ControlProcess.start({
        ...ports,
        disk,
        peerAddress: { host: ip, port: controlPeerPort },
        members: seeds.map(seed => ({ address: seed })),
        logTiming: CONTROL_LOG_TIMING,
        timing: INTERNAL_PEER_TIMING,
        viewLeaseMs: VIEW_LEASE_SHARE * revokeMs,
        windowMs: usageWindowMs,
        windowGraceMs: usageWindowMs,
        platform: undefined,
        routing: {
            seeds,
            // An acknowledged entry is on a majority: when any of the tolerated losses follow, one voter with the entry is left.
            voters: 2 * settings.toleratedLosses + 1,
            mayBootstrap: settings.isFirstStart && settings.isSeed,
            startsWindowMs: usageWindowMs,
            maxStartsReportWaitMs: computeMaxReportWaitMs(settings.usageDueMs),
            silentAfterMs: upstreamTimeoutMs(settings.heartbeatMs),
            zones: settings.zones.length > 0 ? settings.zones : undefined,
            platform: makeRoutingPlatform(ports, settings),
        },
    });
    lifecycle.addCleanUp(() => running.close());
    const routing = running.routing!;
    const listener = await ports.http.serve(address, DEFAULT_HTTP_LIMITS, serveControlPlane(routing, ports.logger));
    lifecycle.addCleanUp(() => listener.close());
    const queues = await startQueueHost({
        ...ports,
        zone: settings.zone,
        region: settings.region,
        peers: { host: ip, port: controlPeerPort },
        sharedRouter: running.router,
        controlPeers: seeds,
        dialect: new PlatformDialect(),
        timing: INTERNAL_PEER_TIMING,
        registryTiming: { ...DEFAULT_REGISTRY_TIMING, silentAfterMs: upstreamTimeoutMs(settings.heartbeatMs) },
        windowMs: usageWindowMs,
    });
    lifecycle.addCleanUp(() => queues.close());
    return {
        lifecycle,
        drain: async () => {
            const exitAt = ports.clock.monotonic() + settings.graceMs - EXIT_RESERVE_MS;
            const isHandedOver = await drainControl(running, queues);
            const limitMs = Math.max(0, exitAt - ports.clock.monotonic());
            return await answerOpenRequests(listener, ports.clock, limitMs) && isHandedOver;
        },
        failed: running.awaitFailure(),
        reload: changed => {
            routing.setSeeds(changed.seeds);
            queues.setControlPeers(changed.seeds);
        },
    };
}

function makeRoutingPlatform({ self }: DaemonPorts, settings: NodeSettings): RoutingPlatform | undefined {
    const { platform, platformChecksFence } = settings;
    if (!platform) return undefined;
    return {
        checksFence: platformChecksFence,
        maxDeliveryMs: MAX_PLATFORM_CALL_MS,
        ...makePlatformCalls(platform, self.host),
    };
}
