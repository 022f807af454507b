import { describe, it } from "node:test";
import { runCallSchedule } from "./index.js";

describe("runCallSchedule", () => {
    for (const seed of [1, 2, 3, 4]) {
        it(`quarantines crashing requests and respects request limits under random faults, seed ${seed}`, async () => {
            await runCallSchedule(seed);
        });
    }
});
