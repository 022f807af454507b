import { findVoters } from "../../consensus/index.js";
import { SeededRandom } from "../../ports/index.js";
import { LossTally } from "../lossTally/index.js";
import { RecordingLogger } from "../recordingLogger/index.js";
import { InvariantError } from "../recordingStateMachine/index.js";
import { EAGER_LOG_TIMING, ReplicaFleet } from "../replicaFleet/index.js";

/** Result of one run. */
export interface ReplacementReport {
    /** Number of commands that the control log accepted. */
    readonly accepted: number;
    /** Number of members that were removed before the final fault. */
    readonly removals: number;
    /** Time from the return of the last host until the fleet could bear its tolerated losses again, in milliseconds. */
    readonly restoredMs: number;
    readonly virtualMs: number;
}

const FOUNDERS = ["a", "b", "c"];
const OTHER_HOSTS = ["d", "e"];
/** Number of seeds in the settings of a host. */
const SEED_COUNT = 3;
/** Number of hosts that may be lost at the same time; the fleet keeps two voters for each, and one more. */
const TOLERATED_LOSSES = 2;
const WANTED_VOTERS = 2 * TOLERATED_LOSSES + 1;
/** How long a host that is back counts as lost, in milliseconds. */
const CATCH_UP_MS = 4_000;
/** Time in which a fleet accepts commands again after a fault that it is meant to bear, in milliseconds. */
const RECOVERY_MS = 12_000;
const DEFAULT_EVENT_COUNT = 8;
/** Probability of a planned exchange beside an event. */
const EXCHANGE_PROBABILITY = 0.3;
/** Maximum number of hosts, so that planned exchanges do not pile up. */
const MAX_HOSTS = 8;
const MAX_TORN_BYTES = 80;
const POLL_MS = 20;

type HostEvent = (run: ReplacementRun, name: string) => Promise<void>;

/** The weight is the number of times that an event is entered in the list from which events are drawn. */
const EVENTS: readonly (readonly [weight: number, event: HostEvent])[] = [
    [4, freezeHost],
    [4, replaceHost],
    [2, loseDisk],
    [1, restartHost],
    [2, isolateHost],
    [1, slowDisk],
    [1, stepWallClock],
];
const WEIGHTED_EVENTS = EVENTS.flatMap(([weight, event]) => Array.from({ length: weight }, () => event));

interface PendingAction {
    readonly at: number;
    readonly perform: () => Promise<void> | void;
}

/** State that the events of one run share. */
class ReplacementRun {
    readonly fleet: ReplicaFleet;
    readonly losses: LossTally;
    readonly logger = new RecordingLogger();
    /** Draws the planned exchanges, apart from the other events. */
    readonly exchangeRandom: SeededRandom;
    private pending: PendingAction[] = [];
    private readonly stopping = new Set<string>();
    private nextHostNumber = 1;
    private freezes = 0;

    constructor(seed: number, readonly random = new SeededRandom(seed)) {
        this.exchangeRandom = new SeededRandom(seed + 1);
        const options = { timing: EAGER_LOG_TIMING, targetVoters: WANTED_VOTERS, loggerOf: () => this.logger };
        this.fleet = new ReplicaFleet(random, FOUNDERS, options);
        this.losses = new LossTally(this.fleet.clock, CATCH_UP_MS);
    }

    get hasPending(): boolean {
        return this.pending.length > 0 || this.stopping.size > 0;
    }

    /** Performs an action later, while time advances. */
    schedule(delayMs: number, perform: PendingAction["perform"]): void {
        this.pending.push({ at: this.fleet.clock.monotonic() + delayMs, perform });
    }

    /** Advances virtual time, with commands and the actions that become due. */
    async advance(ms: number): Promise<void> {
        const { fleet, random } = this;
        const end = fleet.clock.monotonic() + ms;
        while (fleet.clock.monotonic() < end) {
            await fleet.advance(Math.min(POLL_MS, end - fleet.clock.monotonic()));
            const due = this.pending.filter(({ at }) => at <= fleet.clock.monotonic());
            this.pending = this.pending.filter(action => !due.includes(action));
            for (const { perform } of due) await perform();
            const holder = fleet.holder();
            if (holder && random.next() < 0.3) fleet.propose(holder.process!);
        }
    }

    /** Starts a host with some of the present hosts as seeds in its settings. */
    async startHost(name: string): Promise<void> {
        const { fleet, random } = this;
        const others = [...fleet.hosts.keys()].filter(other => other !== name);
        while (others.length > SEED_COUNT) others.splice(random.integer(0, others.length), 1);
        await fleet.start(name, undefined, others);
    }

    /** Stops a host as planned. It ends for good if another host has taken its place, and starts again otherwise. */
    stopHost(name: string): void {
        this.stopping.add(name);
        void this.fleet.stop(name).then(async result => {
            if (result === "left") {
                this.fleet.hosts.delete(name);
            }
            else {
                this.losses.markAway(name);
                await this.startHost(name);
                this.losses.markBack(name);
            }
            this.stopping.delete(name);
        });
    }

    /** Returns the name of a host that did not exist before, at an address of its own. */
    makeHostName(): string {
        return `x${this.nextHostNumber++}`;
    }

    /** Whether a host runs, is not lost and is not about to stop. */
    isTarget(name: string): boolean {
        return this.fleet.hosts.get(name)?.process !== undefined && !this.losses.isLost(name)
            && !this.stopping.has(name);
    }

    /** Whether the next host to freeze is suspended as a whole machine, which is every other one. */
    mustSuspend(): boolean {
        return this.freezes++ % 2 === 1;
    }

    /** Picks a running host that is not lost, the holder in every other case; undefined if no more may be lost. */
    pickTarget(): string | undefined {
        const { fleet, losses, random } = this;
        if (losses.count() >= TOLERATED_LOSSES) return undefined;
        const holder = fleet.holder()?.name;
        if (holder && this.isTarget(holder) && random.next() < 0.5) return holder;
        const names = [...fleet.hosts.keys()].filter(name => this.isTarget(name));
        return names.length > 0 ? random.pick(names) : undefined;
    }
}

/**
 * Runs one random schedule of hosts that freeze, are replaced at other addresses, with a planned stop or without, lose their disks or their
 * links, never more at a time than the fleet tolerates. Some time after the last one is back, as many hosts as tolerated lose their disks at the same moment.
 *
 * Checks that from `CATCH_UP_MS` after the last return each running host is a voter or a learner and the tolerated losses may follow, that
 * commands are accepted again after them, and that no accepted command is lost.
 *
 * @param seed - Determines the whole run.
 * @param eventCount - Number of events before the final fault.
 * @throws InvariantError when a check fails.
 * @example
 * const { restoredMs } = await runReplacementSchedule(42);
 */
export async function runReplacementSchedule(
    seed: number,
    eventCount = DEFAULT_EVENT_COUNT,
): Promise<ReplacementReport> {
    const run = new ReplacementRun(seed);
    const { fleet, random } = run;
    await startFleet(run);
    for (let step = 0; step < eventCount; step++) {
        const target = run.pickTarget();
        if (target) await random.pick(WEIGHTED_EVENTS)(run, target);
        if (run.exchangeRandom.next() < EXCHANGE_PROBABILITY) await exchangeHost(run);
        await run.advance(random.next() < 0.5 ? random.between(50, 1_000) : random.between(1_000, 4_000));
    }
    const restoredMs = await awaitRestoredTolerance(run);
    const removals = run.logger.list("member-removed").length;
    await run.advance(random.between(0, 3_000));
    checkTolerance(run);
    await strikeFinalFault(run);
    return { accepted: fleet.acceptedCommands.size, removals, restoredMs, virtualMs: fleet.clock.monotonic() };
}

async function startFleet({ fleet }: ReplacementRun): Promise<void> {
    for (const name of OTHER_HOSTS) fleet.addHost(name);
    await fleet.startAll();
    await fleet.advanceUntil(() => fleet.hasFullMembership());
    await fleet.proposeMany(5);
}

/** Waits until all hosts are back and have had the time to catch up. Returns how long the fleet needed. */
async function awaitRestoredTolerance(run: ReplacementRun): Promise<number> {
    const { fleet } = run;
    while (run.hasPending) await run.advance(POLL_MS);
    const backAt = fleet.clock.monotonic();
    while (findShortage(run) !== undefined && fleet.clock.monotonic() - backAt < CATCH_UP_MS) {
        await run.advance(POLL_MS);
    }
    const restoredMs = fleet.clock.monotonic() - backAt;
    await run.advance(CATCH_UP_MS - restoredMs);
    checkTolerance(run);
    return Math.round(restoredMs);
}

function checkTolerance(run: ReplacementRun): void {
    const shortage = findShortage(run);
    if (shortage !== undefined) throw new InvariantError(shortage);
}

/** Returns why the fleet can't bear its tolerated losses, or undefined if it can. */
function findShortage({ fleet }: ReplacementRun): string | undefined {
    const holder = fleet.holder();
    if (!holder) return "there is no holder";
    const { members } = holder.process!.log.committedConfiguration();
    const outsider = [...fleet.hosts.values()].find(({ process }) => {
        return !members.some(({ storeId }) => storeId === process!.log.storeId);
    });
    if (outsider) return `${outsider.name} runs and is no member`;
    const voters = findVoters({ members, retired: [] });
    const running = voters.filter(({ host, storeId }) => fleet.hosts.get(host)?.process?.log.storeId === storeId);
    const majority = Math.floor(voters.length / 2) + 1;
    if (running.length - TOLERATED_LOSSES >= majority) return undefined;
    return `${running.length} of ${voters.length} voters run: ${voters.map(({ host }) => host).join(" ")}`;
}

/** As many hosts as tolerated lose their disks at the same moment; in some runs, all others lose power with them. */
async function strikeFinalFault(run: ReplacementRun): Promise<void> {
    const { fleet, random } = run;
    const names = [...fleet.hosts.keys()];
    const first = random.next() < 0.5 ? fleet.holder()!.name : random.pick(names);
    const second = random.pick(names.filter(name => name !== first));
    const hasPowerLoss = random.next() < 0.3;
    for (const name of [first, second]) fleet.wipe(name);
    if (hasPowerLoss) {
        for (const name of names) {
            if (name !== first && name !== second) fleet.crash(name, random.integer(0, MAX_TORN_BYTES));
        }
    }
    await run.advance(random.between(200, 1_000));
    for (const { name, process } of fleet.hosts.values()) {
        if (!process) await run.startHost(name);
    }
    await fleet.advanceUntil(() => fleet.holder() !== undefined, RECOVERY_MS);
    await fleet.converge();
}

async function freezeHost(run: ReplacementRun, name: string): Promise<void> {
    const { fleet, losses, random } = run;
    const { host } = fleet.find(name).process!;
    if (run.mustSuspend()) host.suspend();
    else host.freeze();
    losses.markAway(name);
    run.schedule(random.between(500, 8_000), () => {
        host.thaw();
        losses.markBack(name);
    });
}

/** A host is gone for good, and another one with an empty disk starts at another address. */
async function replaceHost(run: ReplacementRun, name: string): Promise<void> {
    const { fleet, losses, random } = run;
    fleet.removeHost(name, random.next() < 0.5);
    losses.markAway(name);
    const successor = run.makeHostName();
    run.schedule(random.between(0, 2_000), async () => {
        fleet.addHost(successor);
        await run.startHost(successor);
        losses.markBack(name);
        losses.markBack(successor);
    });
}

/** A successor starts, and once it has had the time to catch up, another host is stopped as planned. */
async function exchangeHost(run: ReplacementRun): Promise<void> {
    const { fleet, losses, exchangeRandom: random } = run;
    if (fleet.hosts.size >= MAX_HOSTS) return;
    const successor = run.makeHostName();
    fleet.addHost(successor);
    await run.startHost(successor);
    run.schedule(random.between(CATCH_UP_MS, 2 * CATCH_UP_MS), () => {
        if (losses.count() >= TOLERATED_LOSSES) return;
        const names = [...fleet.hosts.keys()].filter(name => run.isTarget(name));
        const holder = fleet.holder()?.name;
        const leaver = holder && random.next() < 0.4 ? holder : random.pick(names);
        if (run.isTarget(leaver)) run.stopHost(leaver);
    });
}

async function loseDisk(run: ReplacementRun, name: string): Promise<void> {
    run.fleet.wipe(name);
    startLater(run, name);
}

async function restartHost(run: ReplacementRun, name: string): Promise<void> {
    run.fleet.crash(name, run.random.integer(0, MAX_TORN_BYTES));
    startLater(run, name);
}

function startLater(run: ReplacementRun, name: string): void {
    run.losses.markAway(name);
    run.schedule(run.random.between(0, 1_000), async () => {
        await run.startHost(name);
        run.losses.markBack(name);
    });
}

async function isolateHost(run: ReplacementRun, name: string): Promise<void> {
    const { fleet, losses, random } = run;
    fleet.fabric.isolate(name, [...fleet.hosts.keys()], true);
    losses.markAway(name);
    run.schedule(random.between(500, 8_000), () => {
        fleet.fabric.isolate(name, [...fleet.hosts.keys()], false);
        losses.markBack(name);
    });
}

async function slowDisk(run: ReplacementRun, name: string): Promise<void> {
    const { disk } = run.fleet.find(name);
    disk.syncDurationMs = run.random.between(30, 300);
    run.losses.markAway(name);
    run.schedule(run.random.between(500, 5_000), () => {
        disk.syncDurationMs = 0;
        run.losses.markBack(name);
    });
}

async function stepWallClock({ fleet, random }: ReplacementRun, name: string): Promise<void> {
    fleet.find(name).process!.host.clock.stepWallClock(random.between(1_000, 10_000));
}
