import { PoolId } from "../../ids/index.js";
import { SeededRandom } from "../../ports/index.js";
import { makeDocument, makeRoute } from "../../routing/index.js";
import { checkFleetRepeats } from "../checkRepeats/index.js";
import { checkSlots } from "../checkSlots/index.js";
import { checkRefusals, checkStream, ResumptionTally, tallyResumptions } from "../checkStreams/index.js";
import { InvariantError } from "../recordingStateMachine/index.js";
import { RoutedFleet } from "../routedFleet/index.js";
import { callStream, StreamOutcome } from "../streamCaller/index.js";

/** Result of one run. */
export interface SoftwareScheduleReport extends ResumptionTally {
    readonly seed: number;
    readonly whole: number;
    readonly virtualMs: number;
}

/** What happens in one run. */
interface SoftwarePlan {
    readonly entries: number;
    readonly queueHosts: boolean;
    readonly upstreams: number;
    /** Number of software versions that serve at the start. */
    readonly versions: number;
    readonly events: number;
    readonly gapMs: number;
    readonly attempts: number;
    readonly streamsPerS: number;
    /** Whether hosts are lost and cut off beside what happens to upstreams. */
    readonly hasHostFaults: boolean;
    /** Whether all hosts lose power once. */
    readonly losesPower: boolean;
    /** Whether callers come back to the same host, if it runs. */
    readonly isSticky: boolean;
}

/** An upstream, and since when it serves with its version or does not, in milliseconds on the monotonic clock. */
interface ServingUpstream {
    software: string;
    /** Times at which anything changed. */
    readonly changes: number[];
    isRetired: boolean;
}

/** State that the faults and checks of one run share. */
interface SoftwareRun {
    readonly plan: SoftwarePlan;
    readonly fleet: RoutedFleet;
    readonly random: SeededRandom;
    readonly streams: Promise<StreamOutcome>[];
    readonly upstreams: ServingUpstream[];
    /** Monotonic times at which hosts were killed, started, cut off or joined, in milliseconds. */
    readonly hostFaults: number[];
    /** By time of sending, whether a version had two upstreams that had served for a while. */
    readonly servingAt: Map<number, ReadonlySet<string>>;
    nextVersion: number;
    isolated: number | undefined;
}

type Fault = (run: SoftwareRun) => Promise<void> | void;

const KEY = "butcher-key";
const POOL = "ledger" as PoolId;
const CONTROL_COUNT = 5;
const MAX_CONTROLS_LOST = 2;
const SLOTS = 24;
const RESTART_MS = 2_500;
const RETIRE_AFTER_MS = 1_500;
const START_MS = 10_000;
const FAULT_COUNT = 14;
const MAX_TRIES = 6;
const RETRY_PAUSE_MS = 80;
const FAULT_FREE_MS = 6_000;
/** Time after a fault of a host, or a change of a version's upstreams, in which resumptions are not judged, in milliseconds. */
const CONTACT_MS = 3_000;
/** Time after a try in which a change of its version's upstreams is the reason for a refusal, in milliseconds. */
const SETTLE_MS = 1_000;
/** Of this many resumptions or more, the share that goes on is judged against that of new streams that begin: the rule's half. */
const MIN_JUDGED = 12;
const MIN_RESUMED_SHARE = 0.5;
const MAX_STREAM_MS = 120_000;

/**
 * Runs one random schedule of upstreams with several software versions: rollouts, rollbacks and restarts with other software, under crashes,
 * resets, stalls, lost paths, kills of entries and queue owners, cuts, and a loss of all power. Callers take streams up again at any host.
 *
 * @param seed - Determines the whole run.
 * @throws InvariantError when a stream holds events of two versions, misses one or has one twice, when a refused try ran, or when streams
 * go on far less often than new ones begin.
 * @example
 * const report = await runSoftwareSchedule(42);
 */
export async function runSoftwareSchedule(seed: number): Promise<SoftwareScheduleReport> {
    const random = new SeededRandom(seed);
    const run = await startRun(seed, random, drawPlan(random));
    const { fleet, plan } = run;
    const powerLostAt = plan.losesPower ? random.integer(0, FAULT_COUNT) : -1;
    for (let number = 0; number < FAULT_COUNT; number++) {
        await sendFor(run, random.between(100, 1_800));
        if (number === powerLostAt) await losePower(run);
        else await random.pick(plan.hasHostFaults ? [...UPSTREAM_FAULTS, ...HOST_FAULTS] : UPSTREAM_FAULTS)(run);
    }
    await endFaults(run);
    await sendFor(run, FAULT_FREE_MS);
    const streams = await fleet.run(Promise.all(run.streams), MAX_STREAM_MS);
    const ran = new Set(fleet.upstreams.flatMap(({ runs }) => runs.map(({ request }) => request)));
    await checkSlots(fleet);
    await fleet.close();
    checkFleetRepeats(fleet);
    for (const stream of streams) {
        checkStream(stream, plan.events);
        checkRefusals(stream, ran);
    }
    const tally = tallyResumptions(streams, (software, at) => isServing(run, software, at));
    checkShare(tally);
    const whole = streams.filter(({ isWhole }) => isWhole).length;
    return { ...tally, seed, whole, virtualMs: fleet.clock.monotonic() };
}

function drawPlan(random: SeededRandom): SoftwarePlan {
    return {
        entries: random.integer(2, 8),
        queueHosts: random.next() < 0.7,
        upstreams: random.integer(3, 10),
        versions: random.integer(1, 4),
        events: random.integer(10, 100),
        gapMs: random.integer(10, 60),
        attempts: random.next() < 0.5 ? 1 : random.integer(2, 4),
        streamsPerS: random.integer(5, 40),
        hasHostFaults: random.next() < 0.6,
        losesPower: random.next() < 0.3,
        isSticky: random.next() < 0.3,
    };
}

async function startRun(seed: number, random: SeededRandom, plan: SoftwarePlan): Promise<SoftwareRun> {
    const { entries, queueHosts, versions, attempts } = plan;
    const software = Array.from({ length: plan.upstreams }, (_, number) => `v${number % versions}`);
    const upstreams = software.map(version => makeUpstream(plan, version));
    const fleet = new RoutedFleet({ seed, controls: CONTROL_COUNT, entries, upstreams, queueHosts });
    const kind = { kind: "stream", resumable: true, gapMs: 200 };
    await fleet.start(makeDocument({ routes: [makeRoute({ ...kind, attempts, timeoutMs: 10_000, targetMs: 500 })] }));
    await fleet.advance(START_MS);
    return {
        plan,
        fleet,
        random,
        streams: [],
        upstreams: software.map(version => ({ software: version, changes: [], isRetired: false })),
        hostFaults: [],
        servingAt: new Map(),
        nextVersion: versions,
        isolated: undefined,
    };
}

function makeUpstream({ events, gapMs }: SoftwarePlan, software: string) {
    return { slots: SLOTS, workMs: 40, events, gapMs, restartMs: RESTART_MS, software };
}

async function sendFor(run: SoftwareRun, ms: number): Promise<void> {
    const { plan, fleet, random, streams } = run;
    const end = fleet.clock.monotonic() + ms;
    while (fleet.clock.monotonic() < end) {
        streams.push(sendStream(run, streams.length));
        await fleet.advance(random.between(0, 2_000 / plan.streamsPerS));
    }
}

function sendStream(run: SoftwareRun, number: number): Promise<StreamOutcome> {
    const { plan, fleet, random } = run;
    let last: number | undefined;
    const entryOf = (): number | undefined => {
        const live = [...fleet.entries.keys()].filter(entry => fleet.entries[entry]);
        const isSame = plan.isSticky && last !== undefined && live.includes(last);
        if (!isSame) last = live.length === 0 ? undefined : random.pick(live);
        noteServing(run);
        return last;
    };
    const request = { request: `stream-${number}`, path: `/orders/${number}`, key: KEY };
    return callStream(fleet, { ...request, entryOf, maxTries: MAX_TRIES, pauseMs: RETRY_PAUSE_MS });
}

/** Notes which versions have two upstreams that have served for a while, at the time of a try. */
function noteServing({ fleet, upstreams, servingAt }: SoftwareRun): void {
    const now = fleet.clock.monotonic();
    const counts = new Map<string, number>();
    for (const [number, { software, changes, isRetired }] of upstreams.entries()) {
        const isSettled = (changes.at(-1) ?? Number.NEGATIVE_INFINITY) < now - CONTACT_MS;
        const isUp = !isRetired && fleet.upstreams[number].isUp;
        if (isUp && isSettled) counts.set(software, (counts.get(software) ?? 0) + 1);
    }
    servingAt.set(now, new Set([...counts].filter(([, count]) => count >= 2).map(([software]) => software)));
}

/** Whether a stream of a version should go on at a time: two upstreams serve, and no host was disturbed shortly before or after. */
function isServing({ servingAt, hostFaults, upstreams }: SoftwareRun, software: string, at: number): boolean {
    const isDisturbed = hostFaults.some(fault => fault > at - CONTACT_MS && fault < at + CONTACT_MS);
    const changes = upstreams.filter(each => each.software === software).flatMap(each => each.changes);
    const isChanging = changes.some(change => change > at && change < at + SETTLE_MS);
    return !isDisturbed && !isChanging && servingAt.get(at)!.has(software);
}

/** Records that something has changed about an upstream. */
function recordChange({ fleet, upstreams }: SoftwareRun, number: number): void {
    upstreams[number].changes.push(fleet.clock.monotonic());
}

/** Returns the numbers of the upstreams that run and stay. */
function listServing({ fleet, upstreams }: SoftwareRun): number[] {
    return [...upstreams.keys()].filter(number => fleet.upstreams[number].isUp && !upstreams[number].isRetired);
}

async function crash(run: SoftwareRun, number: number): Promise<void> {
    const { fleet } = run;
    recordChange(run, number);
    fleet.clock.after(RESTART_MS, () => recordChange(run, number));
    await fleet.run(fleet.upstreams[number].crash());
}

/** Adds upstreams of a version, and retires as many of others, one after the other. */
async function rollOut(run: SoftwareRun, software: string): Promise<void> {
    const { plan, fleet, random, upstreams } = run;
    const old = listServing(run).filter(number => upstreams[number].software !== software);
    const count = random.integer(1, Math.max(2, old.length));
    for (const number of old.slice(0, count)) {
        const added = await fleet.addUpstream(makeUpstream(plan, software));
        upstreams[added] = { software, changes: [fleet.clock.monotonic()], isRetired: false };
        upstreams[number].isRetired = true;
        recordChange(run, number);
        await fleet.retireUpstream(number, RETIRE_AFTER_MS);
        await sendFor(run, random.between(50, 400));
    }
}

const crashOne: Fault = async run => {
    const serving = listServing(run);
    if (serving.length > 2) await crash(run, run.random.pick(serving));
};

const crashHalf: Fault = async run => {
    for (const number of listServing(run).filter(() => run.random.next() < 0.5)) await crash(run, number);
};

const breakStreams: Fault = ({ fleet, random }) => {
    for (const { faults } of fleet.upstreams) {
        if (random.next() < 0.5) faults.push("break", "lost", "break");
    }
};

const stall: Fault = run => {
    const serving = listServing(run);
    for (const number of serving.filter(() => run.random.next() < 0.4)) {
        recordChange(run, number);
        run.fleet.upstreams[number].fallSilent(run.random.between(1_000, 5_000));
    }
};

const rollOutNew: Fault = run => rollOut(run, `v${run.nextVersion++}`);

const rollBack: Fault = run => rollOut(run, `v${run.random.integer(0, run.nextVersion)}`);

/** Has an upstream come back with other software at its id and address. */
const restartWithOther: Fault = async run => {
    const serving = listServing(run);
    if (serving.length <= 2) return;
    const number = run.random.pick(serving);
    const software = `v${run.random.integer(0, run.nextVersion)}`;
    run.fleet.upstreams[number].replaceSoftware(software);
    await crash(run, number);
    run.upstreams[number].software = software;
};

const toggleEntry: Fault = async run => {
    const { fleet, random, hostFaults } = run;
    hostFaults.push(fleet.clock.monotonic());
    const number = random.integer(0, fleet.entries.length);
    const live = fleet.entries.filter(entry => entry !== undefined).length;
    if (!fleet.entries[number]) await fleet.run(fleet.startEntry(number));
    else if (live > 1) await fleet.run(fleet.killEntry(number));
};

/** Kills the owner of the pool's queue, or starts a control host again. */
const toggleControl: Fault = async ({ fleet, random, hostFaults }) => {
    hostFaults.push(fleet.clock.monotonic());
    const lost = [...fleet.controls.keys()].filter(number => !fleet.controls[number]);
    const entry = [...fleet.entries.keys()].find(number => fleet.entries[number])!;
    const owner = fleet.queueOwner(POOL, entry);
    const number = owner >= 0 && fleet.controls[owner] ? owner : random.integer(0, CONTROL_COUNT);
    if (lost.length >= MAX_CONTROLS_LOST) await fleet.run(fleet.startControl(random.pick(lost)));
    else if (fleet.controls[number]) await fleet.run(fleet.killControl(number));
};

const toggleCut: Fault = run => {
    const { fleet, random, hostFaults } = run;
    hostFaults.push(fleet.clock.monotonic());
    const cut = run.isolated;
    run.isolated = cut === undefined ? random.integer(0, fleet.entries.length) : undefined;
    fleet.isolateEntry(cut ?? run.isolated!, cut === undefined);
};

const togglePaths: Fault = ({ fleet, random, hostFaults }) => {
    hostFaults.push(fleet.clock.monotonic());
    const entry = random.integer(0, fleet.entries.length);
    if (random.next() < 0.5) fleet.loseUpstreamPaths(entry, random.pick(["silent", "reset", "refuse"] as const));
    else fleet.restoreUpstreamPaths(entry);
};

const UPSTREAM_FAULTS: readonly Fault[] = [
    crashOne,
    crashOne,
    crashHalf,
    breakStreams,
    breakStreams,
    stall,
    rollOutNew,
    rollBack,
    restartWithOther,
];

const HOST_FAULTS: readonly Fault[] = [toggleEntry, toggleEntry, toggleControl, toggleCut, togglePaths];

async function losePower(run: SoftwareRun): Promise<void> {
    const { fleet, hostFaults } = run;
    hostFaults.push(fleet.clock.monotonic());
    const entries = [...fleet.entries.keys()].filter(number => fleet.entries[number]);
    const controls = [...fleet.controls.keys()].filter(number => fleet.controls[number]);
    for (const number of entries) void fleet.killEntry(number);
    for (const number of controls) void fleet.killControl(number);
    await fleet.advance(1_000);
    await fleet.run(Promise.all(controls.map(number => fleet.startControl(number))));
    await fleet.run(Promise.all(entries.map(number => fleet.startEntry(number))));
    hostFaults.push(fleet.clock.monotonic());
}

async function endFaults(run: SoftwareRun): Promise<void> {
    const { fleet, hostFaults } = run;
    hostFaults.push(fleet.clock.monotonic());
    if (run.isolated !== undefined) fleet.isolateEntry(run.isolated, false);
    for (const number of fleet.entries.keys()) fleet.restoreUpstreamPaths(number);
    for (const [number, control] of fleet.controls.entries()) {
        if (!control) await fleet.run(fleet.startControl(number));
    }
    for (const [number, entry] of fleet.entries.entries()) {
        if (!entry) await fleet.run(fleet.startEntry(number));
    }
}

function checkShare({ sent, begun, resumed, continued }: ResumptionTally): void {
    if (resumed < MIN_JUDGED) return;
    const share = (continued / resumed) / (begun / sent);
    if (share >= MIN_RESUMED_SHARE) return;
    throw new InvariantError(`${continued} of ${resumed} streams go on, ${begun} of ${sent} new ones begin`);
}
