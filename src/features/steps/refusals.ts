import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { RefusalFaultKind, RefusalReport, runRefusals } from "../../tools/index.js";

/** Ends a run that hangs. */
const STEP_OPTIONS = { timeout: 120_000 };

/** State that the steps of one scenario share. */
interface RefusalWorld {
    report: RefusalReport;
}

function listFaults({ faults }: RefusalReport, kinds: readonly RefusalFaultKind[]): string[] {
    return faults.filter(({ kind }) => kinds.includes(kind)).map(({ kind, exchange, detail }) =>
        `${kind} ${exchange?.request}: ${detail}`
    );
}

When(
    "the refusals drawn from seed {int} are played for {int} ms between processes",
    STEP_OPTIONS,
    async function(this: RefusalWorld, seed: number, durationMs: number) {
        this.report = await runRefusals(seed, { durationMs, size: 1 });
    },
);

Then(
    "no call that may run once has run twice, or after an answer that it has not run",
    function(this: RefusalWorld) {
        const { exchanges } = this.report.record;
        assert.ok(exchanges.some(({ statesNotRun }) => statesNotRun), "nothing was refused");
        assert.deepEqual(listFaults(this.report, ["ran-twice", "untrue-refusal", "unanswered", "process-ended"]), []);
    },
);

Then("each success answers its own call", function(this: RefusalWorld) {
    assert.ok(this.report.record.exchanges.some(({ status }) => status === 200), "nothing was answered");
    assert.deepEqual(listFaults(this.report, ["foreign-answer"]), []);
});
