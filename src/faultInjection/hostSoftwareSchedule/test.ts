import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { runHostSoftwareSchedule } from "./index.js";

const SEEDS = [7, 8];

describe("runHostSoftwareSchedule", () => {
    for (const seed of SEEDS) {
        it(`keeps two versions apart while hosts are out of step or killed at once (seed ${seed})`, async () => {
            const { resumed } = await runHostSoftwareSchedule(seed);
            assert.ok(resumed > 0);
        });
    }
});
