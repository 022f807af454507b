import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { runStops, StopReport } from "../../tools/index.js";

/** Allowance for a machine that runs other work, in milliseconds. */
const LOAD_ALLOWANCE_MS = 1_000;
/** Ends a run that hangs. */
const STEP_OPTIONS = { timeout: 120_000 };

/** State that the steps of one scenario share. */
interface StopWorld {
    report: StopReport;
}

When(
    "the stops drawn from seed {int} are played for {int} ms between processes",
    STEP_OPTIONS,
    async function(this: StopWorld, seed: number, durationMs: number) {
        this.report = await runStops(seed, {
            durationMs,
            size: 1,
            signals: ["SIGTERM", "SIGHUP"],
            readMs: LOAD_ALLOWANCE_MS,
            toleranceMs: LOAD_ALLOWANCE_MS,
        });
    },
);

Then("no answer that was due has been cut, and no call has run twice", function(this: StopWorld) {
    const { record, faults } = this.report;
    assert.ok(record.exchanges.some(({ status }) => status === 200), "nothing was answered");
    assert.ok(record.lives.some(({ stoppedAt }) => stoppedAt !== undefined), "no entry was stopped");
    assert.deepEqual(faults.map(({ kind, detail }) => `${kind}: ${detail}`), []);
});
