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

const VOTERS = 3;
const ROUNDS = 3;
const RATES = [100, 200, 400, 800, 1_200];
const LENGTHS = [2_500, 5_000, 10_000, 20_000];
const RUN_MS = 1_000;
const SLICE_MS = 10;
const POLL_MS = 20;
const BATCH_LINES = 10;
const PROPOSED_AT_ONCE = 500;

const clock = new SystemClock();
const random = new SystemRandom();
const network = new TcpNetwork();

/** The control log: three voters in this process over loopback TCP, with data folders on disk. The commands are usage batches. */
export class LogProbe extends Probe {
    readonly name = "log";

    async run(recorder: SlopeRecorder): Promise<void> {
        await this.measureEntries(recorder);
        await this.measureReplay(recorder);
    }

    private async measureEntries(recorder: SlopeRecorder): Promise<void> {
        const lifecycle = new Lifecycle();
        const logs = await startVoters(VOTERS, lifecycle);
        const leader = await awaitHolder(logs);
        await proposeAtRate(leader, RATES[0]);
        const idle = await timeProcess(() => clock.sleep(RUN_MS));
        recorder.add("log.entry.processor", 0, idle.processorMs / idle.elapsedMs * 1_000 / VOTERS);
        for (const rate of RATES) {
            for (let round = 0; round < ROUNDS; round++) {
                const { processorMs, elapsedMs } = await timeProcess(() => proposeAtRate(leader, rate));
                recorder.add("log.entry.processor", rate, processorMs / elapsedMs * 1_000 / VOTERS);
            }
        }
        await lifecycle.close();
    }

    private async measureReplay(recorder: SlopeRecorder): Promise<void> {
        for (const length of LENGTHS) {
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

let sequence = 1;

/** A new data folder below `data`, which the repository ignores. */
async function makeDisk(): Promise<Disk> {
    const disk = new FileDisk(`data/slopes/${random.id()}`);
    await disk.makeFolder("");
    return disk;
}

async function startVoters(count: number, lifecycle: Lifecycle, disks: Disk[] = []): Promise<ReplicatedLog[]> {
    const seats: { router: PeerRouter; address: Address; host: HostId; }[] = [];
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
        lifecycle.own(() => listener.close());
        seats.push({ router, host, address: listener.address });
    }
    const bootstrap = seats.map(({ host, address }) => ({ host, address }));
    const logs: ReplicatedLog[] = [];
    for (const [index, { router, host, address }] of seats.entries()) {
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
        lifecycle.own(() => log.close());
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
    for (let done = 0; done < length; done += PROPOSED_AT_ONCE) {
        await Promise.all(Array.from({ length: PROPOSED_AT_ONCE }, () => log.propose(makeBatch())));
    }
    await lifecycle.close();
}

async function proposeAtRate(log: ReplicatedLog, rate: number): Promise<void> {
    const slices = RUN_MS / SLICE_MS;
    const results: Promise<unknown>[] = [];
    for (let slice = 0; slice < slices; slice++) {
        const due = Math.round(rate * (slice + 1) / slices);
        while (results.length < due) results.push(log.propose(makeBatch()));
        await clock.sleep(SLICE_MS);
    }
    await Promise.all(results);
}

function makeBatch(): UsageBatchCommand {
    const sums = Array.from({ length: BATCH_LINES }, (_, index) => ({
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
    return { kind: "usage.batch", host: "north-2-entry-17", incarnation: "0f".repeat(16), sequence: sequence++, sums };
}
