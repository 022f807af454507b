import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { GarbledFaultKind, GarbledReport, isComplete, runGarbledStreams } from "../../tools/index.js";

/** Ends a run that hangs. */
const STEP_OPTIONS = { timeout: 120_000 };

/** State that the steps of one scenario share. */
interface GarbledWorld {
    report: GarbledReport;
}

function listFaults({ faults }: GarbledReport, kinds: readonly GarbledFaultKind[]): string[] {
    return faults.filter(({ kind }) => kinds.includes(kind)).map(({ kind, exchange, detail }) =>
        `${kind} ${exchange?.request}: ${detail}`
    );
}

When(
    "the spoilt streams drawn from seed {int} are played for {int} ms between processes",
    STEP_OPTIONS,
    async function(this: GarbledWorld, seed: number, durationMs: number) {
        this.report = await runGarbledStreams(seed, { durationMs, size: 1 });
    },
);

Then("each piece that came is the next event of its stream", function(this: GarbledWorld) {
    const { served } = this.report.record;
    assert.ok(served.some(({ shape }) => shape.isFaulty), "nothing was spoilt");
    const kinds = ["foreign-piece", "repeated-piece", "missing-piece", "ran-twice", "process-ended"] as const;
    assert.deepEqual(listFaults(this.report, kinds), []);
});

Then("only whole streams end as complete", function(this: GarbledWorld) {
    assert.ok(this.report.record.exchanges.some(isComplete), "nothing was answered");
    assert.deepEqual(listFaults(this.report, ["untrue-end", "not-broken-off", "unanswered"]), []);
});
