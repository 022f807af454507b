/**
 * Runs random fault schedules, one per seed, against the control log, against routed calls, with hosts that lose their paths to upstreams,
 * with a loss of all power, or with upstreams of several software versions:
 * `node dist/tools/soak/main.js --schedule calls --seeds 500 --from 1`.
 */
import { cac } from "cac";
import {
    ReplicaScheduleReport,
    runCallSchedule,
    runPathSchedule,
    runPowerSchedule,
    runReplacementSchedule,
    runReplicaSchedule,
    runSoftwareSchedule,
} from "../../faultInjection/index.js";

interface SoakOptions {
    readonly schedule: string;
    readonly seeds: number;
    readonly from: number;
}

/** Functions by schedule name that run one seed and return a one-line result. */
const SCHEDULE_RUNNERS: Readonly<Record<string, (seed: number) => Promise<string>>> = {
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
};

function describeReplicaReport({ accepted, virtualMs }: ReplicaScheduleReport): string {
    return `${accepted} accepted in ${toSeconds(virtualMs)} s of virtual time`;
}

function toSeconds(ms: number): number {
    return Math.round(ms / 1_000);
}

async function runSeeds({ schedule, seeds, from }: SoakOptions): Promise<number[]> {
    const failedSeeds: number[] = [];
    for (let seed = from; seed < from + seeds; seed++) {
        try {
            console.log(`seed ${seed}: ${await SCHEDULE_RUNNERS[schedule](seed)}`);
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
program.help();
const { options } = program.parse();
if (!options.help && !(options.schedule in SCHEDULE_RUNNERS)) {
    console.error(`there is no schedule ${options.schedule}; --help lists them`);
    process.exitCode = 2;
}
else if (!options.help) {
    const failed = await runSeeds(options as unknown as SoakOptions);
    console.log(`${options.seeds - failed.length} seeds passed, ${failed.length} failed: ${failed.join(" ")}`);
    process.exitCode = failed.length > 0 ? 1 : 0;
}
