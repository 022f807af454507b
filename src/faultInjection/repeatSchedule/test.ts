import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { runRepeatSchedule } from "./index.js";

describe("runRepeatSchedule", () => {
    // Failure: hosts that are killed, cut off or left by their callers add up to more retries than a pool's limit.
    for (const seed of [4, 5, 6, 7]) {
        it(`keeps retries within their limits (seed ${seed})`, async () => {
            const { repeats, allowed } = await runRepeatSchedule(seed);
            assert.ok(repeats <= allowed);
        });
    }
});
