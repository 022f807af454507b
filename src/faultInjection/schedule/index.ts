import { SeededRandom } from "../../ports/index.js";
import { StoreError } from "../../store/index.js";
import { InvariantError } from "../recordingStateMachine/index.js";
import { ReplicaFleet, ReplicaHost } from "../replicaFleet/index.js";

/** Result of one run. */
export interface ReplicaScheduleReport {
    readonly seed: number;
    readonly faults: number;
    /** Number of commands that the control log accepted. */
    readonly accepted: number;
    readonly virtualMs: number;
}

const THREE_BOOTSTRAP_HOSTS = ["a", "b", "c"];
const FIVE_BOOTSTRAP_HOSTS = ["a", "b", "c", "d", "e"];
const EXTRA_HOST = "x";
const DEFAULT_FAULT_COUNT = 30;
const MAX_TORN_BYTES = 80;
const MAX_SLOW_SYNC_MS = 1_500;

type Fault = (run: ScheduleRun) => Promise<void>;

/** The weight is the number of times that a fault is entered in the list from which faults are drawn. */
const FAULTS: readonly (readonly [weight: number, fault: Fault])[] = [
    [4, crashHost],
    [5, restartHost],
    [1, crashAndRestartAll],
    [3, cutOneWay],
    [2, cutBothWays],
    [3, isolateHost],
    [4, healAll],
    [2, blackholeConnections],
    [3, freezeHost],
    [4, thawAll],
    [2, slowDisk],
    [2, limitDiskCapacity],
    [3, repairDisks],
    [3, loseDiskThenAnotherHost],
    [2, changeMembers],
];
const WEIGHTED_FAULTS = FAULTS.flatMap(([weight, fault]) => Array.from({ length: weight }, () => fault));

/** State that the faults of one run share. */
interface ScheduleRun {
    readonly fleet: ReplicaFleet;
    readonly random: SeededRandom;
}

/**
 * Runs one random schedule of faults against the replicas of a control log under load, then ends all faults and checks that the
 * replicas agree.
 *
 * @param seed - Determines the whole run.
 * @param faultCount - Number of faults to inject.
 * @param hasVoterLimit - Whether the fleet keeps as many voters as it was founded with; other members then replace voters that are lost.
 * @throws InvariantError when an invariant of the control log is violated.
 * @example
 * const report = await runReplicaSchedule(42);
 */
export async function runReplicaSchedule(
    seed: number,
    faultCount = DEFAULT_FAULT_COUNT,
    hasVoterLimit = false,
): Promise<ReplicaScheduleReport> {
    const random = new SeededRandom(seed);
    const bootstrapHosts = random.next() < 0.7 ? THREE_BOOTSTRAP_HOSTS : FIVE_BOOTSTRAP_HOSTS;
    const targetVoters = hasVoterLimit ? bootstrapHosts.length : undefined;
    const run: ScheduleRun = { fleet: new ReplicaFleet(random, bootstrapHosts, { targetVoters }), random };
    const { fleet } = run;
    await fleet.startAll();
    if (random.next() < 0.8) await fleet.advanceUntil(() => fleet.hasFullMembership());
    for (let step = 0; step < faultCount; step++) {
        await random.pick(WEIGHTED_FAULTS)(run);
        await advanceUnderLoad(run, random.between(50, 4_000));
    }
    await endFaultsAndConverge(run);
    return { seed, faults: faultCount, accepted: fleet.acceptedCommands.size, virtualMs: fleet.clock.monotonic() };
}

async function endFaultsAndConverge({ fleet }: ScheduleRun): Promise<void> {
    fleet.endFaults();
    for (const { name, process } of fleet.hosts.values()) {
        if (!process) await fleet.start(name);
    }
    await fleet.converge();
}

async function advanceUnderLoad({ fleet, random }: ScheduleRun, ms: number): Promise<void> {
    const end = fleet.clock.monotonic() + ms;
    while (fleet.clock.monotonic() < end) {
        await fleet.advance(random.between(5, 100));
        const up = fleet.processes().filter(({ host }) => !host.frozen);
        const target = random.next() < 0.8 ? fleet.holder()?.process : undefined;
        if (target && !target.host.frozen) fleet.propose(target);
        else if (up.length > 0) fleet.propose(random.pick(up));
    }
}

function pickRunningHost({ fleet, random }: ScheduleRun): ReplicaHost | undefined {
    const up = [...fleet.hosts.values()].filter(({ process }) => process);
    const holder = fleet.holder();
    if (holder && random.next() < 0.5) return holder;
    return up.length > 0 ? random.pick(up) : undefined;
}

function pickPair({ fleet, random }: ScheduleRun): [string, string] {
    const names = [...fleet.hosts.keys()];
    const from = random.pick(names);
    return [from, random.pick(names.filter(name => name !== from))];
}

async function crashHost(run: ScheduleRun): Promise<void> {
    const host = pickRunningHost(run);
    if (host) run.fleet.crash(host.name, run.random.integer(0, MAX_TORN_BYTES));
}

async function restartHost({ fleet, random }: ScheduleRun): Promise<void> {
    const down = [...fleet.hosts.values()].filter(({ process }) => !process);
    if (down.length > 0) await fleet.start(random.pick(down).name);
}

async function crashAndRestartAll({ fleet, random }: ScheduleRun): Promise<void> {
    for (const name of fleet.hosts.keys()) fleet.crash(name, random.integer(0, MAX_TORN_BYTES));
    await fleet.startAll();
}

async function cutOneWay(run: ScheduleRun): Promise<void> {
    run.fleet.fabric.cut(...pickPair(run));
}

async function cutBothWays(run: ScheduleRun): Promise<void> {
    const [one, other] = pickPair(run);
    run.fleet.fabric.cut(one, other);
    run.fleet.fabric.cut(other, one);
}

async function isolateHost(run: ScheduleRun): Promise<void> {
    const host = pickRunningHost(run);
    if (host) run.fleet.fabric.isolate(host.name, [...run.fleet.hosts.keys()], true);
}

async function healAll({ fleet }: ScheduleRun): Promise<void> {
    fleet.healAll();
}

async function blackholeConnections(run: ScheduleRun): Promise<void> {
    run.fleet.fabric.blackholeConnections(...pickPair(run));
}

async function freezeHost(run: ScheduleRun): Promise<void> {
    pickRunningHost(run)?.process!.host.freeze();
}

async function thawAll({ fleet }: ScheduleRun): Promise<void> {
    fleet.thawAll();
}

async function slowDisk(run: ScheduleRun): Promise<void> {
    const host = pickRunningHost(run);
    if (host) host.disk.syncDurationMs = run.random.between(1, MAX_SLOW_SYNC_MS);
}

async function limitDiskCapacity(run: ScheduleRun): Promise<void> {
    const host = pickRunningHost(run);
    if (host) host.disk.capacityBytes = await countUsedBytes(host) + run.random.integer(0, 2_000);
}

async function repairDisks({ fleet }: ScheduleRun): Promise<void> {
    fleet.repairDisks();
}

/**
 * Wipes one host's disk, and once that host is a member again, wipes or crashes another one. A disk is lost only while all other
 * replicas are complete, because the log's majority survives no more than that.
 */
async function loseDiskThenAnotherHost(run: ScheduleRun): Promise<void> {
    const { fleet, random } = run;
    fleet.endFaults();
    await advanceUnderLoad(run, 10_000);
    if (!fleet.hasFullMembership()) return;
    const names = [...fleet.hosts.keys()];
    const first = random.next() < 0.5 ? fleet.holder()!.name : random.pick(names);
    if (random.next() < 0.3) await corruptLog(run, first);
    fleet.wipe(first);
    await advanceUnderLoad(run, random.between(0, 3_000));
    await fleet.start(first);
    await fleet.advanceUntil(() => fleet.hasFullMembership());
    const second = random.pick(names.filter(name => name !== first));
    if (random.next() < 0.5) fleet.wipe(second);
    else fleet.crash(second, random.integer(0, MAX_TORN_BYTES));
}

/** Flips one synced bit of a host's log and checks that the host refuses to start on it; an operator must then empty the folder. */
async function corruptLog({ fleet, random }: ScheduleRun, name: string): Promise<void> {
    fleet.crash(name);
    const { disk } = fleet.find(name);
    const path = `log/${random.pick(await disk.list("log"))}`;
    const size = (await disk.read(path))!.length;
    if (size === 0) return;
    disk.flipBit(path, random.integer(0, size));
    const outcome = await fleet.start(name).then(() => undefined, (err: unknown) => err);
    if (outcome instanceof StoreError && outcome.reason === "damaged") return;
    throw new InvariantError(`a data folder with a flipped bit was opened: ${String(outcome)}`);
}

async function changeMembers(run: ScheduleRun): Promise<void> {
    const { fleet } = run;
    const extra = fleet.hosts.get(EXTRA_HOST);
    if (!extra) {
        fleet.addHost(EXTRA_HOST);
        await fleet.start(EXTRA_HOST);
        return;
    }
    if (!extra.process || !fleet.hasFullMembership()) return;
    const { storeId } = extra.process.log;
    const holder = fleet.holder()!.process!;
    if (holder.host.frozen || !holder.log.removeMember(storeId)) return;
    await healAll(run);
    await thawAll(run);
    await advanceUnderLoad(run, 5_000);
    const retired = fleet.holder()?.process?.log.committedConfiguration().retired ?? [];
    if (!retired.includes(storeId)) return;
    fleet.crash(EXTRA_HOST);
    fleet.hosts.delete(EXTRA_HOST);
}

async function countUsedBytes({ disk }: ReplicaHost): Promise<number> {
    const paths = ["identity", "vote", "snapshot", ...(await disk.list("log")).map(name => `log/${name}`)];
    const files = await Promise.all(paths.map(path => disk.read(path)));
    return files.reduce((sum, bytes) => sum + (bytes?.length ?? 0), 0);
}
