import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { digestBody } from "../../emulator/index.js";
import { FleetWorld } from "../world/index.js";

Given(
    "a fleet of {int} entries, {int} control processes, {int} engines and {int} services",
    async function(this: FleetWorld, entries: number, controls: number, engines: number, services: number) {
        await this.startFleet({ entries, controls, emulator: { engines, services } });
    },
);

Given("the workspaces {string} and {string}", async function(this: FleetWorld, first: string, second: string) {
    await this.deployWorkspaces([first, second]);
});

When(
    "{string} sends a chat of {int} tokens to entry {int}",
    async function(this: FleetWorld, workspace: string, tokens: number, entry: number) {
        const chat = this.sendChat(workspace, tokens, entry);
        await this.settle(chat.result);
    },
);

When(
    "{string} sends the order {string} with the idempotency key {string} to entry {int}",
    async function(this: FleetWorld, workspace: string, text: string, key: string, entry: number) {
        await this.settle(this.sendOrder(workspace, text, key, entry).result);
    },
);

When("the usage window ends", async function(this: FleetWorld) {
    await this.fleet.advance(this.fleet.layout.windowMs + 5_000);
});

Then("each chat is answered whole", async function(this: FleetWorld) {
    const results = await this.chatResults();
    for (const [index, { expected }] of this.chats.entries()) {
        assert.deepEqual(
            { status: results[index].status, outcome: results[index].outcome, text: results[index].text },
            { status: 200, outcome: "answered", text: expected },
        );
    }
});

Then("no upstream has seen a key", function(this: FleetWorld) {
    const { watchedKeys, credentialHeaders } = this.fleet.emulator.stats().keys;
    assert.deepEqual({ watchedKeys, credentialHeaders }, { watchedKeys: 0, credentialHeaders: 0 });
});

Then("both orders are answered alike", async function(this: FleetWorld) {
    const [first, second] = await this.orderResults();
    assert.equal(first.status, 200);
    assert.equal(second.text, first.text);
    assert.ok(second.replayed);
});

Then("the order {string} has run once", function(this: FleetWorld, text: string) {
    const { runLedger: ledger } = this.fleet.emulator;
    const name = `orders ${digestBody(Buffer.from(text))}`;
    assert.ok(ledger.has("orders", digestBody(Buffer.from(text))));
    assert.ok(!ledger.doubled().includes(name));
});

Then("the platform has one report for each window", function(this: FleetWorld) {
    const { conflicting, doubledWindows, reports } = this.fleet.emulator.platform.usage.stats();
    assert.ok(reports > 0);
    assert.deepEqual({ conflicting, doubledWindows }, { conflicting: 0, doubledWindows: 0 });
});

Then(
    "the reports give {string} {int} request(s) and {int} token(s)",
    function(this: FleetWorld, workspace: string, requests: number, tokens: number) {
        const lines = this.fleet.emulator.platform.usage.received
            .flatMap(({ report }) => report.lines)
            .filter(line => line.workspace === workspace);
        const sum = (pick: (line: typeof lines[number]) => number): number =>
            lines.reduce((total, line) => total + pick(line), 0);
        assert.deepEqual(
            { requests: sum(line => line.requests), tokens: sum(line => line.completion_tokens) },
            { requests, tokens },
        );
    },
);

Then(
    "the last chat is refused with {int} {string} and the outcome {string}",
    async function(this: FleetWorld, status: number, errorType: string, outcome: string) {
        const result = (await this.chatResults()).at(-1)!;
        assert.deepEqual(
            { status: result.status, errorType: result.errorType, outcome: result.outcome },
            { status, errorType, outcome },
        );
    },
);
