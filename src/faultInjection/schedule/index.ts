import { SeededRandom } from "../../ports/index.js";
import { StoreError } from "../../store/index.js";
import { InvariantError } from "../recorder/index.js";
import { FleetHost, ReplicaFleet } from "../replicaFleet/index.js";

/** What one run came to. */
export interface ScheduleReport {
    readonly seed: number;
    readonly faults: number;
    readonly accepted: number;
    readonly virtualMs: number;
}

const FOUNDERS_OF_THREE = ["a", "b", "c"];
const FOUNDERS_OF_FIVE = ["a", "b", "c", "d", "e"];
const EXTRA_HOST = "x";
const DEFAULT_STEPS = 30;
const MOST_TORN_BYTES = 80;
const MOST_SLOW_SYNC_MS = 1_500;

type Fault = (run: Run) => Promise<void>;

/** The weight is how often a fault stands in the draw. */
const FAULTS: readonly (readonly [weight: number, fault: Fault])[] = [
    [4, crashOne],
    [5, restartOne],
    [1, crashAll],
    [3, cutOneWay],
    [2, cutPair],
    [3, isolateOne],
    [4, healAll],
    [2, forgetConnections],
    [3, freezeOne],
    [4, thawAll],
    [2, slowOneDisk],
    [2, fillOneDisk],
    [3, mendDisks],
    [3, loseDiskThenAnotherHost],
    [2, changeMembers],
];
const DRAW = FAULTS.flatMap(([weight, fault]) => Array.from({ length: weight }, () => fault));

interface Run {
    readonly fleet: ReplicaFleet;
    readonly random: SeededRandom;
}

/**
 * Runs one random schedule of faults against a fleet under load, then ends all faults and checks that the replicas agree.
 *
 * @param seed - Gives the same run each time.
 * @param steps - How many faults.
 * @throws InvariantError when a promise of the control log is broken.
 * @example
 * const report = await runSchedule(42);
 */
export async function runSchedule(seed: number, steps = DEFAULT_STEPS): Promise<ScheduleReport> {
    const random = new SeededRandom(seed);
    const founders = random.next() < 0.7 ? FOUNDERS_OF_THREE : FOUNDERS_OF_FIVE;
    const run: Run = { fleet: new ReplicaFleet(random, founders), random };
    const { fleet } = run;
    await fleet.startAll();
    if (random.next() < 0.8) await fleet.passUntil(() => fleet.isWhole());
    for (let step = 0; step < steps; step++) {
        await random.pick(DRAW)(run);
        await passUnderLoad(run, random.between(50, 4_000));
    }
    await settle(run);
    return { seed, faults: steps, accepted: fleet.acked.size, virtualMs: fleet.clock.monotonic() };
}

async function settle({ fleet }: Run): Promise<void> {
    fleet.endFaults();
    for (const { name, process } of fleet.hosts.values()) {
        if (!process) await fleet.start(name);
    }
    await fleet.converge();
}

async function passUnderLoad({ fleet, random }: Run, ms: number): Promise<void> {
    const end = fleet.clock.monotonic() + ms;
    while (fleet.clock.monotonic() < end) {
        await fleet.pass(random.between(5, 100));
        const up = fleet.processes().filter(({ host }) => !host.frozen);
        const target = random.next() < 0.8 ? fleet.holder()?.process : undefined;
        if (target && !target.host.frozen) fleet.propose(target);
        else if (up.length > 0) fleet.propose(random.pick(up));
    }
}

function pickUp({ fleet, random }: Run): FleetHost | undefined {
    const up = [...fleet.hosts.values()].filter(({ process }) => process);
    const holder = fleet.holder();
    if (holder && random.next() < 0.5) return holder;
    return up.length > 0 ? random.pick(up) : undefined;
}

function pickPair({ fleet, random }: Run): [string, string] {
    const names = [...fleet.hosts.keys()];
    const from = random.pick(names);
    return [from, random.pick(names.filter(name => name !== from))];
}

async function crashOne(run: Run): Promise<void> {
    const host = pickUp(run);
    if (host) run.fleet.crash(host.name, run.random.integer(0, MOST_TORN_BYTES));
}

async function restartOne({ fleet, random }: Run): Promise<void> {
    const down = [...fleet.hosts.values()].filter(({ process }) => !process);
    if (down.length > 0) await fleet.start(random.pick(down).name);
}

async function crashAll({ fleet, random }: Run): Promise<void> {
    for (const name of fleet.hosts.keys()) fleet.crash(name, random.integer(0, MOST_TORN_BYTES));
    await fleet.startAll();
}

async function cutOneWay(run: Run): Promise<void> {
    run.fleet.fabric.cut(...pickPair(run));
}

async function cutPair(run: Run): Promise<void> {
    const [one, other] = pickPair(run);
    run.fleet.fabric.cut(one, other);
    run.fleet.fabric.cut(other, one);
}

async function isolateOne(run: Run): Promise<void> {
    const host = pickUp(run);
    if (host) run.fleet.fabric.isolate(host.name, [...run.fleet.hosts.keys()], true);
}

async function healAll({ fleet }: Run): Promise<void> {
    fleet.healAll();
}

async function forgetConnections(run: Run): Promise<void> {
    run.fleet.fabric.forget(...pickPair(run));
}

async function freezeOne(run: Run): Promise<void> {
    pickUp(run)?.process!.host.freeze();
}

async function thawAll({ fleet }: Run): Promise<void> {
    fleet.thawAll();
}

async function slowOneDisk(run: Run): Promise<void> {
    const host = pickUp(run);
    if (host) host.disk.syncMs = run.random.between(1, MOST_SLOW_SYNC_MS);
}

async function fillOneDisk(run: Run): Promise<void> {
    const host = pickUp(run);
    if (host) host.disk.capacity = await usedBytes(host) + run.random.integer(0, 2_000);
}

async function mendDisks({ fleet }: Run): Promise<void> {
    fleet.mendDisks();
}

/** A disk is only lost while all others are whole: more than that no majority survives. */
async function loseDiskThenAnotherHost(run: Run): Promise<void> {
    const { fleet, random } = run;
    fleet.endFaults();
    await passUnderLoad(run, 10_000);
    if (!fleet.isWhole()) return;
    const names = [...fleet.hosts.keys()];
    const first = random.next() < 0.5 ? fleet.holder()!.name : random.pick(names);
    if (random.next() < 0.3) await damageOne(run, first);
    fleet.wipe(first);
    await passUnderLoad(run, random.between(0, 3_000));
    await fleet.start(first);
    await fleet.passUntil(() => fleet.isWhole());
    const second = random.pick(names.filter(name => name !== first));
    if (random.next() < 0.5) fleet.wipe(second);
    else fleet.crash(second, random.integer(0, MOST_TORN_BYTES));
}

/** Changes one synced bit of the log; the host must refuse to start until an operator gives it an empty folder. */
async function damageOne({ fleet, random }: Run, name: string): Promise<void> {
    fleet.crash(name);
    const { disk } = fleet.find(name);
    const path = `log/${random.pick(await disk.list("log"))}`;
    const size = (await disk.read(path))!.length;
    if (size === 0) return;
    disk.damage(path, random.integer(0, size));
    const outcome = await fleet.start(name).then(() => undefined, (err: unknown) => err);
    if (outcome instanceof StoreError && outcome.reason === "damaged") return;
    throw new InvariantError(`a folder with a changed bit was opened: ${String(outcome)}`);
}

async function changeMembers(run: Run): Promise<void> {
    const { fleet } = run;
    const extra = fleet.hosts.get(EXTRA_HOST);
    if (!extra) {
        fleet.addHost(EXTRA_HOST);
        await fleet.start(EXTRA_HOST);
        return;
    }
    if (!extra.process || !fleet.isWhole()) return;
    const { storeId } = extra.process.log;
    const holder = fleet.holder()!.process!;
    if (holder.host.frozen || !holder.log.removeMember(storeId)) return;
    await healAll(run);
    await thawAll(run);
    await passUnderLoad(run, 5_000);
    const retired = fleet.holder()?.process?.log.committedConfiguration().retired ?? [];
    if (!retired.includes(storeId)) return;
    fleet.crash(EXTRA_HOST);
    fleet.hosts.delete(EXTRA_HOST);
}

async function usedBytes({ disk }: FleetHost): Promise<number> {
    const paths = ["identity", "vote", "snapshot", ...(await disk.list("log")).map(name => `log/${name}`)];
    const files = await Promise.all(paths.map(path => disk.read(path)));
    return files.reduce((sum, bytes) => sum + (bytes?.length ?? 0), 0);
}
