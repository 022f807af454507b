import { describe, it } from "node:test";
import { runCallSchedule } from "./index.js";

describe("runCallSchedule", () => {
    for (const seed of [1, 2, 3, 4]) {
        it(`quarantines crashing requests and obeys what upstreams state in their answers under random faults, seed ${seed}`, async () => {
            await runCallSchedule(seed);
        });
    }
});
