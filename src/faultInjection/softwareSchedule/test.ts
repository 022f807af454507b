import { describe, it } from "node:test";
import { runSoftwareSchedule } from "./index.js";

const SEEDS = [14, 23];
/** Seeds of upstreams that came back with other software at the same id, and continued or began a stream before they announced themselves. */
const RESTART_SEEDS = [35, 77, 144];

describe("runSoftwareSchedule", () => {
    for (const seed of [...SEEDS, ...RESTART_SEEDS]) {
        it(`keeps the events of two software versions apart, and lets streams go on (seed ${seed})`, async () => {
            await runSoftwareSchedule(seed);
        });
    }
});
