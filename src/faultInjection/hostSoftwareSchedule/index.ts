import { PoolId } from "../../ids/index.js";
import { SeededRandom } from "../../ports/index.js";
import { makeDocument, makeRoute } from "../../routing/index.js";
import { checkSlots } from "../checkSlots/index.js";
import { checkRefusals, checkStream } from "../checkStreams/index.js";
import { RoutedFleet } from "../routedFleet/index.js";
import { callStream, StreamOutcome } from "../streamCaller/index.js";

/** Result of one run. */
export interface HostSoftwareReport {
    readonly seed: number;
    readonly sent: number;
    readonly whole: number;
    /** Streams that were taken up, and whose version ran at some upstream at each of these tries. */
    readonly resumed: number;
    /** Those of them that no try brought on. */
    readonly stopped: number;
    /** Tries to take a stream up that were refused although its version ran. */
    readonly refusals: number;
}

/** What happens in one run. */
interface HostPlan {
    readonly entries: number;
    readonly upstreams: number;
    readonly queueHosts: boolean;
    readonly events: number;
    readonly gapMs: number;
    readonly attempts: number;
    readonly streamsPerS: number;
    /** Duration of each sync of control hosts' disks, in milliseconds. */
    readonly syncMs: number;
}

/** State that the episodes of one run share. */
interface HostRun {
    readonly plan: HostPlan;
    readonly fleet: RoutedFleet;
    readonly random: SeededRandom;
    readonly streams: Promise<StreamOutcome>[];
    /** The version that each upstream runs or, while it is down, will run. */
    readonly software: string[];
    readonly retired: Set<number>;
    /** By monotonic time of a try, the versions that some upstream ran. */
    readonly runningAt: Map<number, ReadonlySet<string>>;
    /** Entries that stand still. */
    readonly frozen: Set<number>;
    /** By which callers leave their tries, by entry. */
    readonly leaves: Map<number, AbortController[]>;
    version: number;
    /** The entry at which most streams are taken up; undefined: at any. */
    focus: number | undefined;
}

type Episode = (run: HostRun) => Promise<void>;

const KEY = "butcher-key";
const POOL = "ledger" as PoolId;
const CONTROL_COUNT = 5;
const SLOTS = 24;
const WORK_MS = 40;
/** Longer than an announcement counts as certain, in milliseconds. */
const RESTART_MS = 2_500;
const RETIRE_AFTER_MS = 400;
const START_MS = 5_000;
const EPISODE_COUNT = 3;
const MAX_TRIES = 8;
const RETRY_PAUSE_MS = 80;
/** Time after which callers leave an entry that stands still, in milliseconds. */
const PATIENCE_MS = 2_000;
/** Share of tries to take a stream up that go to the entry that is out of step. */
const FOCUS_SHARE = 0.6;
const SETTLE_MS = 3_000;
const MAX_STREAM_MS = 120_000;

/**
 * Runs one random schedule of rollouts during which hosts are out of step: one entry, or the owner of the pool's queue, is cut off or stands
 * still while upstreams of a new version join, or all entries, or all hosts, are killed at once. Callers take their streams up afterwards.
 *
 * @param seed - Determines the whole run.
 * @throws InvariantError when a caller got events of two versions, misses one or has one twice, or when a refused try ran.
 * @example
 * const report = await runHostSoftwareSchedule(42);
 */
export async function runHostSoftwareSchedule(seed: number): Promise<HostSoftwareReport> {
    const random = new SeededRandom(seed);
    const run = await startRun(seed, random, drawPlan(random));
    const { fleet, plan } = run;
    for (let number = 0; number < EPISODE_COUNT; number++) {
        await sendFor(run, random.integer(300, 1_200));
        await random.pick(EPISODES)(run);
        await sendFor(run, SETTLE_MS);
        run.focus = undefined;
    }
    const streams = await fleet.run(Promise.all(run.streams), MAX_STREAM_MS);
    const ran = new Set(fleet.upstreams.flatMap(({ runs }) => runs.map(({ request }) => request)));
    await checkSlots(fleet);
    await fleet.close();
    for (const stream of streams) {
        checkStream(stream, plan.events);
        checkRefusals(stream, ran);
    }
    return { seed, ...tally(run, streams) };
}

function drawPlan(random: SeededRandom): HostPlan {
    return {
        entries: random.integer(2, 6),
        upstreams: random.integer(2, 6),
        queueHosts: random.next() < 0.7,
        events: random.integer(20, 80),
        gapMs: random.integer(10, 40),
        attempts: random.integer(1, 4),
        streamsPerS: random.integer(10, 40),
        syncMs: random.pick([1, 5, 20, 60]),
    };
}

async function startRun(seed: number, random: SeededRandom, plan: HostPlan): Promise<HostRun> {
    const { entries, queueHosts, attempts } = plan;
    const software = Array.from({ length: plan.upstreams }, () => "v0");
    const upstreams = software.map(version => makeUpstream(plan, version));
    const fleet = new RoutedFleet({ seed, controls: CONTROL_COUNT, entries, upstreams, queueHosts });
    const kind = { kind: "stream", resumable: true, gapMs: 200 };
    await fleet.start(makeDocument({ routes: [makeRoute({ ...kind, attempts, timeoutMs: 10_000, targetMs: 500 })] }));
    await fleet.advance(START_MS);
    for (const disk of fleet.disks) disk.syncDurationMs = plan.syncMs;
    return {
        plan,
        fleet,
        random,
        software,
        streams: [],
        retired: new Set(),
        runningAt: new Map(),
        frozen: new Set(),
        leaves: new Map(),
        version: 0,
        focus: undefined,
    };
}

function makeUpstream({ events, gapMs }: HostPlan, software: string) {
    return { slots: SLOTS, workMs: WORK_MS, events, gapMs, restartMs: RESTART_MS, software };
}

async function sendFor(run: HostRun, ms: number): Promise<void> {
    const { plan, fleet, random, streams } = run;
    const end = fleet.clock.monotonic() + ms;
    while (fleet.clock.monotonic() < end) {
        streams.push(sendStream(run, streams.length));
        await fleet.advance(
            Math.min(end - fleet.clock.monotonic(), random.integer(1, Math.ceil(2_000 / plan.streamsPerS))),
        );
    }
}

function sendStream(run: HostRun, number: number): Promise<StreamOutcome> {
    return callStream(run.fleet, {
        request: `stream-${number}`,
        path: `/orders/${number}`,
        key: KEY,
        entryOf: attempt => pickEntry(run, attempt),
        maxTries: MAX_TRIES,
        pauseMs: RETRY_PAUSE_MS,
        signalOf: entry => addLeave(run, entry).signal,
    });
}

/** Picks the entry of a try, and notes which versions run at its time. */
function pickEntry(run: HostRun, attempt: number): number {
    const { fleet, random, focus, frozen, retired, software, runningAt } = run;
    const running = fleet.upstreams.flatMap(({ isUp }, number) => isUp && !retired.has(number) ? software[number] : []);
    runningAt.set(fleet.clock.monotonic(), new Set(running));
    if (attempt > 0 && focus !== undefined && random.next() < FOCUS_SHARE) return focus;
    const live = [...fleet.entries.keys()].filter(number => fleet.entries[number] && !frozen.has(number));
    return live.length === 0 ? 0 : random.pick(live);
}

function addLeave({ leaves }: HostRun, entry: number): AbortController {
    const leave = new AbortController();
    leaves.set(entry, [...leaves.get(entry) ?? [], leave]);
    return leave;
}

/** Starts upstreams of a new version, retires as many of others if that is drawn, and lets streams begin. */
async function rollOut(run: HostRun): Promise<void> {
    const { plan, fleet, random, software, retired } = run;
    const version = `v${++run.version}`;
    const old = listRunning(run);
    const count = random.integer(1, plan.upstreams + 1);
    const isRetiring = random.next() < 0.6;
    for (const number of old.slice(0, count)) {
        const added = await fleet.addUpstream(makeUpstream(plan, version));
        software[added] = version;
        if (isRetiring) {
            retired.add(number);
            await fleet.retireUpstream(number, RETIRE_AFTER_MS);
        }
        await sendFor(run, random.integer(20, 200));
    }
}

/** Has upstreams come back with a new version at their ids and addresses. */
async function restartWithOther(run: HostRun): Promise<void> {
    const { fleet, random, software } = run;
    const version = `v${++run.version}`;
    for (const number of listRunning(run).filter(() => random.next() < 0.5)) {
        fleet.upstreams[number].replaceSoftware(version);
        await fleet.run(fleet.upstreams[number].crash());
        software[number] = version;
    }
    await sendFor(run, random.integer(200, RESTART_MS + 500));
}

function listRunning({ fleet, retired }: HostRun): number[] {
    return [...fleet.upstreams.keys()].filter(number => fleet.upstreams[number].isUp && !retired.has(number));
}

/** Breaks streams off by upstreams that reset their connections or crash. */
async function breakStreams({ fleet, random, retired }: HostRun): Promise<void> {
    for (const { faults } of fleet.upstreams) faults.push(...random.pick([["break", "break"], ["break"], []] as const));
    const running = [...fleet.upstreams.keys()].filter(number => fleet.upstreams[number].isUp && !retired.has(number));
    if (running.length > 2 && random.next() < 0.7) await fleet.run(fleet.upstreams[random.pick(running)].crash());
}

/** Changes upstreams' software and breaks streams off while a host is out of step, and shortly after. */
async function changeSoftware(run: HostRun): Promise<void> {
    const { random } = run;
    await sendFor(run, random.integer(0, 1_000));
    await random.pick([rollOut, rollOut, restartWithOther])(run);
    await breakStreams(run);
    await sendFor(run, random.integer(50, 1_500));
}

const cutEntry: Episode = async run => {
    const { fleet, random } = run;
    const entry = random.integer(0, run.plan.entries);
    run.focus = entry;
    fleet.isolateEntry(entry, true);
    await changeSoftware(run);
    fleet.isolateEntry(entry, false);
    await breakStreams(run);
};

const freezeEntry: Episode = async run => {
    const { fleet, random, frozen, leaves } = run;
    const entry = random.integer(0, run.plan.entries);
    run.focus = entry;
    frozen.add(entry);
    fleet.freezeEntry(entry, true);
    const left = leaves.get(entry) ?? [];
    leaves.delete(entry);
    const patience = fleet.clock.after(PATIENCE_MS, () => left.forEach(leave => leave.abort()));
    await changeSoftware(run);
    patience.cancel();
    frozen.delete(entry);
    fleet.freezeEntry(entry, false);
    await breakStreams(run);
};

/** Has the owner of the pool's queue stand still, or cuts it off from entries. */
const loseOwner: Episode = async run => {
    const { fleet, random } = run;
    const owner = Math.max(0, fleet.queueOwner(POOL));
    const isCut = random.next() < 0.5;
    const setLost = (isLost: boolean): void =>
        isCut ? fleet.cutControl(owner, isLost) : fleet.freezeControl(owner, isLost);
    setLost(true);
    await changeSoftware(run);
    setLost(false);
    await breakStreams(run);
};

/** Kills all entries at once, and in some runs all control hosts too. */
const killAll: Episode = async run => {
    const { fleet, random, plan } = run;
    await rollOut(run);
    await sendFor(run, random.integer(0, 300));
    const entries = [...fleet.entries.keys()].filter(number => fleet.entries[number]);
    const controls = random.next() < 0.5 ? [...fleet.controls.keys()] : [];
    for (const number of entries) void fleet.killEntry(number);
    for (const number of controls) void fleet.killControl(number);
    if (random.next() < 0.5) await rollOutUnseen(run);
    await fleet.advance(random.integer(100, 2_500));
    for (const disk of fleet.disks) disk.syncDurationMs = 1;
    await fleet.run(Promise.all(controls.map(number => fleet.startControl(number))));
    await fleet.run(Promise.all(entries.map(number => fleet.startEntry(number))));
    for (const disk of fleet.disks) disk.syncDurationMs = plan.syncMs;
};

/** Has upstreams come back with a new version while no host watches. */
async function rollOutUnseen({ fleet, random, software, retired }: HostRun): Promise<void> {
    for (const [number, upstream] of fleet.upstreams.entries()) {
        if (!upstream.isUp || retired.has(number) || random.next() < 0.5) continue;
        const version = random.pick(software);
        upstream.replaceSoftware(version);
        await fleet.run(upstream.crash());
        software[number] = version;
    }
}

const EPISODES: readonly Episode[] = [cutEntry, cutEntry, freezeEntry, freezeEntry, loseOwner, killAll, killAll];

function tally({ runningAt }: HostRun, streams: readonly StreamOutcome[]): Omit<HostSoftwareReport, "seed"> {
    const couldGoOn = streams.flatMap(({ tries, events }) => {
        const resumptions = tries.filter(({ isResumption }) => isResumption);
        const isRunning = resumptions.every(({ sentAt }) => runningAt.get(sentAt)!.has(events[0].software));
        return resumptions.length > 0 && isRunning ? [resumptions] : [];
    });
    const hasGoneOn = (tries: StreamOutcome["tries"]): boolean =>
        tries.some(({ status, events, isWhole }) => events.length > 0 || (status === 200 && isWhole));
    const refusals = streams.flatMap(({ tries, events }) =>
        tries.filter(each =>
            each.isResumption && each.status === 503 && runningAt.get(each.sentAt)!.has(events[0].software)
        )
    );
    return {
        sent: streams.length,
        whole: streams.filter(({ isWhole }) => isWhole).length,
        resumed: couldGoOn.length,
        stopped: couldGoOn.filter(tries => !hasGoneOn(tries)).length,
        refusals: refusals.length,
    };
}
