import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { MemoryDisk, VirtualClock } from "../../../ports/index.js";
import { compareWithBaseline, readBaseline, writeBaseline } from "../baseline/index.js";
import { UTILITY } from "../deployment/index.js";
import { MAIN_SETS } from "../policySet/index.js";
import { SCENARIOS } from "../scenario/index.js";
import { Score } from "../score/index.js";
import { runScenario } from "./index.js";

const SHORT_SCENARIO = { ...SCENARIOS[0], durationMs: 5_000 };
const SHIPPED_SET = MAIN_SETS.find(({ name }) => name === "sequoiamux")!;

function run(): Promise<Score> {
    return runScenario(UTILITY, SHORT_SCENARIO, SHIPPED_SET);
}

describe("runScenario", () => {
    it("gives exactly equal figures when repeated and settles each request", async () => {
        const score = await run();
        assert.deepEqual(await run(), score);
        for (const { offered, attained, late, refused, failed } of score.classes) {
            assert.equal(attained + late + refused + failed, offered);
        }
    });
});

describe("compareWithBaseline", () => {
    it("accepts equal figures and reports each one that is worse than its tolerance", async () => {
        const score = await run();
        const disk = new MemoryDisk(new VirtualClock());
        await writeBaseline(disk, [score]);
        const baseline = await readBaseline(disk);
        assert.deepEqual(compareWithBaseline(baseline, [score]), []);
        const worse = {
            ...score,
            goodput: score.goodput - 0.1,
            inversions: 1,
            costPerAttained: 2 * score.costPerAttained,
        };
        assert.equal(compareWithBaseline(baseline, [worse]).length, 3);
        assert.equal(compareWithBaseline([], [score]).length, 1);
    });
});
