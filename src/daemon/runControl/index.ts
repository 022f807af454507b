import { ReplicatedLog } from "../../consensus/index.js";
import { ControlService, ControlState } from "../../control/index.js";
import { Lifecycle } from "../../lifecycle/index.js";
import { DEFAULT_HTTP_LIMITS, FileDisk } from "../../ports/index.js";
import { ControlSettings } from "../../settings/index.js";
import { PeerRouter, servePeers } from "../../wire/index.js";
import { DaemonPorts, DaemonProcess } from "../daemonPorts/index.js";
import { serveHealth } from "../serveHealth/index.js";

/**
 * Runs a control process.
 *
 * @param ports - What it takes from the machine.
 * @param settings - Checked settings.
 */
export async function runControl(ports: DaemonPorts, settings: ControlSettings): Promise<DaemonProcess> {
    const { listen, control, data, timing } = settings;
    const lifecycle = new Lifecycle();
    const disk = new FileDisk(data.folder);
    await disk.makeFolder("");
    const lock = await disk.lock();
    lifecycle.own(() => lock.release());
    const router = new PeerRouter();
    const state = new ControlState();
    const log = await ReplicatedLog.open({
        ...ports,
        disk,
        router,
        address: listen.peers,
        bootstrap: control.members,
        stateMachine: state,
        timing,
    });
    lifecycle.own(() => log.close());
    const service = new ControlService({
        log,
        state,
        clock: ports.clock,
        router,
        viewLeaseMs: timing.freshnessLeaseMs,
    });
    lifecycle.own(() => service.close());
    const peers = await servePeers({ ...ports, address: listen.peers, router, timing });
    lifecycle.own(() => peers.close());
    const health = await ports.http.serve(
        listen.operators,
        DEFAULT_HTTP_LIMITS,
        serveHealth(() => log.holder() !== undefined),
    );
    lifecycle.own(() => health.close());
    await log.start();
    return { lifecycle, drain: async () => true };
}
