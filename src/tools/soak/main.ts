/**
 * Runs random fault schedules, one per seed, against the control log, against routed calls, with hosts that lose their paths to upstreams,
 * with a loss of all power, with upstreams of several software versions, with hosts that are out of step while these change, with failures that make hosts repeat calls, with separate processes that are stopped, with upstreams that
 * refuse calls and repeat or garble their answers beside separate processes, or with upstreams that spoil their streams beside such:
 * `node dist/tools/soak/main.js --schedule calls --seeds 500 --from 1`.
 */
import { cac } from "cac";
import {
    ReplicaScheduleReport,
    runCallSchedule,
    runHostSoftwareSchedule,
    runPathSchedule,
    runPowerSchedule,
    runRepeatSchedule,
    runReplacementSchedule,
    runReplicaSchedule,
    runSoftwareSchedule,
} from "../../faultInjection/index.js";
import { describeGarbledStreams, runGarbledStreams } from "../garbledStreams/index.js";
import { describeRefusals, runRefusals } from "../refusals/index.js";
import { describeStops, runStops, writeStopFaults } from "../stops/index.js";
import { writeFaults } from "../writeFaults/index.js";

interface SoakOptions {
    readonly schedule: string;
    readonly seeds: number;
    readonly from: number;
    /** Factor on the number of processes and callers of the schedules `stops`, `refusals` and `garbled`. */
    readonly size: number;
    /** The signals of the schedule `stops`, separated by commas. */
    readonly signals: string;
    /** By which a busy machine may be late in the schedule `stops`, in milliseconds. */
    readonly tolerance: number;
    /** Folder for what is known of each fault of the schedules `stops`, `refusals` and `garbled`. */
    readonly logs?: string;
}

/** Longest time that an entry may take to read a request, in milliseconds. */
const READ_MS = 200;

/** Functions by schedule name that run one seed and return a one-line result. */
const SCHEDULE_RUNNERS: Readonly<Record<string, (seed: number, options: SoakOptions) => Promise<string>>> = {
    "log": async seed => describeReplicaReport(await runReplicaSchedule(seed)),
    "log-limited": async seed => describeReplicaReport(await runReplicaSchedule(seed, undefined, true)),
    "calls": async seed => {
        const { calls, answered, crashes, virtualMs } = await runCallSchedule(seed);
        return `${answered} of ${calls} answered, ${crashes} crashes in ${toSeconds(virtualMs)} s of virtual time`;
    },
    "paths": async seed => {
        const { calls, answered, judged, falls } = await runPathSchedule(seed);
        return `${answered} of ${calls} answered, ${judged} losses judged, ${falls} falls`;
    },
    "software": async seed => {
        const { sent, begun, resumed, continued, whole } = await runSoftwareSchedule(seed);
        return `${begun} of ${sent} streams begun, ${continued} of ${resumed} went on, ${whole} whole`;
    },
    "software-hosts": async seed => {
        const { sent, whole, resumed, stopped, refusals } = await runHostSoftwareSchedule(seed);
        return `${whole} of ${sent} streams whole, ${stopped} of ${resumed} that could go on did not, ${refusals} tries refused`;
    },
    "replacement": async seed => {
        const { accepted, removals, restoredMs, virtualMs } = await runReplacementSchedule(seed);
        return `${accepted} accepted, ${removals} members removed, restored after ${restoredMs} ms, ${
            toSeconds(virtualMs)
        } s of virtual time`;
    },
    "power": async seed => {
        const { answered, counted, ran } = await runPowerSchedule(seed);
        return `${answered} answered, ${counted} counted, ${ran} ran`;
    },
    "retries": async seed => {
        const { answered, calls, repeats, allowed } = await runRepeatSchedule(seed);
        return `${answered} of ${calls} answered, ${repeats} of ${Math.round(allowed)} retries in the worst window`;
    },
    "stops": async (seed, { size, signals, tolerance, logs }) => {
        const report = await runStops(seed, {
            size,
            signals: signals.split(","),
            readMs: READ_MS,
            toleranceMs: tolerance,
        });
        if (logs !== undefined && report.faults.length > 0) await writeStopFaults(logs, seed, report);
        return describeStops(report);
    },
    "refusals": async (seed, { size, logs }) => {
        const report = await runRefusals(seed, { size });
        if (logs !== undefined && report.faults.length > 0) await writeFaults(logs, "refusals", seed, report);
        return describeRefusals(report);
    },
    "garbled": async (seed, { size, logs }) => {
        const report = await runGarbledStreams(seed, { size });
        if (logs !== undefined && report.faults.length > 0) await writeFaults(logs, "garbled", seed, report);
        return describeGarbledStreams(report);
    },
};

function describeReplicaReport({ accepted, virtualMs }: ReplicaScheduleReport): string {
    return `${accepted} accepted in ${toSeconds(virtualMs)} s of virtual time`;
}

function toSeconds(ms: number): number {
    return Math.round(ms / 1_000);
}

async function runSeeds(options: SoakOptions): Promise<number[]> {
    const { schedule, seeds, from } = options;
    const failedSeeds: number[] = [];
    for (let seed = from; seed < from + seeds; seed++) {
        try {
            console.log(`seed ${seed}: ${await SCHEDULE_RUNNERS[schedule](seed, options)}`);
        }
        catch (err) {
            failedSeeds.push(seed);
            console.log(`seed ${seed}: FAILED ${String((err as Error).stack)}`);
        }
    }
    return failedSeeds;
}

const program = cac("soak");
program.option("--schedule <name>", `What runs: ${Object.keys(SCHEDULE_RUNNERS).join(", ")}`, { default: "log" });
program.option("--seeds <count>", "How many seeds to run", { default: 100 });
program.option("--from <seed>", "The first seed", { default: 1 });
program.option("--size <factor>", "How many times as many processes the schedules stops, refusals and garbled have", {
    default: 1,
});
program.option("--signals <names>", "Which signals the schedule stops sends", { default: "SIGTERM,SIGHUP" });
program.option("--tolerance <ms>", "By which a busy machine may be late in the schedule stops", { default: 500 });
program.option(
    "--logs <folder>",
    "Where the schedules stops, refusals and garbled write what is known of their faults",
);
program.help();
const { options } = program.parse();
const problem = options.help ? undefined : findProblem(options);
if (problem !== undefined) {
    console.error(`${problem}; --help lists what there is`);
    process.exitCode = 2;
}
else if (!options.help) {
    const failed = await runSeeds(options as unknown as SoakOptions);
    console.log(`${options.seeds - failed.length} seeds passed, ${failed.length} failed: ${failed.join(" ")}`);
    process.exitCode = failed.length > 0 ? 1 : 0;
}

/** Returns what is wrong with the command line; undefined: nothing. */
function findProblem(given: Readonly<Record<string, unknown>>): string | undefined {
    const known = new Set(["--", ...program.globalCommand.options.map(({ name }) => name)]);
    const unknown = Object.keys(given).find(name => !known.has(name));
    if (unknown !== undefined) return `there is no option ${unknown}`;
    const noNumber = ["seeds", "from", "size", "tolerance"].find(name => !Number.isInteger(given[name]));
    if (noNumber !== undefined) return `--${noNumber} is not a whole number`;
    return String(given.schedule) in SCHEDULE_RUNNERS ? undefined : `there is no schedule ${given.schedule}`;
}
