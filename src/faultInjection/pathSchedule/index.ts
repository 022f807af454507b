import { WorkspaceId } from "../../ids/index.js";
import { PathLoss, SeededRandom } from "../../ports/index.js";
import { makeDocument, makeRoute } from "../../routing/index.js";
import { checkFleetRepeats } from "../checkRepeats/index.js";
import { checkSlots } from "../checkSlots/index.js";
import { countStarts } from "../countStarts/index.js";
import { InvariantError } from "../recordingStateMachine/index.js";
import { RoutedFleet } from "../routedFleet/index.js";
import { TestReply } from "../testCaller/index.js";

/** Result of one run. */
export interface PathScheduleReport {
    readonly seed: number;
    readonly calls: number;
    readonly answered: number;
    /** Losses of paths during which nothing else happened, so that the share of served calls was checked. */
    readonly judged: number;
    /** Times that upstreams fell over because they had to turn away too many calls. */
    readonly falls: number;
    readonly virtualMs: number;
}

/** What happens in one run. */
interface PathPlan {
    readonly entries: number;
    readonly upstreams: number;
    readonly queueHosts: boolean;
    readonly callsPerS: number;
    readonly workMs: number;
    /** Number of events of each answer; 0 for whole answers. */
    readonly events: number;
    /** Whether other faults happen beside the losses of paths. */
    readonly hasOtherFaults: boolean;
}

interface SentCall {
    readonly request: string;
    readonly entry: number;
    /** Monotonic time, in milliseconds. */
    readonly sentAt: number;
    readonly reply: Promise<TestReply>;
}

/** Hosts that lost their paths to all upstreams for a time. */
interface Loss {
    readonly entries: readonly number[];
    /** Monotonic times, in milliseconds. */
    readonly from: number;
    until: number;
}

/** State that the faults and checks of one run share. */
interface PathRun {
    readonly plan: PathPlan;
    readonly fleet: RoutedFleet;
    readonly random: SeededRandom;
    readonly sent: SentCall[];
    readonly losses: Loss[];
    /** Monotonic times of other faults, in milliseconds. */
    readonly otherFaults: number[];
    brittleTimes: number;
}

const KEY = "butcher-key";
const WORKSPACE = "butcher" as WorkspaceId;
const CONTROL_COUNT = 5;
const MAX_CONTROLS_LOST = 2;
const ZONES = ["sohar", "barka", "muscat"];
const SLOTS = 32;
const EVENT_GAP_MS = 30;
/** Share of the upstreams' slots that calls need: with more, calls would be refused without any fault. */
const MAX_LOAD = 0.5;
const LOSSES: readonly PathLoss[] = ["silent", "reset", "refuse"];
const LOSS_COUNT = 6;
/** Time in which entries repeat few calls after their start, in milliseconds. */
const START_MS = 10_000;
/** Time after a loss or another fault from which the share of served calls counts, in milliseconds. */
const CONTACT_MS = 3_000;
const FAULT_FREE_MS = 12_000;
/** Time of the fault-free phase after which each call is served, in milliseconds. */
const RECOVERY_MS = 8_000;
const MIN_SERVED_SHARE = 2 / 3;
const MAX_FAILED = 10;
const CALLS_PER_FURTHER_FAILURE = 50;
const REJECTION_LIMIT = 12;
/** Falls allowed in one time in which upstreams are brittle, and one more for this many upstreams. */
const MAX_FALLS = 2;
const UPSTREAMS_PER_FURTHER_FALL = 10;

/**
 * Runs one random schedule in which hosts lose their paths to upstreams, alone and together, silently, by resets and by refusals, for a moment
 * or for seconds; in some runs while processes are killed, upstreams crash, fall silent or become brittle. Ends with a fault-free phase.
 *
 * @param seed - Determines the whole run.
 * @throws InvariantError when a call that must not be repeated ran twice, when a refused call ran, when an answered call is not counted, or
 * when hosts without paths served too few calls.
 * @example
 * const report = await runPathSchedule(42);
 */
export async function runPathSchedule(seed: number): Promise<PathScheduleReport> {
    const random = new SeededRandom(seed);
    const plan = drawPlan(random);
    const run = await startRun(seed, random, plan);
    const { fleet } = run;
    for (let number = 0; number < LOSS_COUNT; number++) await losePaths(run);
    await endFaults(run);
    const faultFreeSince = fleet.clock.monotonic();
    await sendFor(run, FAULT_FREE_MS);
    const replies = await fleet.run(Promise.all(run.sent.map(({ reply }) => reply)));
    // The last counts are on their way to the control log.
    await fleet.advance(CONTACT_MS);
    const counted = countStarts(fleet, WORKSPACE);
    await checkSlots(fleet);
    await fleet.close();
    checkFleetRepeats(fleet);
    const ran = checkAtMostOnce(run, replies);
    checkCounted(replies, counted, ran);
    checkServedAfter(run, replies, faultFreeSince);
    const judged = run.losses.filter(loss => checkLoss(run, replies, loss)).length;
    const falls = checkFalls(run);
    const answered = replies.filter(({ status }) => status === 200).length;
    return { seed, calls: replies.length, answered, judged, falls, virtualMs: fleet.clock.monotonic() };
}

function drawPlan(random: SeededRandom): PathPlan {
    const plan = {
        entries: random.integer(2, 10),
        upstreams: random.integer(2, 10),
        queueHosts: random.next() < 0.7,
        callsPerS: random.integer(20, 100),
        workMs: random.integer(10, 200),
        events: random.next() < 0.3 ? random.integer(2, 20) : 0,
        hasOtherFaults: random.next() < 0.5,
    };
    const callMs = plan.workMs + plan.events * EVENT_GAP_MS;
    const maxCallsPerS = MAX_LOAD * plan.upstreams * SLOTS * 1_000 / callMs;
    return { ...plan, callsPerS: Math.min(plan.callsPerS, maxCallsPerS) };
}

async function startRun(seed: number, random: SeededRandom, plan: PathPlan): Promise<PathRun> {
    const { entries, queueHosts, workMs, events } = plan;
    const upstream = { slots: SLOTS, workMs, events, gapMs: EVENT_GAP_MS, restartMs: 2_500 };
    const upstreams = Array.from({ length: plan.upstreams }, () => upstream);
    const entryZones = Array.from({ length: entries }, (_, entry) => ZONES[entry % ZONES.length]);
    const fleet = new RoutedFleet({ seed, controls: CONTROL_COUNT, entries, entryZones, upstreams, queueHosts });
    const kind = events > 0 ? { kind: "stream", gapMs: 400 } : { kind: "once" };
    await fleet.start(makeDocument({ routes: [makeRoute({ ...kind, timeoutMs: 4_000, targetMs: 800 })] }));
    await fleet.advance(START_MS);
    return { plan, fleet, random, sent: [], losses: [], otherFaults: [], brittleTimes: 0 };
}

async function sendFor(run: PathRun, ms: number): Promise<void> {
    const { plan, fleet, random, sent } = run;
    const end = fleet.clock.monotonic() + ms;
    while (fleet.clock.monotonic() < end) {
        const live = [...fleet.entries.keys()].filter(number => fleet.entries[number]);
        const entry = random.pick(live);
        const request = `call-${sent.length}`;
        const reply = fleet.startCall({ entry, path: "/orders/1", key: KEY, request });
        sent.push({ request, entry, sentAt: fleet.clock.monotonic(), reply });
        await fleet.advance(random.between(0, 2_000 / plan.callsPerS));
    }
}

/** Has some hosts lose their paths to all upstreams, or to some, and gives them back after a while. */
async function losePaths(run: PathRun): Promise<void> {
    const { plan, fleet, random, losses } = run;
    const entries = drawEntries(run);
    const loss = random.pick(LOSSES);
    const isWhole = random.next() < 0.8;
    const upstreams = [...fleet.upstreams.keys()].filter(() => isWhole || random.next() < 0.5);
    for (const entry of entries) fleet.loseUpstreamPaths(entry, loss, upstreams.values());
    const from = fleet.clock.monotonic();
    const known: Loss = { entries, from, until: from };
    if (isWhole && entries.length < plan.entries) losses.push(known);
    if (!isWhole || entries.length === plan.entries) run.otherFaults.push(from);
    if (plan.hasOtherFaults) await disturb(run);
    await sendFor(run, random.next() < 0.3 ? random.between(200, 1_500) : random.between(3_500, 8_000));
    known.until = fleet.clock.monotonic();
    for (const entry of entries) fleet.restoreUpstreamPaths(entry);
    await sendFor(run, random.between(200, 4_000));
}

/** Draws one host, a zone, or any hosts; at times all. */
function drawEntries({ plan, random }: PathRun): number[] {
    const all = Array.from({ length: plan.entries }, (_, number) => number);
    const kind = random.next();
    if (kind < 0.3) return [random.pick(all)];
    if (kind < 0.6) {
        const zone = random.integer(0, ZONES.length);
        return all.filter(entry => entry % ZONES.length === zone);
    }
    const share = random.between(0.2, 1);
    return all.filter(() => random.next() < share);
}

async function disturb(run: PathRun): Promise<void> {
    const { fleet, random, otherFaults } = run;
    otherFaults.push(fleet.clock.monotonic());
    const upstream = random.pick(fleet.upstreams);
    switch (random.integer(0, 6)) {
        case 0:
            if (upstream.isUp) await fleet.run(upstream.crash());
            return;
        case 1:
            return upstream.fallSilent(random.between(500, 1_500));
        case 2:
            return toggleEntry(run);
        case 3:
            return toggleControl(run);
        case 4:
            return beBrittle(run);
        default:
            return upstream.turnAway(random.between(1, 4).toFixed(1));
    }
}

async function toggleEntry({ fleet, random }: PathRun): Promise<void> {
    const number = random.integer(0, fleet.entries.length);
    const live = fleet.entries.filter(entry => entry !== undefined).length;
    if (!fleet.entries[number]) await fleet.run(fleet.startEntry(number));
    else if (live > 1) await fleet.run(fleet.killEntry(number));
}

async function toggleControl({ fleet, random }: PathRun): Promise<void> {
    const number = random.integer(0, CONTROL_COUNT);
    const lost = fleet.controls.filter(control => control === undefined).length;
    if (!fleet.controls[number]) await fleet.run(fleet.startControl(number));
    else if (lost < MAX_CONTROLS_LOST) await fleet.run(fleet.killControl(number));
}

/** Has all upstreams say that they are brittle, and have less room from a while later until they are no longer. */
async function beBrittle(run: PathRun): Promise<void> {
    const { fleet, random } = run;
    run.brittleTimes++;
    for (const upstream of fleet.upstreams) upstream.becomeBrittle(REJECTION_LIMIT);
    await sendFor(run, CONTACT_MS);
    const room = random.integer(4, 16);
    for (const upstream of fleet.upstreams) upstream.becomeBrittle(REJECTION_LIMIT, room);
    fleet.clock.after(random.between(2_000, 5_000), () => {
        for (const upstream of fleet.upstreams) upstream.becomeBrittle(undefined);
    });
}

async function endFaults({ fleet }: PathRun): Promise<void> {
    for (const number of fleet.entries.keys()) fleet.restoreUpstreamPaths(number);
    for (const upstream of fleet.upstreams) {
        upstream.turnAway(undefined);
        upstream.becomeBrittle(undefined);
    }
    for (const [number, control] of fleet.controls.entries()) {
        if (!control) await fleet.run(fleet.startControl(number));
    }
    for (const [number, entry] of fleet.entries.entries()) {
        if (!entry) await fleet.run(fleet.startEntry(number));
    }
}

/**
 * Checks that each call ran at most once, and not at all when it was answered with 503 (not run).
 *
 * @returns The number of calls that ran.
 */
function checkAtMostOnce({ fleet, sent }: PathRun, replies: readonly TestReply[]): number {
    const runs = fleet.upstreams.flatMap(upstream => upstream.runs.map(({ request }) => request));
    const ran = new Set(runs);
    if (ran.size < runs.length) throw new InvariantError(`${runs.length - ran.size} calls ran twice`);
    for (const [index, { request }] of sent.entries()) {
        const isRefused = replies[index].status === 503;
        if (isRefused && ran.has(request)) throw new InvariantError(`${request} was refused as not run, but ran`);
    }
    return ran.size;
}

function checkCounted(replies: readonly TestReply[], counted: number, ran: number): void {
    const answered = replies.filter(({ status }) => status === 200).length;
    if (counted < answered) throw new InvariantError(`${answered} answered, ${counted} counted`);
    if (counted > ran) throw new InvariantError(`${counted} counted, ${ran} ran`);
}

function checkServedAfter({ sent }: PathRun, replies: readonly TestReply[], faultFreeSince: number): void {
    const late = sent.filter(({ sentAt }) => sentAt > faultFreeSince + RECOVERY_MS);
    const failed = late.filter(call => !isServed(replies[sent.indexOf(call)]));
    if (failed.length > 0) throw new InvariantError(`${failed.length} of ${late.length} calls fail without faults`);
}

/**
 * Checks that hosts without paths served calls nearly as often as the others.
 *
 * @returns Whether the loss lasted long enough, and nothing else happened meanwhile.
 */
function checkLoss({ sent, otherFaults }: PathRun, replies: readonly TestReply[], loss: Loss): boolean {
    const { entries, from, until } = loss;
    const isDisturbed = otherFaults.some(at => at > from - CONTACT_MS && at < until);
    const during = sent.map((call, index) => ({ ...call, isServed: isServed(replies[index]) }))
        .filter(({ sentAt }) => sentAt > from + CONTACT_MS && sentAt < until);
    const there = during.filter(({ entry }) => entries.includes(entry));
    const others = during.filter(({ entry }) => !entries.includes(entry));
    if (isDisturbed || there.length === 0 || others.length === 0) return false;
    const shareOf = (some: typeof during): number => some.filter(call => call.isServed).length / some.length;
    const failed = during.filter(call => !call.isServed).length;
    const isEnough = shareOf(there) >= MIN_SERVED_SHARE * shareOf(others);
    if (isEnough || failed <= MAX_FAILED + during.length / CALLS_PER_FURTHER_FAILURE) return true;
    const detail = `${shareOf(there)} of ${there.length} calls served, ${
        shareOf(others)
    } of ${others.length} elsewhere`;
    throw new InvariantError(`hosts ${entries.join(" ")} without paths: ${detail}`);
}

/** @returns The number of falls of upstreams for want of room. */
function checkFalls({ fleet, brittleTimes }: PathRun): number {
    const falls = fleet.upstreams.reduce((sum, upstream) => sum + upstream.falls, 0);
    const maxFalls = brittleTimes * (MAX_FALLS + fleet.upstreams.length / UPSTREAMS_PER_FURTHER_FALL);
    if (falls > maxFalls) throw new InvariantError(`brittle upstreams fell over ${falls} times, ${maxFalls} allowed`);
    return falls;
}

function isServed({ status, isWhole }: TestReply): boolean {
    return status === 200 && isWhole;
}
