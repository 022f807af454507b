import { CallFault } from "../../emulator/index.js";
import { SeededRandom } from "../../ports/index.js";
import { makeDocument, makeRoute } from "../../routing/index.js";
import { checkFleetRepeats } from "../checkRepeats/index.js";
import { checkSlots } from "../checkSlots/index.js";
import { RepeatLoad } from "../repeatLoad/index.js";
import { RoutedFleet } from "../routedFleet/index.js";

/** Result of one run. */
export interface RepeatScheduleReport {
    readonly seed: number;
    readonly calls: number;
    readonly answered: number;
    /** Retries that reached the pool in the window that came closest to its limit, and the limit in it. */
    readonly repeats: number;
    readonly allowed: number;
}

/** Size and load of the fleet of one run. */
interface RepeatPlan {
    readonly controls: number;
    readonly entries: number;
    readonly queueHosts: boolean;
    readonly upstreams: number;
    readonly workMs: number;
    readonly callsPerS: number;
    /** Slack per entry. */
    readonly slackPerEntry: number;
    readonly route: Parameters<typeof makeRoute>[0];
}

/** State that the faults of one run share. */
interface RepeatRun {
    readonly plan: RepeatPlan;
    readonly fleet: RoutedFleet;
    readonly random: SeededRandom;
    readonly load: RepeatLoad;
    /** Numbers of the entries that are cut off from all other hosts. */
    readonly isolated: Set<number>;
    /** Entries that get calls; undefined: all. */
    chosen: ReadonlySet<number> | undefined;
    /** As many times the usual number of calls are sent. */
    factor: number;
}

type Fault = (run: RepeatRun) => Promise<void> | void;

const RESTART_MS = 2_000;
const SLOTS = 16;
/** Long enough that entries may use their share of the slack. */
const WARM_UP_MS = 12_000;
const ROUND_COUNT = 3;
const MAX_DISTURBANCES = 3;
const FAULT_FREE_MS = 3_000;
const CALL_FAULTS: readonly CallFault[] = ["refuse", "refuse", "refuse", "error", "lost"];
const ROUTES: readonly Parameters<typeof makeRoute>[0][] = [
    { kind: "once", timeoutMs: 4_000 },
    { kind: "idempotent", attempts: 3, timeoutMs: 12_000, targetMs: 3_000 },
    { kind: "idempotent", attempts: 2, timeoutMs: 6_000 },
];

/**
 * Runs one random schedule of faults that make entries repeat calls, several at once: upstreams refuse, fail, crash and fall silent, hosts
 * are killed, cut off and restarted, and callers move to other hosts and send more.
 *
 * @param seed - Determines the whole run.
 * @throws InvariantError when more retries reached the upstreams within a window than the limits allow.
 * @example
 * const report = await runRepeatSchedule(42);
 */
export async function runRepeatSchedule(seed: number): Promise<RepeatScheduleReport> {
    const random = new SeededRandom(seed);
    const run = await startRun(seed, random, drawPlan(random));
    await advance(run, WARM_UP_MS);
    for (let round = 0; round < ROUND_COUNT; round++) await playRound(run);
    await advance(run, FAULT_FREE_MS);
    const { fleet, load } = run;
    const replies = await fleet.run(Promise.all(load.replies));
    await checkSlots(fleet);
    await fleet.close();
    const { repeats, allowed } = checkFleetRepeats(fleet);
    const answered = replies.filter(({ status }) => status === 200).length;
    return { seed, calls: replies.length, answered, repeats, allowed };
}

/** Two failures of upstreams within about a window, with disturbances of hosts, callers and upstreams between and during them. */
async function playRound(run: RepeatRun): Promise<void> {
    const { random } = run;
    await random.pick(FAILURES)(run);
    await advance(run, random.between(1_000, 3_000));
    if (random.next() < 0.5) run.load.setFault(undefined);
    const disturbances = random.integer(1, MAX_DISTURBANCES + 1);
    for (let number = 0; number < disturbances; number++) {
        await random.pick(DISTURBANCES)(run);
        await advance(run, random.between(0, 2_500));
    }
    await random.pick(FAILURES)(run);
    await advance(run, random.between(2_000, 6_000));
    run.load.setFault(undefined);
    await random.pick(RECOVERIES)(run);
    await advance(run, random.between(4_000, 12_000));
}

function drawPlan(random: SeededRandom): RepeatPlan {
    return {
        controls: random.pick([3, 5]),
        entries: random.integer(2, 14),
        queueHosts: random.next() < 0.8,
        upstreams: random.integer(3, 10),
        workMs: random.pick([20, 80, 300, 2_000]),
        callsPerS: random.integer(8, 70),
        slackPerEntry: random.between(1, 8),
        route: random.pick(ROUTES),
    };
}

async function startRun(seed: number, random: SeededRandom, plan: RepeatPlan): Promise<RepeatRun> {
    const { controls, entries, queueHosts, workMs, callsPerS, route } = plan;
    const upstreams = Array.from({ length: plan.upstreams }, () => ({ slots: SLOTS, workMs, restartMs: RESTART_MS }));
    const repeats = { ratio: 0.2, windowMs: 10_000, slack: Math.round(plan.slackPerEntry * entries) };
    const fleet = new RoutedFleet({ seed, controls, entries, upstreams, queueHosts, repeats });
    await fleet.start(makeDocument({ routes: [makeRoute(route)] }));
    const load = new RepeatLoad({ fleet, random, callsPerS });
    return { plan, fleet, random, load, isolated: new Set(), chosen: undefined, factor: 1 };
}

function advance({ load, factor, chosen }: RepeatRun, ms: number): Promise<void> {
    return load.sendFor(ms, { factor, isChosen: entry => chosen?.has(entry) ?? true });
}

/** Draws some of the numbers below a count, each with the same chance. */
function drawSome(random: SeededRandom, count: number, share: number): number[] {
    return Array.from({ length: count }, (_, number) => number).filter(() => random.next() < share);
}

const failAll: Fault = ({ load, random }) => load.setFault(random.pick(CALL_FAULTS));

const failSome: Fault = ({ load, random, plan }) =>
    load.setFault(random.pick(CALL_FAULTS), drawSome(random, plan.upstreams, 0.6));

const crashUpstreams: Fault = async ({ fleet, random }) => {
    const up = drawSome(random, fleet.upstreams.length, 0.5).filter(number => fleet.upstreams[number].isUp);
    await fleet.run(Promise.all(up.map(number => fleet.upstreams[number].crash())));
};

const silenceUpstreams: Fault = ({ fleet, random }) => {
    for (const number of drawSome(random, fleet.upstreams.length, 0.5)) {
        fleet.upstreams[number].fallSilent(random.between(500, 3_000));
    }
};

const killEntries: Fault = async ({ fleet, random }) => {
    const live = [...fleet.entries.keys()].filter(number => fleet.entries[number]);
    const killed = live.slice(1).filter(() => random.next() < 0.6);
    await fleet.run(Promise.all(killed.map(number => fleet.killEntry(number))));
};

const startEntries: Fault = async ({ fleet }) => {
    if (fleet.controls.every(control => control === undefined)) return;
    const lost = [...fleet.entries.keys()].filter(number => !fleet.entries[number]);
    await fleet.run(Promise.all(lost.map(number => fleet.startEntry(number))));
};

const restartControls: Fault = async run => {
    const { fleet, random } = run;
    const numbers = [...fleet.controls.keys()];
    await fleet.run(Promise.all(numbers.map(number => fleet.killControl(number))));
    await advance(run, random.between(300, 3_000));
    await fleet.run(Promise.all(numbers.map(number => fleet.startControl(number))));
};

const isolateEntries: Fault = ({ fleet, random, isolated }) => {
    for (const number of drawSome(random, fleet.entries.length, 0.3)) {
        fleet.isolateEntry(number, true);
        isolated.add(number);
    }
};

const reconnectEntries: Fault = ({ fleet, isolated }) => {
    for (const number of isolated) fleet.isolateEntry(number, false);
    isolated.clear();
};

const moveCallers: Fault = run => {
    const chosen = drawSome(run.random, run.plan.entries, 0.4);
    run.chosen = chosen.length > 0 ? new Set(chosen) : undefined;
};

const changeLoad: Fault = run => {
    run.factor = run.random.pick([0.3, 1, 1, 2.5]);
};

const nothing: Fault = () => undefined;

const FAILURES: readonly Fault[] = [failAll, failAll, failAll, failSome];

const DISTURBANCES: readonly Fault[] = [
    crashUpstreams,
    silenceUpstreams,
    killEntries,
    killEntries,
    startEntries,
    restartControls,
    isolateEntries,
    moveCallers,
    moveCallers,
    changeLoad,
];

const RECOVERIES: readonly Fault[] = [startEntries, startEntries, reconnectEntries, moveCallers, nothing];
