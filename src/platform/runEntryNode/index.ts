import { DaemonPorts, DaemonProcess } from "../../daemon/index.js";
import { DEFAULT_ENTRY_LIMITS, EntryProcess } from "../../entry/index.js";
import { Lifecycle } from "../../lifecycle/index.js";
import { DEFAULT_HTTP_LIMITS } from "../../ports/index.js";
import { DEFAULT_REGISTRY_TIMING } from "../../upstream/index.js";
import { NodeSettings } from "../nodeSettings/index.js";
import { PlatformDialect } from "../platformDialect/index.js";
import { serveReadiness } from "../serveReadiness/index.js";
import { EXIT_RESERVE_MS, INTERNAL_PEER_TIMING, upstreamTimeoutMs } from "../timing/index.js";

/**
 * Time until the platform's balancer sends no more callers to an entry that is not ready: it checks every second and acts on
 * two failed checks.
 */
const BALANCER_DETECTION_MS = 3_000;

/** A running entry process. */
export interface EntryNode extends DaemonProcess {
    /** Applies the settings that may change while the process runs: the seeds. */
    readonly reload: (settings: NodeSettings) => void;
}

/**
 * Starts an entry process with the platform's settings.
 *
 * @throws Error when `listen.frontend` or `listen.ready` is missing.
 */
export async function runEntryNode(ports: DaemonPorts, settings: NodeSettings): Promise<EntryNode> {
    const { callers, readiness, ip, heartbeatMs, graceMs } = settings;
    if (!callers || !readiness) {
        throw new Error("this machine serves no callers: listen.frontend or listen.ready is missing");
    }
    const lifecycle = new Lifecycle();
    const entry = await EntryProcess.start({
        ...ports,
        zone: settings.zone,
        region: settings.region,
        peers: { host: ip, port: settings.entryPeerPort },
        relay: { host: ip, port: settings.relayPort },
        controlPeers: settings.seeds,
        callerLimits: DEFAULT_HTTP_LIMITS,
        limits: DEFAULT_ENTRY_LIMITS,
        timing: INTERNAL_PEER_TIMING,
        windowMs: settings.usageWindowMs,
        balancerMs: BALANCER_DETECTION_MS,
        registryTiming: { ...DEFAULT_REGISTRY_TIMING, silentAfterMs: upstreamTimeoutMs(heartbeatMs) },
        routes: {
            callers,
            dialect: new PlatformDialect(),
            repeats: {
                ratio: settings.repeatRatio,
                windowMs: settings.repeatWindowMs,
                slack: settings.repeatSlack,
            },
            startsWindowMs: settings.usageWindowMs,
        },
    });
    lifecycle.addCleanUp(() => entry.close());
    const isReady = (): boolean => entry.routeService?.isReady ?? false;
    const health = await ports.http.serve(readiness, DEFAULT_HTTP_LIMITS, serveReadiness(isReady));
    lifecycle.addCleanUp(() => health.close());
    return {
        lifecycle,
        drain: () => entry.drain(graceMs - BALANCER_DETECTION_MS - EXIT_RESERVE_MS),
        reload: changed => entry.setControlPeers(changed.seeds),
    };
}
