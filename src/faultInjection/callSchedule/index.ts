import { SeededRandom } from "../../ports/index.js";
import { makeDocument, makeRoute } from "../../routing/index.js";
import { checkFleetRepeats } from "../checkRepeats/index.js";
import { checkSignals } from "../checkSignals/index.js";
import { checkSlots } from "../checkSlots/index.js";
import { InvariantError } from "../recordingStateMachine/index.js";
import { RoutedFleet } from "../routedFleet/index.js";
import { TestReply } from "../testCaller/index.js";
import { ThrowingDialect } from "../throwingDialect/index.js";

/** Result of one run. */
export interface CallScheduleReport {
    readonly seed: number;
    readonly calls: number;
    readonly answered: number;
    readonly crashes: number;
    readonly virtualMs: number;
}

const CALLER_KEY = "butcher-key";
const CRASHING_BODY = "a prompt that no upstream survives";
const POPULAR_BODY = "what is open today";
const CONTROL_COUNT = 5;
const ENTRY_COUNT = 4;
const UPSTREAM_COUNT = 8;
/** Maximum number of control processes that are down or isolated concurrently, so that the others are a majority. */
const MAX_CONTROLS_LOST = 2;
const FAULT_COUNT = 12;
/** Calls are sent at random intervals of up to twice this time. */
const MEAN_CALL_INTERVAL_MS = 60;
/** Every nth call carries the crashing request body. */
const CALLS_PER_CRASHING_BODY = 12;
const CALLS_PER_POPULAR_BODY = 5;
/** Duration of the fault-free phase at the end of a run. Hosts are connected again after its first `RECONNECT_MS`. */
const FAULT_FREE_MS = 16_000;
const RECONNECT_MS = 3_000;
/** Time in which the calls of the fault-free phase get the crashing request quarantined even if no earlier crash is known. */
const QUARANTINE_DETECTION_MS = 6_000;
/** Share of the steps of calls that throw an error that no code expects. */
const ERROR_SHARE = 0.03;
const LIMIT_REQUESTS_PER_S = 1.5;
const LIMIT_CHECK_SPAN_MS = 4_000;
/** Tolerance over the limit within `LIMIT_CHECK_SPAN_MS`: half as much again, and a few requests more. */
const LIMIT_TOLERANCE_FACTOR = 1.5;
const LIMIT_TOLERANCE_REQUESTS = 5;
/** Mean share of upstreams that turn calls away at the same time: the fewer are left, the more each shedding one would get. */
const SHEDDING_SHARE = 0.7;

/** A call of the run and its reply. */
interface SentCall {
    /** The request id. */
    readonly request: string;
    readonly body: string;
    readonly sentAt: number;
    readonly reply: Promise<TestReply>;
}

/** State that the faults and checks of one run share. */
interface CallScheduleRun {
    readonly fleet: RoutedFleet;
    readonly random: SeededRandom;
    readonly sent: SentCall[];
    /** Numbers of the control processes that are isolated. */
    readonly cut: Set<number>;
    /** Index of the upstream that advertises a request limit. */
    limitedUpstream: number;
}

type Fault = (run: CallScheduleRun) => Promise<void>;

/** The weight is the number of times that a fault is entered in the list from which faults are drawn. */
const FAULTS: readonly (readonly [weight: number, fault: Fault])[] = [
    [4, killControl],
    [5, restartControls],
    [3, killEntry],
    [4, restartEntries],
    [3, cutControl],
    [3, reconnectControls],
    [1, powerCycleAll],
    [3, crashUpstream],
    [3, moveRequestLimit],
    [3, turnCallsAway],
    [2, stateDeparture],
];
const WEIGHTED_FAULTS = FAULTS.flatMap(([weight, fault]) => Array.from({ length: weight }, () => fault));

/**
 * Runs one random schedule of faults against a fleet under load. Some calls crash the upstream that runs them, one upstream
 * advertises a request limit, and others ask hosts to back off or state that they leave. Ends with a fault-free phase, then checks the replies to callers and the requests that upstreams ran.
 *
 * @param seed - Determines the whole run.
 * @throws InvariantError when an invariant is violated.
 * @example
 * const report = await runCallSchedule(42);
 */
export async function runCallSchedule(seed: number): Promise<CallScheduleReport> {
    const random = new SeededRandom(seed);
    const upstreamOptions = { slots: 24, workMs: 80, crashesOn: CRASHING_BODY, restartMs: 2_500 };
    const upstreams = Array.from({ length: UPSTREAM_COUNT }, () => upstreamOptions);
    const errors = new SeededRandom(seed);
    let errorShare = ERROR_SHARE;
    const dialect = new ThrowingDialect(() => errors.next() < errorShare);
    const layout = { seed, upstreams, dialect, controls: CONTROL_COUNT, entries: ENTRY_COUNT, queueHosts: true };
    const fleet = new RoutedFleet(layout);
    const run: CallScheduleRun = { fleet, random, sent: [], cut: new Set(), limitedUpstream: 0 };
    await fleet.start(makeDocument({ routes: [makeRoute({ kind: "once", attempts: 1, timeoutMs: 4_000 })] }));
    await moveRequestLimit(run);
    for (let step = 0; step < FAULT_COUNT; step++) {
        await random.pick(WEIGHTED_FAULTS)(run);
        await advanceUnderCalls(run, random.between(300, 2_500));
    }
    await endFaults(run);
    errorShare = 0;
    const faultFreeSince = fleet.clock.monotonic();
    await advanceUnderCalls(run, FAULT_FREE_MS);
    const replies = await fleet.run(Promise.all(run.sent.map(({ reply }) => reply)));
    await checkSlots(fleet);
    checkFleetRepeats(fleet);
    checkAtMostOnce(run, replies);
    checkQuarantine(run, faultFreeSince);
    checkRequestLimit(run, faultFreeSince);
    checkSignals(fleet.upstreams, fleet.hostStarts);
    checkOtherRequestsServed(run, replies, faultFreeSince);
    await fleet.close();
    return {
        seed,
        calls: replies.length,
        answered: replies.filter(({ status }) => status === 200).length,
        crashes: fleet.upstreams.flatMap(({ crashes }) => crashes).length,
        virtualMs: fleet.clock.monotonic(),
    };
}

async function advanceUnderCalls(run: CallScheduleRun, ms: number): Promise<void> {
    const { fleet, random } = run;
    const end = fleet.clock.monotonic() + ms;
    while (fleet.clock.monotonic() < end) {
        const liveEntries = range(ENTRY_COUNT).filter(number => fleet.entries[number]);
        if (liveEntries.length > 0) sendCall(run, random.pick(liveEntries));
        await fleet.advance(random.between(1, 2 * MEAN_CALL_INTERVAL_MS));
    }
}

function sendCall({ fleet, sent }: CallScheduleRun, entry: number): void {
    const request = `call-${sent.length}`;
    const body = buildBody(sent.length);
    const reply = fleet.startCall({ entry, path: "/orders/1", key: CALLER_KEY, request, body });
    sent.push({ request, body, sentAt: fleet.clock.monotonic(), reply });
}

function buildBody(number: number): string {
    if (number % CALLS_PER_CRASHING_BODY === 0) return CRASHING_BODY;
    return number % CALLS_PER_POPULAR_BODY === 0 ? POPULAR_BODY : `order ${number}`;
}

function range(count: number): number[] {
    return Array.from({ length: count }, (_, number) => number);
}

function countUnavailableControls({ fleet, cut }: CallScheduleRun): number {
    return range(CONTROL_COUNT).filter(number => !fleet.controls[number] || cut.has(number)).length;
}

async function killControl(run: CallScheduleRun): Promise<void> {
    const { fleet, random } = run;
    const up = range(CONTROL_COUNT).filter(number => fleet.controls[number]);
    if (countUnavailableControls(run) >= MAX_CONTROLS_LOST) return;
    const holder = fleet.holder();
    await fleet.run(fleet.killControl(holder >= 0 && random.next() < 0.5 ? holder : random.pick(up)));
}

async function restartControls({ fleet }: CallScheduleRun): Promise<void> {
    for (const number of range(CONTROL_COUNT)) {
        if (!fleet.controls[number]) await fleet.run(fleet.startControl(number));
    }
}

async function killEntry({ fleet, random }: CallScheduleRun): Promise<void> {
    const up = range(ENTRY_COUNT).filter(number => fleet.entries[number]);
    if (up.length > 1) await fleet.run(fleet.killEntry(random.pick(up)));
}

async function restartEntries({ fleet }: CallScheduleRun): Promise<void> {
    for (const number of range(ENTRY_COUNT)) {
        if (!fleet.entries[number]) await fleet.run(fleet.startEntry(number));
    }
}

async function cutControl(run: CallScheduleRun): Promise<void> {
    const { fleet, random, cut } = run;
    const up = range(CONTROL_COUNT).filter(number => fleet.controls[number] && !cut.has(number));
    if (countUnavailableControls(run) >= MAX_CONTROLS_LOST) return;
    const number = random.pick(up);
    cut.add(number);
    fleet.cutControl(number, true);
}

async function reconnectControls({ fleet, cut }: CallScheduleRun): Promise<void> {
    for (const number of cut) fleet.cutControl(number, false);
    cut.clear();
}

async function powerCycleAll(run: CallScheduleRun): Promise<void> {
    const { fleet } = run;
    for (const number of range(CONTROL_COUNT)) {
        if (fleet.controls[number]) await fleet.run(fleet.killControl(number));
    }
    for (const number of range(ENTRY_COUNT)) {
        if (fleet.entries[number]) await fleet.run(fleet.killEntry(number));
    }
    await reconnectControls(run);
    await restartControls(run);
    await restartEntries(run);
}

async function crashUpstream({ fleet, random }: CallScheduleRun): Promise<void> {
    const up = fleet.upstreams.filter(({ isUp }) => isUp);
    if (up.length > UPSTREAM_COUNT / 2) await fleet.run(random.pick(up).crash());
}

/** Ends the request limit that one upstream advertises, and lets a randomly picked one advertise it. */
async function moveRequestLimit(run: CallScheduleRun): Promise<void> {
    const { fleet, random } = run;
    fleet.upstreams[run.limitedUpstream].advertiseRequestLimit(undefined);
    run.limitedUpstream = random.integer(0, UPSTREAM_COUNT);
    fleet.upstreams[run.limitedUpstream].advertiseRequestLimit(LIMIT_REQUESTS_PER_S);
}

async function endFaults(run: CallScheduleRun): Promise<void> {
    await reconnectControls(run);
    await restartControls(run);
    await restartEntries(run);
}

/** Lets most upstreams turn all calls away for a while, and ask for a back-off that may outlast it. */
async function turnCallsAway({ fleet, random }: CallScheduleRun): Promise<void> {
    const spared = random.integer(0, UPSTREAM_COUNT);
    const shedding = fleet.upstreams.filter((_, number) => number !== spared && random.next() < SHEDDING_SHARE);
    for (const upstream of shedding) upstream.turnAway(random.between(1, 6).toFixed(1));
    fleet.clock.after(random.between(1_000, 6_000), () => {
        for (const upstream of shedding) upstream.turnAway(undefined);
    });
}

/** Lets an upstream state in its answers that it leaves, and replaces it by a new run some seconds later. */
async function stateDeparture({ fleet, random }: CallScheduleRun): Promise<void> {
    const upstream = random.pick(fleet.upstreams);
    upstream.stateDeparture();
    fleet.clock.after(random.between(3_000, 6_000), () => {
        if (upstream.isUp) void upstream.crash();
    });
}

/** Checks that each call ran at most once, and not at all when it was answered with 503 (not run). */
function checkAtMostOnce({ fleet, sent }: CallScheduleRun, replies: readonly TestReply[]): void {
    const counts = new Map<string, number>();
    for (const { request } of fleet.upstreams.flatMap(({ runs }) => runs)) {
        counts.set(request, (counts.get(request) ?? 0) + 1);
    }
    sent.forEach(({ request }, index) => {
        const runs = counts.get(request) ?? 0;
        const { status } = replies[index];
        if (runs > 1) throw new InvariantError(`${request} ran ${runs} times`);
        if (status === 503 && runs > 0) throw new InvariantError(`${request} was refused as not run, but ran`);
    });
}

/**
 * Checks that the crashing request reaches no upstream any more once hosts are connected again and have received it a few more
 * times.
 */
function checkQuarantine({ fleet }: CallScheduleRun, faultFreeSince: number): void {
    const quarantinedBy = faultFreeSince + RECONNECT_MS + QUARANTINE_DETECTION_MS;
    const late = fleet.upstreams.flatMap(({ runs }) => runs).filter(({ body, at }) =>
        body === CRASHING_BODY && at > quarantinedBy
    );
    if (late.length > 0) throw new InvariantError(`the crashing request ran ${late.length} times without faults`);
}

/** Checks that the limited upstream receives no more than its limit plus the tolerance once hosts are connected again. */
function checkRequestLimit({ fleet, limitedUpstream }: CallScheduleRun, faultFreeSince: number): void {
    const times = fleet.upstreams[limitedUpstream].runs.map(({ at }) => at).filter(at =>
        at > faultFreeSince + RECONNECT_MS
    );
    const maxRequests = LIMIT_TOLERANCE_FACTOR * LIMIT_REQUESTS_PER_S * LIMIT_CHECK_SPAN_MS / 1_000
        + LIMIT_TOLERANCE_REQUESTS;
    for (const first of times) {
        const count = times.filter(at => at >= first && at < first + LIMIT_CHECK_SPAN_MS).length;
        if (count > maxRequests) throw new InvariantError(`limited upstream: ${count} in 4 s, max ${maxRequests}`);
    }
}

/** Checks that other requests are served in the fault-free phase, and that none is mistaken for the crashing one. */
function checkOtherRequestsServed(
    { sent }: CallScheduleRun,
    replies: readonly TestReply[],
    faultFreeSince: number,
): void {
    sent.forEach(({ request, body, sentAt }, index) => {
        const { body: text, status } = replies[index];
        if (body === CRASHING_BODY) return;
        if (text.includes("quarantined")) throw new InvariantError(`${request}, "${body}", was quarantined`);
        const isServed = status === 200 || sentAt < faultFreeSince + RECONNECT_MS + QUARANTINE_DETECTION_MS;
        if (!isServed) throw new InvariantError(`${request} was answered with ${status} in the fault-free phase`);
    });
}
