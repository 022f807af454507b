/** Worker thread of the bench: runs the jobs from `workerData` one after another and posts their scores back. */
import { parentPort, workerData } from "node:worker_threads";
import { BenchJob, runJob } from "./jobs/index.js";
import { Score } from "./score/index.js";

const scores: Score[] = [];
for (const job of workerData as readonly BenchJob[]) scores.push(await runJob(job));
parentPort!.postMessage(scores);
