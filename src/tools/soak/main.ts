/** Runs random fault schedules over the control log by seed: `node dist/tools/soak/main.js --seeds 500 --from 1`. */
import { cac } from "cac";
import { runSchedule } from "../../faultInjection/index.js";

interface SoakOptions {
    readonly seeds: number;
    readonly from: number;
}

async function runSeeds({ seeds, from }: SoakOptions): Promise<number[]> {
    const failed: number[] = [];
    for (let seed = from; seed < from + seeds; seed++) {
        try {
            const { accepted, virtualMs } = await runSchedule(seed);
            console.log(`seed ${seed}: ${accepted} accepted in ${Math.round(virtualMs / 1_000)} s of virtual time`);
        }
        catch (err) {
            failed.push(seed);
            console.log(`seed ${seed}: FAILED ${String((err as Error).stack)}`);
        }
    }
    return failed;
}

const program = cac("soak");
program.option("--seeds <count>", "How many seeds to run", { default: 100 });
program.option("--from <seed>", "The first seed", { default: 1 });
program.help();
const { options } = program.parse();
if (!options.help) {
    const failed = await runSeeds(options as unknown as SoakOptions);
    console.log(`${options.seeds - failed.length} seeds passed, ${failed.length} failed: ${failed.join(" ")}`);
    process.exitCode = failed.length > 0 ? 1 : 0;
}
