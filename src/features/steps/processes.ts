import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { ProgramExit } from "../../tools/index.js";
import { ProcessRun, WAIT_TIMEOUT_MS } from "../world/processRun.js";

/** Timeout that ends a hanging step. Each wait in a step has a shorter limit, whose error names the condition. */
const STEP_OPTIONS = { timeout: 4 * WAIT_TIMEOUT_MS };
/** Number of workspaces created before the holder is killed; the rest are created during its loss. */
const WORKSPACES_BEFORE_KILL = 4;

/** State that the steps of one scenario with operating-system processes share. */
interface ProcessWorld {
    run: ProcessRun;
    killedControl: number;
    exit: ProgramExit;
}

async function startProcesses(
    world: ProcessWorld,
    entries: number,
    controls: number,
    checksFence: boolean,
): Promise<void> {
    world.run = await ProcessRun.start({ entries, controls, platformChecksFence: checksFence });
}

async function killHolder(world: ProcessWorld): Promise<void> {
    const holder = await world.run.awaitHolder();
    await world.run.fleet.controls[holder].kill();
    world.killedControl = holder;
}

After({ tags: "@processes", ...STEP_OPTIONS }, async function(this: ProcessWorld) {
    await this.run?.fleet.close();
});

Given(
    "processes: {int} entries and {int} control processes",
    STEP_OPTIONS,
    function(this: ProcessWorld, entries: number, controls: number) {
        return startProcesses(this, entries, controls, true);
    },
);

Given(
    "processes: {int} entries and {int} control processes, and a platform that ignores fencing tokens",
    STEP_OPTIONS,
    function(this: ProcessWorld, entries: number, controls: number) {
        return startProcesses(this, entries, controls, false);
    },
);

When(
    "{int} chats and {int} orders are sent within {int} ms",
    function(this: ProcessWorld, chats: number, orders: number, withinMs: number) {
        this.run.replay({ chats, orders, withinMs });
    },
);

When(
    "{int} requests have ended, and entry {int} is killed",
    STEP_OPTIONS,
    async function(this: ProcessWorld, count: number, entry: number) {
        const { run } = this;
        await run.waitUntil(`the end of ${count} requests`, () => run.results.length >= count);
        await run.fleet.entries[entry - 1].kill();
    },
);

When(
    "the control holder is killed while {int} workspaces are made",
    STEP_OPTIONS,
    async function(this: ProcessWorld, count: number) {
        let killed: Promise<void> | undefined;
        await this.run.createWorkspaces(count, created => {
            if (created === WORKSPACES_BEFORE_KILL) killed = killHolder(this);
        });
        await killed;
    },
);

When("the killed control process is back", STEP_OPTIONS, async function(this: ProcessWorld) {
    const program = this.run.fleet.startControl(this.killedControl);
    await program.line("\"ready\"", WAIT_TIMEOUT_MS);
    await this.run.waitUntil(
        "its readiness, which needs a known holder",
        () => this.run.fleet.isControlReady(this.killedControl),
    );
});

When(
    "the control holder is frozen until another has reported a usage window, and wakes",
    STEP_OPTIONS,
    async function(this: ProcessWorld) {
        const { run } = this;
        await run.waitUntil("the first usage window", async () => (await run.stats()).platform.usage.windows > 0);
        const frozen = await run.awaitHolder();
        run.fleet.controls[frozen].signal("SIGSTOP");
        await run.awaitHolder(frozen);
        const before = (await run.stats()).platform.usage.windows;
        await run.waitUntil("the successor's window", async () => (await run.stats()).platform.usage.windows > before);
        run.fleet.controls[frozen].signal("SIGCONT");
        await run.waitUntil(
            "the end of its term",
            () => run.fleet.controls[frozen].stderr.includes("holder-term-ended"),
        );
    },
);

When(
    "a control process that is not the holder is killed, loses its folder and is promoted again",
    STEP_OPTIONS,
    async function(this: ProcessWorld) {
        const { fleet } = this.run;
        const holder = await this.run.awaitHolder();
        const lost = (holder + 1) % fleet.controls.length;
        await fleet.controls[lost].kill();
        await fleet.deleteControlData(lost);
        const program = fleet.startControl(lost);
        await program.line("\"ready\"", WAIT_TIMEOUT_MS);
        await this.run.waitUntil(
            "the promotion",
            () => fleet.controls.some(control => control.stderr.includes("learner-promoted")),
        );
    },
);

When(
    "{int} chats of {int} tokens stream over entry {int}",
    STEP_OPTIONS,
    async function(this: ProcessWorld, chats: number, tokens: number, entry: number) {
        await Promise.all(Array.from({ length: chats }, () => this.run.openStream(entry - 1, tokens)));
    },
);

When(
    "the process of entry {int} is stopped as planned",
    STEP_OPTIONS,
    async function(this: ProcessWorld, entry: number) {
        this.exit = await this.run.fleet.entries[entry - 1].stop(WAIT_TIMEOUT_MS);
    },
);

When("their key is withdrawn", STEP_OPTIONS, async function(this: ProcessWorld) {
    await this.run.withdrawKey();
});

Then(
    "some callers had to send again, and each has an answer or a truthful \"unknown\"",
    STEP_OPTIONS,
    async function(this: ProcessWorld) {
        const results = await this.run.finish();
        assert.ok(results.some(({ attempts }) => attempts > 1), "the kill came too late to affect any caller");
        assertNoneLostOrDoubled(this.run);
    },
);

Then("each request has an answer or a truthful \"unknown\"", STEP_OPTIONS, async function(this: ProcessWorld) {
    await this.run.finish();
    assertNoneLostOrDoubled(this.run);
    await assertOutcomesTruthful(this.run);
});

Then("no call has run twice, and nothing refused has run", STEP_OPTIONS, async function(this: ProcessWorld) {
    await assertOutcomesTruthful(this.run);
});

Then("the usage windows are reported once, with what was answered", STEP_OPTIONS, async function(this: ProcessWorld) {
    const results = await this.run.finish();
    const answered = results.filter(({ verdict }) => verdict === "answered").length;
    const read = async () => (await this.run.stats()).platform.usage;
    await this.run.waitUntil(`${answered} requests on the bills`, async () => (await read()).requests >= answered);
    const { conflicting, doubledWindows, reversals, requests } = await read();
    assert.deepEqual({ conflicting, doubledWindows, reversals }, { conflicting: 0, doubledWindows: 0, reversals: 0 });
    // An attempt whose response was lost with an entry may be billed in addition to the caller's next attempt.
    const attempts = results.reduce((sum, result) => sum + result.attempts, 0);
    assert.ok(requests <= attempts, `${requests} billed, ${attempts} sent`);
});

Then("each accepted workspace is there with its key", STEP_OPTIONS, async function(this: ProcessWorld) {
    const { api, acceptedWorkspaces: accepted } = this.run;
    const workspaces = await api.call(client => client.workspaces.query());
    const names = workspaces.map(({ id }) => String(id));
    assert.deepEqual(accepted.filter(name => !names.includes(name)), []);
    for (const name of accepted) {
        const keys = await api.call(client => client.keys.query(name));
        assert.deepEqual(keys.map(({ id }) => String(id)), [name]);
    }
});

Then("it ends with the exit code {int}", function(this: ProcessWorld, code: number) {
    assert.deepEqual(this.exit, { code, signal: undefined });
});

Then("all streams came whole", STEP_OPTIONS, async function(this: ProcessWorld) {
    for (const stream of this.run.streams) {
        const { outcome, text } = await stream.result;
        assert.deepEqual({ outcome, text }, { outcome: "answered", text: stream.expected });
    }
});

Then(
    "the streams end with the error {string} and the outcome {string}",
    STEP_OPTIONS,
    async function(this: ProcessWorld, errorType: string, outcome: string) {
        for (const stream of this.run.streams) {
            const result = await stream.result;
            assert.deepEqual({ errorType: result.errorType, outcome: result.outcome }, { errorType, outcome });
        }
    },
);

Then("neither entry takes the key any more", STEP_OPTIONS, async function(this: ProcessWorld) {
    for (const entry of this.run.fleet.entries.keys()) {
        const { status, errorType, outcome } = await this.run.sendChat(entry);
        assert.deepEqual({ status, errorType, outcome }, {
            status: 401,
            errorType: "key-unknown",
            outcome: "not-run",
        });
    }
});

Then("no upstream of the processes has seen a key", STEP_OPTIONS, async function(this: ProcessWorld) {
    assert.deepEqual((await this.run.stats()).keys, { watchedKeys: 0, credentialHeaders: 0 });
});

/** Checks that no request ended without a final result, with a wrong answer, or with an answer delivered twice. */
function assertNoneLostOrDoubled({ results }: ProcessRun): void {
    const lostOrDoubled = results.filter(({ verdict }) => verdict === "lost" || verdict === "doubled");
    assert.deepEqual(lostOrDoubled, []);
}

/** Checks that no call ran twice and that no request reported as not run has run. */
async function assertOutcomesTruthful(run: ProcessRun): Promise<void> {
    const { untruthful, doubledCalls } = await run.crossCheckRuns();
    assert.deepEqual({ untruthful, doubledCalls }, { untruthful: [], doubledCalls: [] });
}
