import { describe, it } from "node:test";
import { runSoftwareSchedule } from "./index.js";

const SEEDS = [14, 23];

describe("runSoftwareSchedule", () => {
    for (const seed of SEEDS) {
        it(`keeps the events of two software versions apart, and lets streams go on (seed ${seed})`, async () => {
            await runSoftwareSchedule(seed);
        });
    }
});
