import { DEFAULT_LOG_TIMING, ReplicatedLog } from "../../../../consensus/index.js";
import { ControlState } from "../../../../control/index.js";
import { HostId, Incarnation } from "../../../../ids/index.js";
import { WindowStart } from "../../../../ids/index.js";
import { Lifecycle } from "../../../../lifecycle/index.js";
import { SilentLogger } from "../../../../logging/index.js";
import { Address, Disk, FileDisk, SystemClock, SystemRandom, TcpNetwork } from "../../../../ports/index.js";
import { UsageBatchCommand } from "../../../../usage/index.js";
import { DEFAULT_PEER_TIMING, PeerRouter, servePeers } from "../../../../wire/index.js";
import { timeProcess, timeRuns } from "../../measures/index.js";
import { Probe, SlopeRecorder } from "../../probe/index.js";

const VOTER_COUNT = 3;
const ROUNDS = 3;
const PROPOSAL_RATES = [100, 200, 400, 800, 1_200];
const LOG_LENGTHS = [2_500, 5_000, 10_000, 20_000];
const RUN_MS = 1_000;
const INTERVAL_MS = 10;
const POLL_MS = 20;
const LINES_PER_BATCH = 10;
const CONCURRENT_PROPOSALS = 500;

const clock = new SystemClock();
const random = new SystemRandom();
const network = new TcpNetwork();

/**
 * Measures the control log with three voters in this process, loopback TCP and data folders on disk: processor time by rate
 * of proposals, and replay by length of the log. The commands are usage batches.
 */
export class LogProbe extends Probe {
    readonly name = "log";

    async run(recorder: SlopeRecorder): Promise<void> {
        await this.measureEntries(recorder);
        await this.measureReplay(recorder);
    }

    private async measureEntries(recorder: SlopeRecorder): Promise<void> {
        const lifecycle = new Lifecycle();
        const logs = await startVoters(VOTER_COUNT, lifecycle);
        const leader = await awaitHolder(logs);
        await proposeAtRate(leader, PROPOSAL_RATES[0]);
        const idle = await timeProcess(() => clock.sleep(RUN_MS));
        recorder.add("log.entry.processor", 0, idle.processorMs / idle.elapsedMs * 1_000 / VOTER_COUNT);
        for (const rate of PROPOSAL_RATES) {
            for (let round = 0; round < ROUNDS; round++) {
                const { processorMs, elapsedMs } = await timeProcess(() => proposeAtRate(leader, rate));
                recorder.add("log.entry.processor", rate, processorMs / elapsedMs * 1_000 / VOTER_COUNT);
            }
        }
        await lifecycle.close();
    }

    private async measureReplay(recorder: SlopeRecorder): Promise<void> {
        for (const length of LOG_LENGTHS) {
            const disk = await makeDisk();
            await fillLog(disk, length);
            const times = await timeRuns(async () => {
                const lifecycle = new Lifecycle();
                const [log] = await startVoters(1, lifecycle, [disk]);
                await awaitHolder([log]);
                await lifecycle.close();
            });
            recorder.addAll("log.replay", length, times);
        }
    }
}

let nextSequence = 1;

/** Creates a new data folder below `data`, which the repository ignores. */
async function makeDisk(): Promise<Disk> {
    const disk = new FileDisk(`data/slopes/${random.id()}`);
    await disk.makeFolder("");
    return disk;
}

async function startVoters(count: number, lifecycle: Lifecycle, disks: Disk[] = []): Promise<ReplicatedLog[]> {
    const voters: { router: PeerRouter; address: Address; host: HostId; }[] = [];
    for (let index = 0; index < count; index++) {
        const router = new PeerRouter();
        const host = `control-${index}` as HostId;
        const self = { host, incarnation: "1" as Incarnation };
        const listener = await servePeers({
            network,
            clock,
            router,
            self,
            timing: DEFAULT_PEER_TIMING,
            address: { host: "127.0.0.1", port: 0 },
        });
        lifecycle.addCleanUp(() => listener.close());
        voters.push({ router, host, address: listener.address });
    }
    const bootstrap = voters.map(({ host, address }) => ({ host, address }));
    const logs: ReplicatedLog[] = [];
    for (const [index, { router, host, address }] of voters.entries()) {
        const log = await ReplicatedLog.open({
            network,
            clock,
            random,
            router,
            address,
            bootstrap,
            disk: disks[index] ?? await makeDisk(),
            self: { host, incarnation: "1" as Incarnation },
            stateMachine: new ControlState(),
            timing: {
                ...DEFAULT_LOG_TIMING,
                snapshotEntries: Number.MAX_SAFE_INTEGER,
                electionSpreadMs: 100,
                leaseMs: 400,
                heartbeatMs: 100,
            },
            logger: new SilentLogger(),
        });
        lifecycle.addCleanUp(() => log.close());
        log.start();
        logs.push(log);
    }
    return logs;
}

async function awaitHolder(logs: readonly ReplicatedLog[]): Promise<ReplicatedLog> {
    for (;;) {
        const holder = logs.find(log => log.holdsLease());
        if (holder) return holder;
        await clock.sleep(POLL_MS);
    }
}

async function fillLog(disk: Disk, length: number): Promise<void> {
    const lifecycle = new Lifecycle();
    const [log] = await startVoters(1, lifecycle, [disk]);
    await awaitHolder([log]);
    for (let proposed = 0; proposed < length; proposed += CONCURRENT_PROPOSALS) {
        await Promise.all(Array.from({ length: CONCURRENT_PROPOSALS }, () => log.propose(makeBatch())));
    }
    await lifecycle.close();
}

async function proposeAtRate(log: ReplicatedLog, rate: number): Promise<void> {
    const intervals = RUN_MS / INTERVAL_MS;
    const results: Promise<unknown>[] = [];
    for (let interval = 0; interval < intervals; interval++) {
        const due = Math.round(rate * (interval + 1) / intervals);
        while (results.length < due) results.push(log.propose(makeBatch()));
        await clock.sleep(INTERVAL_MS);
    }
    await Promise.all(results);
}

function makeBatch(): UsageBatchCommand {
    const sums = Array.from({ length: LINES_PER_BATCH }, (_, index) => ({
        window: 1_780_000_020_000 as WindowStart,
        line: {
            workspace: `workspace-${index}`,
            pool: "general-70b",
            class: "class-3",
            requests: 3,
            prompt_tokens: 2_400,
            completion_tokens: 760,
        },
    }));
    return {
        kind: "usage.batch",
        host: "north-2-entry-17",
        incarnation: "0f".repeat(16),
        sequence: nextSequence++,
        sums,
    };
}
