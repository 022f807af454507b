import { describe, it } from "node:test";
import { runPathSchedule } from "./index.js";

const SEEDS = [1, 2, 3, 5];

describe("runPathSchedule", () => {
    for (const seed of SEEDS) {
        it(`serves the callers of hosts that lose their paths, each call once (seed ${seed})`, async () => {
            await runPathSchedule(seed);
        });
    }
});
