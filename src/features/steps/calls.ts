import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { digestBody, ServiceFault } from "../../emulator/index.js";
import { CallerResult } from "../world/caller.js";
import { FleetWorld } from "../world/index.js";

const RESEND_INTERVAL_MS = 1_000;
const MAX_RESENDS = 60;

function addFault(world: FleetWorld, fault: ServiceFault): void {
    for (const service of world.fleet.emulator.services.values()) service.addFaults(fault);
}

function makeFault(kind: string): ServiceFault {
    if (kind === "crossed") return { kind, id: "request-of-somebody-else" };
    if (kind === "unavailable") return { kind: "failed", status: 503 };
    return { kind: kind as "lost" | "silent" };
}

Given("each service's next answer is late by {int} ms", function(this: FleetWorld, delayMs: number) {
    addFault(this, { kind: "late", delayMs });
});

Given("each service's next answer is {word}", function(this: FleetWorld, kind: string) {
    addFault(this, makeFault(kind));
});

Given("the services' hosts refuse connections", async function(this: FleetWorld) {
    const services = [...this.fleet.emulator.services.values()];
    await this.settle(Promise.all(services.map(service => service.crash())));
});

When(
    "{string} starts the order {string} with the idempotency key {string} on entry {int}",
    function(this: FleetWorld, workspace: string, text: string, key: string, entry: number) {
        this.sendOrder(workspace, text, key, entry);
    },
);

When(
    "{string} sends the order {string} without an idempotency key to entry {int}",
    async function(this: FleetWorld, workspace: string, text: string, entry: number) {
        await this.settle(this.sendOrder(workspace, text, undefined, entry).result);
    },
);

When(
    "{string} sends the order {string} with the idempotency key {string} to entry {int} until it has a last word",
    async function(this: FleetWorld, workspace: string, text: string, key: string, entry: number) {
        for (let sent = 0; sent < MAX_RESENDS; sent++) {
            const result = await this.settle(this.sendOrder(workspace, text, key, entry).result);
            if (result.errorType !== "still-running") return;
            await this.fleet.advance(RESEND_INTERVAL_MS);
        }
    },
);

When("entry {int} is killed", async function(this: FleetWorld, entry: number) {
    await this.settle(this.fleet.killEntry(entry - 1));
});

When("two control processes are killed", async function(this: FleetWorld) {
    await this.settle(this.fleet.killControl(0));
    await this.settle(this.fleet.killControl(1));
});

async function awaitLastOrder(world: FleetWorld): Promise<CallerResult> {
    return (await world.orderResults()).at(-1)!;
}

Then(
    "the last order is refused with {int} {string} and the outcome {string}",
    async function(this: FleetWorld, status: number, errorType: string, outcome: string) {
        const result = await awaitLastOrder(this);
        assert.deepEqual(
            { status: result.status, errorType: result.errorType, outcome: result.outcome },
            { status, errorType, outcome },
        );
    },
);

Then("the last order has the outcome {string}", async function(this: FleetWorld, outcome: string) {
    assert.equal((await awaitLastOrder(this)).outcome, outcome);
});

Then("the order {string} has never run", function(this: FleetWorld, text: string) {
    assert.ok(!this.fleet.emulator.runLedger.has("orders", digestBody(Buffer.from(text))));
});
