import { UpstreamId } from "../../ids/index.js";
import { WaitCondition } from "../../lifecycle/index.js";
import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { Clock, Network, Random } from "../../ports/index.js";
import { PathFinding, Upstream, UpstreamRegistry, UpstreamTarget } from "../../upstream/index.js";
import { PathTable } from "../pathTable/index.js";
import { RelayFinding } from "../relayMessage/index.js";

/** Timeout for connecting to an upstream, in milliseconds: less than the first retransmission of a lost SYN. */
const CONNECT_TIMEOUT_MS = 250;
/** Time without a connection after which other hosts are asked whether they reach the upstream, in milliseconds. */
export const PEER_CHECK_DELAY_MS = 100;
/** Timeout for connecting to an upstream on behalf of another host, which waits for the result, in milliseconds. */
const PEER_CONNECT_TIMEOUT_MS = 100;
/** Time for which the result of a connection that was opened for another host is reused, in milliseconds. */
const PEER_PROBE_REUSE_MS = 100;
/** Interval of the probes of lost paths, in milliseconds, and number of paths probed each time. */
const PROBE_INTERVAL_MS = 500;
const PATHS_PER_PROBE = 3;
/** Number of further upstreams whose paths are checked when the first one is found lost. */
const FURTHER_CHECKS = 4;
const IDLE_WAIT_MS = 60_000;

/** Result of opening a connection from this host. */
type ConnectResult = "open" | "refused" | "timeout";

/** Asks other hosts whether they reach an upstream. */
export interface PeerProbe {
    probe(target: UpstreamTarget): Promise<RelayFinding>;
    /** Whether there are hosts to ask. */
    hasPeers(): boolean;
}

/** Options of `PathMonitor`. */
export interface PathMonitorOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly network: Network;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly registry: Pick<UpstreamRegistry, "listAll">;
    readonly peers: PeerProbe;
}

/**
 * Knows which paths from this host to upstreams are lost. A path counts as lost only while another host reaches the upstream: one host
 * alone can't tell its own loss from the upstream's. Lost paths are probed and used again once they have proved themselves.
 *
 * @example
 * if (monitor.isLost(target)) return relayClient.send(call);
 */
export class PathMonitor {
    private readonly table: PathTable;
    private readonly checks = new Map<UpstreamId, Promise<PathFinding>>();
    private readonly peerChecks = new Map<UpstreamId, Promise<RelayFinding>>();
    private readonly peerProbes = new Map<UpstreamId, Promise<ConnectResult>>();
    private readonly lossFound = new WaitCondition();
    private readonly lossListeners: ((target: UpstreamTarget) => void)[] = [];
    private nextProbe = 0;

    constructor(private readonly options: PathMonitorOptions) {
        this.table = new PathTable(options.clock);
    }

    /** Number of upstreams whose paths are lost. */
    get lostCount(): number {
        return this.table.size;
    }

    /** Whether requests to an upstream should go another way. */
    isLost(target: UpstreamTarget): boolean {
        return this.table.isLost(target);
    }

    /** Whether the path to an upstream is lost, or was at some time since a monotonic time in milliseconds. */
    hadLost(target: UpstreamTarget, since: number): boolean {
        return this.table.hadLost(target, since);
    }

    /** Registers a listener that is called when a path is found lost. */
    onLost(listener: (target: UpstreamTarget) => void): void {
        this.lossListeners.push(listener);
    }

    /** Records that a new connection to an upstream has been opened from this host. */
    recordConnection(target: UpstreamTarget): void {
        this.table.recordConnection(target);
    }

    /** Forgets an upstream that has ended. */
    forget(upstream: UpstreamId): void {
        this.table.forget(upstream);
        this.updateGauge();
    }

    /** Records that other hosts reach an upstream to which this one has just failed to connect. */
    recordLost(target: UpstreamTarget): void {
        const isFirst = this.table.size === 0;
        if (!this.table.recordLost(target)) return;
        const { pool, upstream } = target;
        this.options.logger.warn("path-lost", { pool, upstream });
        this.options.metrics.count("paths_lost", 1, { pool });
        this.updateGauge();
        this.lossFound.notifyAll();
        for (const listener of this.lossListeners) listener(target);
        if (isFirst) this.checkFurther(target);
    }

    /** Asks other hosts whether they reach an upstream. Concurrent callers share the answer. */
    askPeers(target: UpstreamTarget): Promise<RelayFinding> {
        return shareWork(this.peerChecks, target.upstream, () => this.options.peers.probe(target));
    }

    /** Determines who reaches an upstream. Concurrent callers share the finding. */
    check(target: UpstreamTarget): Promise<PathFinding> {
        return shareWork(this.checks, target.upstream, () => this.runCheck(target));
    }

    /** Determines for another host whether this one reaches an upstream. */
    async probeForPeer(target: UpstreamTarget): Promise<RelayFinding> {
        const { clock } = this.options;
        if (this.isLost(target)) return "unknown";
        const { upstream } = target;
        let probe = this.peerProbes.get(upstream);
        if (!probe) {
            probe = this.connect(target, PEER_CONNECT_TIMEOUT_MS);
            this.peerProbes.set(upstream, probe);
            void probe.then(() => clock.after(PEER_PROBE_REUSE_MS, () => this.peerProbes.delete(upstream)));
        }
        const result = await probe;
        if (result === "open") return "reached";
        return result === "refused" ? "refused" : "unreachable";
    }

    /** Probes lost paths until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock } = this.options;
        while (!signal.aborted) {
            if (this.table.size === 0) {
                await this.lossFound.wait(clock, IDLE_WAIT_MS, signal);
                continue;
            }
            await clock.sleep(PROBE_INTERVAL_MS, signal);
            await Promise.all(this.takeNextProbes().map(target => this.probeLost(target)));
        }
    }

    private takeNextProbes(): UpstreamTarget[] {
        const lost = this.table.listLost();
        const count = Math.min(PATHS_PER_PROBE, lost.length);
        const first = this.nextProbe;
        this.nextProbe += count;
        return Array.from({ length: count }, (_, index) => lost[(first + index) % lost.length]);
    }

    private async probeLost(target: UpstreamTarget): Promise<void> {
        const isReached = await this.connect(target) === "open";
        const restored = this.table.recordProbe(target, isReached);
        if (restored.length === 0) return;
        const upstreams = restored.map(({ upstream }) => upstream).join(" ");
        this.options.logger.info("paths-restored", { pool: target.pool, upstreams });
        this.updateGauge();
    }

    /** Checks the paths to some other upstreams, so that requests to them need not find out one by one. */
    private checkFurther({ upstream: first }: UpstreamTarget): void {
        const { registry, random } = this.options;
        const others = registry.listAll().filter(({ id, isGrantable }) => id !== first && isGrantable);
        for (let count = 0; count < FURTHER_CHECKS && others.length > 0; count++) {
            const [upstream] = others.splice(random.integer(0, others.length), 1);
            void this.check(toTarget(upstream));
        }
    }

    private async runCheck(target: UpstreamTarget): Promise<PathFinding> {
        const { clock, peers } = this.options;
        let isOpen = false;
        const connecting = this.connect(target).then(result => {
            isOpen = result === "open";
            return result;
        });
        await Promise.race([connecting, clock.sleep(PEER_CHECK_DELAY_MS)]);
        if (isOpen) return "open";
        const finding = await this.askPeers(target);
        if (finding === "reached" && !isOpen) {
            this.recordLost(target);
            return "cut-off";
        }
        const own = await connecting;
        if (own === "open") return "open";
        // On a lost path only other hosts can tell.
        if (finding === "refused" && (own === "refused" || this.isLost(target))) return "crashed";
        return own === "refused" && !peers.hasPeers() ? "crashed" : "unreachable";
    }

    private async connect(target: UpstreamTarget, timeoutMs = CONNECT_TIMEOUT_MS): Promise<ConnectResult> {
        const connected = await this.options.network.connect(target.address, timeoutMs);
        return connected.caseOf<ConnectResult>({
            Left: ({ reason }) => reason === "refused" ? "refused" : "timeout",
            Right: connection => {
                connection.close();
                this.recordConnection(target);
                return "open";
            },
        });
    }

    private updateGauge(): void {
        this.options.metrics.gauge("paths_lost", this.table.size);
    }
}

function toTarget({ id: upstream, pools: [pool], address, announcement: { incarnation } }: Upstream): UpstreamTarget {
    return { pool, upstream, incarnation, address };
}

/** Returns the work in progress for a key, or starts it. */
function shareWork<Key, Value>(
    running: Map<Key, Promise<Value>>,
    key: Key,
    start: () => Promise<Value>,
): Promise<Value> {
    const known = running.get(key);
    if (known) return known;
    const work = start().finally(() => running.delete(key));
    running.set(key, work);
    return work;
}
