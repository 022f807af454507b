import { SendGuard } from "../../dispatch/index.js";
import { HostId, UpstreamId, ZoneId } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { Clock, Http, HttpReply, Network, Random } from "../../ports/index.js";
import { UpstreamHttp, UpstreamRegistry, UpstreamSignals } from "../../upstream/index.js";
import { DirectSender } from "../directSender/index.js";
import { PathMonitor } from "../pathMonitor/index.js";
import { RelayClient } from "../relayClient/index.js";
import { RelayDirectory } from "../relayDirectory/index.js";
import { RelayedHttp } from "../relayedHttp/index.js";
import { RelayPicker } from "../relayPicker/index.js";
import { RelayProbe } from "../relayProbe/index.js";
import { RelayServer } from "../relayServer/index.js";
import { SilenceWatch } from "../silenceWatch/index.js";

/** Options of `UpstreamAccess`. */
export interface UpstreamAccessOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly network: Network;
    readonly http: Http;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly self: HostId;
    readonly zone: ZoneId;
    readonly registry: UpstreamRegistry;
    readonly directory: RelayDirectory;
    readonly sendGuard: SendGuard;
    /** Reads what an upstream's answer states about itself. */
    readonly readSignals: (reply: HttpReply) => UpstreamSignals;
}

/**
 * A host's access to upstreams: its own paths, the way through other hosts, and what it sends for these.
 *
 * @example
 * const access = new UpstreamAccess(options);
 * lifecycle.run(signal => access.paths.run(signal), logError);
 * const sent = await access.http.send(call);
 */
export class UpstreamAccess {
    readonly http: UpstreamHttp;
    readonly paths: PathMonitor;
    /** What this host sends for others. */
    readonly relays: RelayServer;
    private readonly picker: RelayPicker;

    constructor(private readonly options: UpstreamAccessOptions) {
        const { clock, http, registry } = options;
        const picker = new RelayPicker(options);
        const zoneOf = (upstream: UpstreamId): ZoneId | undefined => registry.get(upstream)?.zone;
        const client = new RelayClient({ ...options, picker, zoneOf });
        const probe = new RelayProbe({ ...options, picker });
        const peers = { probe: probe.ask.bind(probe), hasPeers: () => options.directory.listRelays().length > 0 };
        const paths = new PathMonitor({ ...options, peers });
        const silence = new SilenceWatch(clock, target => void paths.check(target));
        const sender = new DirectSender(http, silence);
        this.picker = picker;
        this.paths = paths;
        this.http = new RelayedHttp({ ...options, sender, paths, client, silence });
        this.relays = new RelayServer({ ...options, sender, paths });
        registry.onChange(({ id, state }) => {
            if (state === "gone") paths.forget(id);
        });
    }

    /** Whether this host can send requests to most upstreams, itself or through another host. */
    get hasWay(): boolean {
        const { lostCount } = this.paths;
        if (lostCount === 0 || this.picker.hasAny()) return true;
        const reachable = this.options.registry.listAll().filter(({ isGrantable }) => isGrantable).length - lostCount;
        return reachable > lostCount;
    }
}
