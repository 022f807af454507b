import { describe, it } from "node:test";
import { runReplacementSchedule } from "./index.js";

const SEEDS = [1, 2, 18, 19, 31, 126, 149, 217];

describe("runReplacementSchedule", () => {
    for (const seed of SEEDS) {
        it(`keeps as many voters as hosts are replaced, frozen and emptied (seed ${seed})`, async () => {
            // Guards against a host that is never a voter again, or a voter that is gone for good, before further hosts lose their disks.
            await runReplacementSchedule(seed);
        });
    }
});
