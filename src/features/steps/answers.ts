import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { EmulatedEngine, EngineFault } from "../../emulator/index.js";
import { FleetWorld } from "../world/index.js";

const POLL_INTERVAL_MS = 5;
const TOKENS_TIMEOUT_MS = 60_000;

function listEngines(world: FleetWorld): EmulatedEngine[] {
    return [...world.fleet.emulator.engines.values()];
}

function addFault(world: FleetWorld, fault: EngineFault): void {
    for (const engine of listEngines(world)) engine.faults.add(fault);
}

When(
    "{string} starts a chat of {int} tokens on entry {int}",
    function(this: FleetWorld, workspace: string, tokens: number, entry: number) {
        this.sendChat(workspace, tokens, entry);
    },
);

When("{int} tokens have come", async function(this: FleetWorld, tokens: number) {
    const chat = this.chats.at(-1)!;
    for (let elapsedMs = 0; elapsedMs < TOKENS_TIMEOUT_MS; elapsedMs += POLL_INTERVAL_MS) {
        if (chat.received.split(" ").length > tokens) return;
        await this.fleet.advance(POLL_INTERVAL_MS);
    }
    assert.fail(`only "${chat.received}" was received`);
});

When("the engine that runs it crashes", async function(this: FleetWorld) {
    const engine = listEngines(this).find(candidate => candidate.stats().running > 0)!;
    await this.settle(engine.crash());
});

When("all engines crash", async function(this: FleetWorld) {
    await this.settle(Promise.all(listEngines(this).map(engine => engine.crash())));
});

Given(
    "each engine's next answer is {string} after {int} tokens",
    function(this: FleetWorld, kind: "cut" | "silent" | "unfinished", afterTokens: number) {
        addFault(this, { kind, afterTokens });
    },
);

Given("each engine's next answer is that of another request", function(this: FleetWorld) {
    addFault(this, { kind: "crossed", id: "request-of-somebody-else" });
});

Given("the engines are busy with chats of {string}", async function(this: FleetWorld, workspace: string) {
    const slots = listEngines(this).length * 16;
    for (let sent = 0; sent < slots; sent++) this.sendChat(workspace, 150, 1 + sent % 2, { className: "sheet" });
    await this.fleet.advance(1_000);
});

When(
    "{int} chats of {int} tokens are spread over all entries",
    function(this: FleetWorld, count: number, tokens: number) {
        this.sendChatsRoundRobin(count, tokens);
    },
);

When(
    "{int} chats of {int} tokens are started over all entries",
    function(this: FleetWorld, count: number, tokens: number) {
        this.sendChatsRoundRobin(count, tokens);
    },
);

When("{int} ms pass", async function(this: FleetWorld, ms: number) {
    await this.fleet.advance(ms);
});

Then("the first chat is answered whole", async function(this: FleetWorld) {
    const [chat] = this.chats;
    const result = await this.settle(chat.result);
    assert.deepEqual({ outcome: result.outcome, text: result.text }, { outcome: "answered", text: chat.expected });
});

Then("each chat is answered whole, or was refused as {string}", async function(this: FleetWorld, outcome: string) {
    const results = await this.chatResults();
    for (const [index, result] of results.entries()) {
        const { expected } = this.chats[index];
        const isWhole = result.outcome === "answered" && result.text === expected;
        assert.ok(isWhole || (result.outcome === outcome && result.text === ""), JSON.stringify({ index, ...result }));
    }
});

Then("the last {int} chats are answered whole", async function(this: FleetWorld, count: number) {
    const results = await this.chatResults();
    for (const [index, result] of results.entries()) {
        if (index < results.length - count) continue;
        assert.deepEqual(
            { outcome: result.outcome, text: result.text },
            { outcome: "answered", text: this.chats[index].expected },
        );
    }
});

Then(
    "the last chat ends with the error {string} and the outcome {string}",
    async function(this: FleetWorld, errorType: string, outcome: string) {
        const chat = this.chats.at(-1)!;
        const result = await this.settle(chat.result);
        assert.deepEqual({ errorType: result.errorType, outcome: result.outcome }, { errorType, outcome });
        assert.ok(chat.expected.startsWith(result.text), "the received text is not a prefix of the expected answer");
    },
);

Then("the longest pause was at most {int} ms", async function(this: FleetWorld, limitMs: number) {
    await this.chatResults();
    const { arrivals } = this.chats.at(-1)!;
    const pauses = arrivals.slice(1).map((at, index) => at - arrivals[index]);
    assert.ok(Math.max(...pauses) <= limitMs, `${Math.max(...pauses)} ms`);
});
