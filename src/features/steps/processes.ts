import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { ProgramExit } from "../../tools/index.js";
import { ProcessRun, WAIT_MS } from "../world/processRun.js";

/** Ends a step that hangs; each wait in it has its own, shorter limit and says what it waited for. */
const STEP = { timeout: 4 * WAIT_MS };
/** How many of a scenario's workspaces are made before the holder is killed: the rest meet its loss. */
const MADE_BEFORE_KILL = 4;

/** What the steps of one scenario with processes share. */
interface ProcessWorld {
    run: ProcessRun;
    killedControl: number;
    exit: ProgramExit;
}

async function start(world: ProcessWorld, entries: number, controls: number, checksFence: boolean): Promise<void> {
    world.run = await ProcessRun.start({ entries, controls, platformChecksFence: checksFence });
}

async function killHolder(world: ProcessWorld): Promise<void> {
    const holder = await world.run.awaitHolder();
    await world.run.fleet.controls[holder].kill();
    world.killedControl = holder;
}

After({ tags: "@processes", ...STEP }, async function(this: ProcessWorld) {
    await this.run?.fleet.close();
});

Given(
    "processes: {int} entries and {int} control processes",
    STEP,
    function(this: ProcessWorld, entries: number, controls: number) {
        return start(this, entries, controls, true);
    },
);

Given(
    "processes: {int} entries and {int} control processes, and a platform that ignores fencing tokens",
    STEP,
    function(this: ProcessWorld, entries: number, controls: number) {
        return start(this, entries, controls, false);
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
    STEP,
    async function(this: ProcessWorld, count: number, entry: number) {
        const { run } = this;
        await run.wait(`the end of ${count} requests`, () => run.results.length >= count);
        await run.fleet.entries[entry - 1].kill();
    },
);

When(
    "the control holder is killed while {int} workspaces are made",
    STEP,
    async function(this: ProcessWorld, count: number) {
        let killed: Promise<void> | undefined;
        await this.run.makeWorkspaces(count, made => {
            if (made === MADE_BEFORE_KILL) killed = killHolder(this);
        });
        await killed;
    },
);

When("the killed control process is back", STEP, async function(this: ProcessWorld) {
    const program = this.run.fleet.startControl(this.killedControl);
    await program.line("\"ready\"", WAIT_MS);
    await this.run.wait("its word of the holder", () => this.run.fleet.isControlReady(this.killedControl));
});

When(
    "the control holder is frozen until another has reported a usage window, and wakes",
    STEP,
    async function(this: ProcessWorld) {
        const { run } = this;
        await run.wait("the first usage window", async () => (await run.stats()).platform.usage.windows > 0);
        const frozen = await run.awaitHolder();
        run.fleet.controls[frozen].signal("SIGSTOP");
        await run.awaitHolder(frozen);
        const before = (await run.stats()).platform.usage.windows;
        await run.wait("the successor's window", async () => (await run.stats()).platform.usage.windows > before);
        run.fleet.controls[frozen].signal("SIGCONT");
        await run.wait("the end of its term", () => run.fleet.controls[frozen].stderr.includes("holder-term-ended"));
    },
);

When(
    "a control process that is not the holder is killed, loses its folder and is promoted again",
    STEP,
    async function(this: ProcessWorld) {
        const { fleet } = this.run;
        const holder = await this.run.awaitHolder();
        const lost = (holder + 1) % fleet.controls.length;
        await fleet.controls[lost].kill();
        await fleet.wipeControl(lost);
        const program = fleet.startControl(lost);
        await program.line("\"ready\"", WAIT_MS);
        await this.run.wait(
            "the promotion",
            () => fleet.controls.some(control => control.stderr.includes("learner-promoted")),
        );
    },
);

When(
    "{int} chats of {int} tokens stream over entry {int}",
    STEP,
    async function(this: ProcessWorld, chats: number, tokens: number, entry: number) {
        await Promise.all(Array.from({ length: chats }, () => this.run.openStream(entry - 1, tokens)));
    },
);

When("the process of entry {int} is stopped as planned", STEP, async function(this: ProcessWorld, entry: number) {
    this.exit = await this.run.fleet.entries[entry - 1].stop(WAIT_MS);
});

When("their key is withdrawn", STEP, async function(this: ProcessWorld) {
    await this.run.withdrawKey();
});

Then(
    "some callers had to send again, and each has an answer or a truthful \"unknown\"",
    STEP,
    async function(this: ProcessWorld) {
        const results = await this.run.finish();
        assert.ok(results.some(({ attempts }) => attempts > 1), "the kill came too late to be met by any caller");
        assertLastWords(this.run);
    },
);

Then("each request has an answer or a truthful \"unknown\"", STEP, async function(this: ProcessWorld) {
    await this.run.finish();
    assertLastWords(this.run);
    await assertTruthful(this.run);
});

Then("no call has run twice, and nothing refused has run", STEP, async function(this: ProcessWorld) {
    await assertTruthful(this.run);
});

Then("the usage windows are reported once, with what was answered", STEP, async function(this: ProcessWorld) {
    const results = await this.run.finish();
    const answered = results.filter(({ verdict }) => verdict === "answered").length;
    const read = async () => (await this.run.stats()).platform.usage;
    await this.run.wait(`${answered} requests on the bills`, async () => (await read()).requests >= answered);
    const { conflicting, doubledWindows, reversals, requests } = await read();
    assert.deepEqual({ conflicting, doubledWindows, reversals }, { conflicting: 0, doubledWindows: 0, reversals: 0 });
    // Each attempt whose answer was lost with an entry may be on a bill of its own: the caller sent it anew.
    const attempts = results.reduce((sum, result) => sum + result.attempts, 0);
    assert.ok(requests <= attempts, `${requests} billed, ${attempts} sent`);
});

Then("each accepted workspace is there with its key", STEP, async function(this: ProcessWorld) {
    const { api, accepted } = this.run;
    const workspaces = await api.ask(client => client.workspaces.query());
    const names = workspaces.map(({ id }) => String(id));
    assert.deepEqual(accepted.filter(name => !names.includes(name)), []);
    for (const name of accepted) {
        const keys = await api.ask(client => client.keys.query(name));
        assert.deepEqual(keys.map(({ id }) => String(id)), [name]);
    }
});

Then("it ends with the exit code {int}", function(this: ProcessWorld, code: number) {
    assert.deepEqual(this.exit, { code, signal: undefined });
});

Then("all streams came whole", STEP, async function(this: ProcessWorld) {
    for (const stream of this.run.streams) {
        const { outcome, text } = await stream.result;
        assert.deepEqual({ outcome, text }, { outcome: "answered", text: stream.expected });
    }
});

Then(
    "the streams end with the error {string} and the outcome {string}",
    STEP,
    async function(this: ProcessWorld, errorType: string, outcome: string) {
        for (const stream of this.run.streams) {
            const result = await stream.result;
            assert.deepEqual({ errorType: result.errorType, outcome: result.outcome }, { errorType, outcome });
        }
    },
);

Then("neither entry takes the key any more", STEP, async function(this: ProcessWorld) {
    for (const entry of this.run.fleet.entries.keys()) {
        const { status, errorType, outcome } = await this.run.sendChat(entry);
        assert.deepEqual({ status, errorType, outcome }, {
            status: 401,
            errorType: "key-unknown",
            outcome: "not-run",
        });
    }
});

Then("no upstream of the processes has seen a key", STEP, async function(this: ProcessWorld) {
    assert.deepEqual((await this.run.stats()).keys, { watchedKeys: 0, credentialHeaders: 0 });
});

/** Nobody is left without a last word, with a wrong answer, or with an answer that came twice. */
function assertLastWords({ results }: ProcessRun): void {
    const bad = results.filter(({ verdict }) => verdict === "lost" || verdict === "doubled");
    assert.deepEqual(bad, []);
}

async function assertTruthful(run: ProcessRun): Promise<void> {
    const { untruthful, doubledCalls } = await run.check();
    assert.deepEqual({ untruthful, doubledCalls }, { untruthful: [], doubledCalls: [] });
}
