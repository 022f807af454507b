import { describe, it } from "node:test";
import { runPowerSchedule } from "./index.js";

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

describe("runPowerSchedule", () => {
    for (const seed of SEEDS) {
        it(`counts each answered call once after a loss of all power (seed ${seed})`, async () => {
            await runPowerSchedule(seed);
        });
    }
});
