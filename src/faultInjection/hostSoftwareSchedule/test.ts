import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { runHostSoftwareSchedule } from "./index.js";

const SEEDS = [7];
/** Seeds of an entry and an owner of a queue that stood still and took an old announcement for a new one. */
const FROZEN_SEEDS = [207, 314];

describe("runHostSoftwareSchedule", () => {
    for (const seed of [...SEEDS, ...FROZEN_SEEDS]) {
        it(`keeps two versions apart while hosts are out of step or killed at once (seed ${seed})`, async () => {
            const { resumed } = await runHostSoftwareSchedule(seed);
            assert.ok(resumed > 0);
        });
    }
});
