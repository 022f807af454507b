import { WorkspaceId } from "../../ids/index.js";
import { SeededRandom } from "../../ports/index.js";
import { makeDocument, makeRoute } from "../../routing/index.js";
import { checkFleetRepeats } from "../checkRepeats/index.js";
import { checkSlots } from "../checkSlots/index.js";
import { countStarts } from "../countStarts/index.js";
import { InvariantError } from "../recordingStateMachine/index.js";
import { controlAddress, RoutedFleet } from "../routedFleet/index.js";
import { TestReply } from "../testCaller/index.js";

/** Result of one run. */
export interface PowerScheduleReport {
    readonly seed: number;
    /** Calls that got an answer of an upstream. */
    readonly answered: number;
    /** Calls that upstreams ran. */
    readonly ran: number;
    /** Starts in the control log after the loss of power. */
    readonly counted: number;
    readonly virtualMs: number;
}

/** What happens in one run. */
interface PowerPlan {
    readonly entries: number;
    readonly queueHosts: boolean;
    readonly callsPerS: number;
    /** Time under load before all hosts lose power, in milliseconds. */
    readonly loadMs: number;
    /** Time before the loss of power at which the holder of the control lease is lost, in milliseconds; undefined: it is not. */
    readonly holderLostMs: number | undefined;
    /** Number of times that a control process or an entry is killed or started again under load before. */
    readonly disturbances: number;
    /** Time after the hosts are back at which they lose power again, in milliseconds; undefined: they do not. */
    readonly lostAgainMs: number | undefined;
    /** Numbers of the control hosts that lose their disks too. */
    readonly wiped: readonly number[];
    readonly syncMs: number;
}

const CALLER_KEY = "butcher-key";
const WORKSPACE = "butcher" as WorkspaceId;
const CONTROL_COUNT = 5;
const UPSTREAM_COUNT = 4;
/** Control hosts, and disks, that may be lost at once. */
const MAX_LOST = 2;
/** Time after its start for which a control process still counts as lost, in milliseconds. */
const CATCH_UP_MS = 4_000;
/** Time without power, longer than what still runs of the killed processes. */
const DOWN_MS = 1_000;
/** Time in which the control processes elect a holder, which collects what is on the disks. */
const RECOVERY_MS = 8_000;
const TIMEOUT_MS = 4_000;

/**
 * Loses the power of all hosts at a random moment under load, in some runs with two disks, and in some with the holder of the control lease just
 * before. Afterwards each call that was answered must be counted, and none more often than it ran.
 *
 * @param seed - Determines the whole run.
 * @throws InvariantError when a count is missing or too high, or when a call that must not be repeated ran twice.
 * @example
 * const report = await runPowerSchedule(42);
 */
export async function runPowerSchedule(seed: number): Promise<PowerScheduleReport> {
    const random = new SeededRandom(seed);
    const plan = drawPlan(random);
    const upstream = { slots: 16, workMs: random.integer(5, 120) };
    const upstreams = Array.from({ length: UPSTREAM_COUNT }, () => upstream);
    const { entries, queueHosts } = plan;
    const fleet = new RoutedFleet({ seed, controls: CONTROL_COUNT, entries, upstreams, queueHosts });
    await fleet.start(makeDocument({ routes: [makeRoute({ kind: "once", attempts: 1, timeoutMs: TIMEOUT_MS })] }));
    for (const disk of fleet.disks) disk.syncDurationMs = plan.syncMs;
    const replies = await runLoad(fleet, random, plan);
    await losePower(fleet, plan.wiped);
    if (plan.lostAgainMs !== undefined) {
        await fleet.advance(plan.lostAgainMs);
        await losePower(fleet, []);
    }
    await fleet.advance(RECOVERY_MS);
    const report = {
        seed,
        answered: replies.filter(({ status }) => status === 200).length,
        ran: countRuns(fleet),
        counted: countStarts(fleet, WORKSPACE),
        virtualMs: fleet.clock.monotonic(),
    };
    await checkSlots(fleet);
    await fleet.close();
    checkFleetRepeats(fleet);
    checkCounts(report, plan);
    return report;
}

function drawPlan(random: SeededRandom): PowerPlan {
    return {
        entries: random.integer(2, 8),
        queueHosts: random.next() < 0.5,
        callsPerS: random.integer(20, 200),
        loadMs: random.between(300, 3_000),
        holderLostMs: random.next() < 0.5 ? random.between(0, 1_500) : undefined,
        disturbances: random.next() < 0.5 ? random.integer(1, 8) : 0,
        lostAgainMs: random.next() < 0.25 ? random.between(0, 4_000) : undefined,
        wiped: random.next() < 0.5 ? drawWiped(random) : [],
        syncMs: random.pick([0, 1, 5, 20]),
    };
}

function drawWiped(random: SeededRandom): number[] {
    const numbers = Array.from({ length: CONTROL_COUNT }, (_, number) => number);
    return Array.from({ length: MAX_LOST }, () => numbers.splice(random.integer(0, numbers.length), 1)[0]);
}

/** Sends calls until the moment of the power loss, and returns the replies that have arrived by then. */
async function runLoad(fleet: RoutedFleet, random: SeededRandom, plan: PowerPlan): Promise<TestReply[]> {
    const replies: TestReply[] = [];
    const startedAt = fleet.clock.monotonic();
    const endAt = startedAt + plan.loadMs;
    const disturbances = Array.from({ length: plan.disturbances }, () => random.between(startedAt, endAt));
    disturbances.sort((a, b) => a - b);
    const holderLostAt = endAt - (plan.holderLostMs ?? Number.NEGATIVE_INFINITY);
    let isHolderLost = false;
    for (let call = 0; fleet.clock.monotonic() < endAt; call++) {
        const now = fleet.clock.monotonic();
        if (disturbances.length > 0 && now >= disturbances[0]) {
            disturbances.shift();
            await disturb(fleet, random);
        }
        if (!isHolderLost && now >= holderLostAt && countLostControls(fleet) < MAX_LOST) {
            isHolderLost = true;
            if (fleet.holder() >= 0) void fleet.killControl(fleet.holder());
        }
        const entry = random.integer(0, plan.entries);
        const sent = fleet.startCall({ entry, path: `/orders/${call}`, key: CALLER_KEY, request: `call-${call}` });
        void sent.then(reply => replies.push(reply));
        await fleet.advance(random.between(0, 2_000 / plan.callsPerS));
    }
    return [...replies];
}

/** Kills a control process or an entry, or starts it again. */
async function disturb(fleet: RoutedFleet, random: SeededRandom): Promise<void> {
    const control = random.integer(0, CONTROL_COUNT);
    const entry = random.integer(0, fleet.layout.entries);
    const kind = random.pick(["control", "entry"]);
    if (kind === "entry") return toggleEntry(fleet, entry);
    if (!fleet.controls[control]) await fleet.run(fleet.startControl(control));
    else if (countLostControls(fleet) < MAX_LOST) void fleet.killControl(control);
}

async function toggleEntry(fleet: RoutedFleet, number: number): Promise<void> {
    if (fleet.entries[number]) await fleet.run(fleet.killEntry(number));
    else void fleet.startEntry(number);
}

/** Counts the control processes that are down, or have not been back for long enough that entries have found them. */
function countLostControls({ controls, clock, hostStarts }: RoutedFleet): number {
    const caughtUpBefore = clock.monotonic() - CATCH_UP_MS;
    const isLost = (control: unknown, number: number): boolean => {
        const starts = hostStarts.get(controlAddress(number).host)!;
        return control === undefined || (starts.length > 1 && starts.at(-1)! > caughtUpBefore);
    };
    return controls.filter(isLost).length;
}

async function losePower(fleet: RoutedFleet, wiped: readonly number[]): Promise<void> {
    const controls = [...fleet.controls.keys()];
    const entries = [...fleet.entries.keys()];
    for (const number of entries) void fleet.killEntry(number);
    for (const number of controls) void fleet.killControl(number);
    await fleet.advance(DOWN_MS);
    for (const number of wiped) fleet.wipeDisk(number);
    await fleet.run(Promise.all(controls.map(number => fleet.startControl(number))));
    for (const number of entries) void fleet.startEntry(number);
}

function countRuns(fleet: RoutedFleet): number {
    const requests = fleet.upstreams.flatMap(({ runs }) => runs).map(({ request }) => request);
    if (new Set(requests).size < requests.length) {
        throw new InvariantError("a call that must not be repeated ran twice");
    }
    return requests.length;
}

function checkCounts({ answered, ran, counted }: PowerScheduleReport, plan: PowerPlan): void {
    const figures = `${answered} answered, ${counted} counted, ${ran} ran; ${JSON.stringify(plan)}`;
    if (counted < answered) throw new InvariantError(`answered calls are not counted: ${figures}`);
    if (counted > ran) throw new InvariantError(`calls are counted that did not run: ${figures}`);
}
