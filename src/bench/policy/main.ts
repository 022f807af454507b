/** Simulates deployments under load and faults to compare policy sets: `npm run bench -- --help`. */
import { cac } from "cac";
import { FileDisk } from "../../ports/index.js";
import { compareWithBaseline, readBaseline, writeBaseline } from "./baseline/index.js";
import { DEPLOYMENTS } from "./deployment/index.js";
import { BenchJob, runJobs } from "./jobs/index.js";
import { ABLATIONS, MAIN_SETS } from "./policySet/index.js";
import { describeScore, makeHtmlReport } from "./report/index.js";
import { SCENARIOS } from "./scenario/index.js";
import { Score } from "./score/index.js";

interface Options {
    readonly scenario?: string;
    readonly deployment?: string;
    readonly set?: string;
    readonly seed?: number;
    readonly ablations?: boolean;
    readonly check?: boolean;
    readonly update?: boolean;
    readonly html?: boolean;
}

const BENCH_FOLDER = "bench";

const cli = cac("bench");
cli.option("--scenario <name>", "Only this scenario");
cli.option("--deployment <name>", "Only this deployment");
cli.option("--set <name>", "Only this policy set");
cli.option("--seed <number>", "Other traffic and other chance than that of the guarded figures");
cli.option("--ablations", "Also run the set with single decisions taken back to their baseline");
cli.option("--check", "Fail when a figure is outside the bounds of bench/BASELINE.json");
cli.option("--update", "Write bench/BASELINE.json from this run");
cli.option("--html", "Write bench/report.html");
cli.help();
const parsedCli = cli.parse();
if (!parsedCli.options.help) process.exitCode = await runBench(parsedCli.options as Options);

async function runBench(options: Options): Promise<number> {
    const sets = options.ablations ? [...MAIN_SETS, ...ABLATIONS] : MAIN_SETS;
    const jobs: BenchJob[] = DEPLOYMENTS.filter(({ name }) => matchesFilter(name, options.deployment)).flatMap(
        deployment =>
            SCENARIOS.filter(({ name }) => matchesFilter(name, options.scenario)).flatMap(scenario =>
                sets.filter(({ name }) => matchesFilter(name, options.set)).map(policySet => ({
                    deployment: deployment.name,
                    scenario: scenario.name,
                    policySet: policySet.name,
                    seed: options.seed,
                }))
            ),
    );
    const scores = await runJobs(jobs);
    for (const score of scores) console.log(describeScore(score));
    const disk = new FileDisk(BENCH_FOLDER);
    if (options.html) await disk.replace("report.html", new TextEncoder().encode(makeHtmlReport(scores)));
    if (options.update) await writeBaseline(disk, scores);
    return options.check ? check(disk, scores) : 0;
}

function matchesFilter(name: string, filter: string | undefined): boolean {
    return filter === undefined || filter === name;
}

async function check(disk: FileDisk, scores: readonly Score[]): Promise<number> {
    const regressions = compareWithBaseline(await readBaseline(disk), scores);
    for (const text of regressions) console.log(`REGRESSION ${text}`);
    console.log(`${scores.length} runs, ${regressions.length} regressions`);
    return regressions.length > 0 ? 1 : 0;
}
