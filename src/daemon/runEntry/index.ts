import { EntryAdminServer } from "../../control/index.js";
import { DEFAULT_ENTRY_LIMITS, EntryProcess, EntryProcessAdmin } from "../../entry/index.js";
import { Lifecycle } from "../../lifecycle/index.js";
import { DEFAULT_REPEAT_LIMITS, NativeDialect } from "../../passthrough/index.js";
import { DEFAULT_HTTP_LIMITS, HttpHandler } from "../../ports/index.js";
import { EntrySettings } from "../../settings/index.js";
import { DaemonPorts, DaemonProcess } from "../daemonPorts/index.js";
import { serveHealth } from "../serveHealth/index.js";

/**
 * Starts an entry process.
 *
 * @param ports - Access to the machine.
 * @param settings - Validated settings.
 */
export async function runEntry(ports: DaemonPorts, settings: EntrySettings): Promise<DaemonProcess> {
    const { host, listen, control, limits, timing, streams, stop, usage } = settings;
    const lifecycle = new Lifecycle();
    // Set once the entry has started: the health server already answers while the entry waits for its first view.
    const started: { entry?: EntryProcess; } = {};
    const isReady = (): boolean => !started.entry?.isDraining && (started.entry?.control.isFresh() ?? false);
    const handleAdminCall: HttpHandler = async (req, res) => {
        if (started.entry) {
            return new EntryAdminServer(makeAdmin(ports, started.entry, stop.graceMs)).handler(req, res);
        }
        res.head(503, []);
        res.end();
    };
    const health = await ports.http.serve(listen.admin, DEFAULT_HTTP_LIMITS, serveHealth(isReady, handleAdminCall));
    lifecycle.addCleanUp(() => health.close());
    const entry = await EntryProcess.start({
        ...ports,
        zone: host.zone,
        region: host.region,
        callers: listen.callers,
        upstreams: listen.upstreams,
        peers: listen.peers,
        admin: listen.admin,
        relay: listen.relay,
        controlPeers: control.members.map(member => member.address),
        callerLimits: limits,
        limits: {
            ...DEFAULT_ENTRY_LIMITS,
            bodyBytes: limits.bodyBytes,
            requests: limits.requests,
            firstTokenStallMs: streams.firstByteMs,
            tokenStallMs: streams.tokenStallMs,
        },
        timing,
        windowMs: usage.windowMs,
        balancerMs: stop.balancerMs,
        routes: listen.routes && {
            callers: listen.routes,
            dialect: new NativeDialect(),
            repeats: DEFAULT_REPEAT_LIMITS,
            startsWindowMs: usage.windowMs,
        },
    }, lifecycle.signal);
    lifecycle.addCleanUp(() => entry.close());
    started.entry = entry;
    return { lifecycle, drain: () => entry.drain(stop.graceMs) };
}

function makeAdmin(ports: DaemonPorts, entry: EntryProcess, graceMs: number): EntryProcessAdmin {
    return new EntryProcessAdmin({
        clock: ports.clock,
        registry: entry.registry,
        local: entry.local,
        requests: entry.requests,
        histograms: ports.histograms,
        drain: () => void entry.drain(graceMs),
        stop: ports.requestStop,
    });
}
