import { availableParallelism } from "node:os";
import { Worker } from "node:worker_threads";
import { DEPLOYMENTS } from "../deployment/index.js";
import { ABLATIONS, MAIN_SETS } from "../policySet/index.js";
import { runScenario } from "../run/index.js";
import { SCENARIOS } from "../scenario/index.js";
import { Score } from "../score/index.js";

/** One simulation run, identified by the names of its deployment, scenario and policy set. */
export interface BenchJob {
    readonly deployment: string;
    readonly scenario: string;
    readonly policySet: string;
    /** Seed of the traffic and the random decisions; `DEFAULT_SEED` when undefined. */
    readonly seed?: number;
}

/** Leaves processors to other users of the machine. */
const MAX_THREADS = 4;

/** Runs one job in the calling thread. */
export function runJob(job: BenchJob): Promise<Score> {
    const deployment = DEPLOYMENTS.find(({ name }) => name === job.deployment)!;
    const scenario = SCENARIOS.find(({ name }) => name === job.scenario)!;
    const policySet = [...MAIN_SETS, ...ABLATIONS].find(({ name }) => name === job.policySet)!;
    return runScenario(deployment, scenario, policySet, job.seed);
}

/**
 * Runs jobs in up to `MAX_THREADS` worker threads. Each run has its own virtual clock and seeded random numbers, so the
 * figures don't depend on the number of threads.
 *
 * @returns The scores in the order of the jobs.
 */
export async function runJobs(jobs: readonly BenchJob[]): Promise<readonly Score[]> {
    const threads = Math.max(1, Math.min(MAX_THREADS, jobs.length, Math.floor(availableParallelism() / 2)));
    if (threads === 1) return runSequentially(jobs);
    const jobsByThread = Array.from(
        { length: threads },
        (_, thread) => jobs.filter((_, index) => index % threads === thread),
    );
    const results = await Promise.all(jobsByThread.map(runInThread));
    return jobs.map((_, index) => results[index % threads][Math.floor(index / threads)]);
}

async function runSequentially(jobs: readonly BenchJob[]): Promise<readonly Score[]> {
    const scores: Score[] = [];
    for (const job of jobs) scores.push(await runJob(job));
    return scores;
}

function runInThread(jobs: readonly BenchJob[]): Promise<readonly Score[]> {
    return new Promise((resolve, reject) => {
        const worker = new Worker(new URL("../worker.js", import.meta.url), { workerData: jobs });
        worker.once("message", resolve);
        worker.once("error", reject);
    });
}
