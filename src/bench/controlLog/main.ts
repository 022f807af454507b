/**
 * Measures the throughput, latency and idle cost of the control log, with all replicas in this process, loopback TCP and
 * data files in a folder.
 * `node dist/bench/controlLog/main.js --folder /tmp/control-log-bench --entries 20000`
 */
import { cac } from "cac";
import { build } from "hdr-histogram-js";
import { Either } from "purify-ts";
import { ApplyContext, DEFAULT_LOG_TIMING, ReplicatedLog, StateMachine } from "../../consensus/index.js";
import { HostId, Incarnation } from "../../ids/index.js";
import { SilentLogger } from "../../logging/index.js";
import {
    Address,
    Connection,
    FileDisk,
    Listener,
    Network,
    NetworkError,
    SystemClock,
    SystemRandom,
    TcpNetwork,
} from "../../ports/index.js";
import { DEFAULT_PEER_TIMING, PeerRouter, servePeers } from "../../wire/index.js";

const LATENCY_SAMPLE_COUNT = 1_000;
const IDLE_RUN_MS = 20_000;
const SAMPLE_COMMAND = { kind: "bench", key: "k".repeat(40), value: "v".repeat(120) };
const CONCURRENCY_LEVELS = [1, 16, 256];

/** Counts the sends and bytes of all connections. */
class CountingNetwork extends Network {
    sentBytes = 0;
    sendCount = 0;

    constructor(private readonly network: Network) {
        super();
    }

    listen(address: Address, accept: (connection: Connection) => void): Promise<Listener> {
        return this.network.listen(address, connection => accept(this.count(connection)));
    }

    async connect(address: Address, timeoutMs: number): Promise<Either<NetworkError, Connection>> {
        const connected = await this.network.connect(address, timeoutMs);
        return connected.map(connection => this.count(connection));
    }

    private count(connection: Connection): Connection {
        const send = connection.send.bind(connection);
        connection.send = bytes => {
            this.sendCount++;
            this.sentBytes += bytes.length;
            send(bytes);
        };
        return connection;
    }
}

/** Only counts the commands, so that the figures show the cost of the log itself. */
class CountingStateMachine extends StateMachine {
    private count = 0;

    apply(_command: unknown, { index }: ApplyContext): unknown {
        this.count++;
        return index;
    }

    snapshot(): unknown {
        return this.count;
    }

    restore(snapshot: unknown): void {
        this.count = snapshot as number;
    }
}

interface BenchOptions {
    readonly folder: string;
    readonly entries: number;
    readonly replicas: number;
}

const clock = new SystemClock();
const network = new CountingNetwork(new TcpNetwork());

interface Replicas {
    readonly logs: ReplicatedLog[];
    readonly addresses: readonly Address[];
    close(): Promise<void>;
}

function makeListenAddresses(replicas: number): Address[] {
    return Array.from({ length: replicas }, () => ({ host: "127.0.0.1", port: 0 }));
}

async function openReplicas({ folder, entries }: BenchOptions, addresses: readonly Address[]): Promise<Replicas> {
    const hosts = addresses.map((_, index) => `host-${index}`);
    const routers = hosts.map(() => new PeerRouter());
    const identities = hosts.map(host => ({ host: host as HostId, incarnation: "bench" as Incarnation }));
    const listeners = await Promise.all(hosts.map((_, index) =>
        servePeers({
            network,
            clock,
            address: addresses[index],
            self: identities[index],
            router: routers[index],
            timing: DEFAULT_PEER_TIMING,
        })
    ));
    const bootstrap = identities.map(({ host }, index) => ({ host, address: listeners[index].address }));
    const open = (self: typeof identities[0], index: number): Promise<ReplicatedLog> =>
        ReplicatedLog.open({
            network,
            clock,
            random: new SystemRandom(),
            disk: new FileDisk(`${folder}/${self.host}`),
            router: routers[index],
            self,
            address: listeners[index].address,
            bootstrap,
            stateMachine: new CountingStateMachine(),
            timing: { ...DEFAULT_LOG_TIMING, snapshotEntries: 2 * entries + 10 * LATENCY_SAMPLE_COUNT },
            logger: new SilentLogger(),
        });
    const logs = await Promise.all(identities.map(open));
    const close = async (): Promise<void> => {
        await Promise.all(logs.map(log => log.close()));
        await Promise.all(listeners.map(listener => listener.close()));
    };
    return { logs, addresses: listeners.map(({ address }) => address), close };
}

async function awaitLeaseHolder(logs: readonly ReplicatedLog[]): Promise<ReplicatedLog> {
    for (;;) {
        const holder = logs.find(log => log.holdsLease());
        if (holder) return holder;
        await clock.sleep(10);
    }
}

async function measureProposals(holder: ReplicatedLog, count: number, inFlight: number): Promise<void> {
    const latencies = build();
    let started = 0;
    const proposeSequentially = async (): Promise<void> => {
        while (started < count) {
            started++;
            const sentAt = clock.monotonic();
            (await holder.propose(SAMPLE_COMMAND)).unsafeCoerce();
            latencies.recordValue(Math.round((clock.monotonic() - sentAt) * 1_000));
        }
    };
    const before = clock.monotonic();
    await Promise.all(Array.from({ length: inFlight }, proposeSequentially));
    const seconds = (clock.monotonic() - before) / 1_000;
    const [p50, p99] = [50, 99].map(percentile => latencies.getValueAtPercentile(percentile) / 1_000);
    console.log(`${inFlight} in flight: ${Math.round(count / seconds)}/s, p50 ${p50} ms, p99 ${p99} ms`);
}

async function measureIdle(replicas: number): Promise<void> {
    await clock.sleep(1_000);
    const [bytes, sendCount, cpu] = [network.sentBytes, network.sendCount, process.cpuUsage()];
    await clock.sleep(IDLE_RUN_MS);
    const { user, system } = process.cpuUsage(cpu);
    const seconds = IDLE_RUN_MS / 1_000;
    const perSecond = (total: number): number => Math.round(total / seconds / replicas);
    console.log(
        `idle, per replica: ${perSecond(network.sentBytes - bytes)} B/s in ${
            perSecond(network.sendCount - sendCount)
        } sends/s, `
            + `${((user + system) / seconds / replicas / 10_000).toFixed(2)}% of a core`,
    );
}

async function measureReplay(options: BenchOptions, addresses: readonly Address[]): Promise<void> {
    const before = clock.monotonic();
    const { logs, close } = await openReplicas(options, addresses);
    console.log(`opening all folders: ${Math.round(clock.monotonic() - before)} ms`);
    const startedAt = clock.monotonic();
    for (const log of logs) log.start();
    const holder = await awaitLeaseHolder(logs);
    console.log(
        `${holder.appliedIndex()} entries applied; lease held ${
            Math.round(clock.monotonic() - startedAt)
        } ms after start`,
    );
    await close();
}

async function runBench(options: BenchOptions): Promise<void> {
    const { entries, replicas } = options;
    const { logs, addresses, close } = await openReplicas(options, makeListenAddresses(replicas));
    for (const log of logs) log.start();
    const holder = await awaitLeaseHolder(logs);
    await measureProposals(holder, LATENCY_SAMPLE_COUNT, 1);
    for (const inFlight of CONCURRENCY_LEVELS) {
        await measureProposals(holder, inFlight === 1 ? LATENCY_SAMPLE_COUNT : entries, inFlight);
    }
    await measureIdle(replicas);
    await close();
    await measureReplay(options, addresses);
    console.log(`resident: ${Math.round(process.memoryUsage().rss / 1_048_576)} MB for all replicas together`);
}

const program = cac("controlLog");
program.option("--folder <path>", "Where the data folders go; should be new", { default: "/tmp/control-log-bench" });
program.option("--entries <count>", "How many entries the throughput runs write", { default: 20_000 });
program.option("--replicas <count>", "How many replicas, all of them voters", { default: 3 });
program.help();
const { options } = program.parse();
if (!options.help) {
    await runBench(options as unknown as BenchOptions);
    process.exit(0);
}
