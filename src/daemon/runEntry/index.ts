import { DEFAULT_ENTRY_LIMITS, EntryProcess } from "../../entry/index.js";
import { Lifecycle } from "../../lifecycle/index.js";
import { DEFAULT_HTTP_LIMITS } from "../../ports/index.js";
import { EntrySettings } from "../../settings/index.js";
import { DaemonPorts, DaemonProcess } from "../daemonPorts/index.js";
import { serveHealth } from "../serveHealth/index.js";

/**
 * Runs an entry process.
 *
 * @param ports - What it takes from the machine.
 * @param settings - Checked settings.
 */
export async function runEntry(ports: DaemonPorts, settings: EntrySettings): Promise<DaemonProcess> {
    const { host, listen, control, limits, timing, streams, stop, usage } = settings;
    const lifecycle = new Lifecycle();
    // Health is served while the entry still waits for its first view.
    let isReady = (): boolean => false;
    const health = await ports.http.serve(listen.admin, DEFAULT_HTTP_LIMITS, serveHealth(() => isReady()));
    lifecycle.own(() => health.close());
    const entry = await EntryProcess.start({
        ...ports,
        zone: host.zone,
        region: host.region,
        callers: listen.callers,
        upstreams: listen.upstreams,
        peers: listen.peers,
        controlPeers: control.members.map(member => member.address),
        callerLimits: limits,
        limits: {
            ...DEFAULT_ENTRY_LIMITS,
            bodyBytes: limits.bodyBytes,
            requests: limits.connections,
            firstTokenStallMs: streams.firstByteMs,
            tokenStallMs: streams.tokenStallMs,
        },
        timing,
        windowMs: usage.windowMs,
        balancerMs: stop.balancerMs,
    }, lifecycle.signal);
    lifecycle.own(() => entry.close());
    isReady = () => !entry.isDraining && entry.control.isFresh();
    return { lifecycle, drain: () => entry.drain(stop.graceMs) };
}
