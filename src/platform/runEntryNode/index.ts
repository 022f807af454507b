import { DaemonPorts, DaemonProcess } from "../../daemon/index.js";
import { DEFAULT_ENTRY_LIMITS, EntryProcess } from "../../entry/index.js";
import { Lifecycle } from "../../lifecycle/index.js";
import { DEFAULT_HTTP_LIMITS } from "../../ports/index.js";
import { DEFAULT_REGISTRY_TIMING } from "../../upstream/index.js";
import { NodeSettings } from "../nodeSettings/index.js";
import { serveReadiness } from "../readiness/index.js";
import { OWN_PEER_TIMING, silenceOf } from "../timing/index.js";
import { WireDialect } from "../wireDialect/index.js";

/** The platform asks every second and believes two misses; then it sends no more callers, in milliseconds. */
const BALANCER_MS = 3_000;
/** Kept of the grace period for ending the process, in milliseconds. */
const EXIT_MS = 700;

/** A running entry, and what its settings may change. */
export interface EntryNode extends DaemonProcess {
    readonly reload: (settings: NodeSettings) => void;
}

/** Runs an entry by the platform's settings. */
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
        controlPeers: settings.seeds,
        callerLimits: DEFAULT_HTTP_LIMITS,
        limits: DEFAULT_ENTRY_LIMITS,
        timing: OWN_PEER_TIMING,
        windowMs: settings.usageWindowMs,
        balancerMs: BALANCER_MS,
        registryTiming: { ...DEFAULT_REGISTRY_TIMING, silentAfterMs: silenceOf(heartbeatMs) },
        routes: {
            callers,
            dialect: new WireDialect(),
            repeats: {
                ratio: settings.repeatRatio,
                windowMs: settings.repeatWindowMs,
                slack: settings.repeatSlack,
            },
            startsWindowMs: settings.usageWindowMs,
        },
    });
    lifecycle.own(() => entry.close());
    const isReady = (): boolean => entry.routes?.isReady ?? false;
    const health = await ports.http.serve(readiness, DEFAULT_HTTP_LIMITS, serveReadiness(isReady));
    lifecycle.own(() => health.close());
    return {
        lifecycle,
        drain: () => entry.drain(graceMs - BALANCER_MS - EXIT_MS),
        reload: changed => entry.setControlPeers(changed.seeds),
    };
}
