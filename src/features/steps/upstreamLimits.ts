import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { FleetWorld } from "../world/index.js";

const MS_PER_SECOND = 1_000;

/** Starts requests at equal intervals over a time span. */
async function startEvenly(
    world: FleetWorld,
    count: number,
    seconds: number,
    start: (index: number) => void,
): Promise<void> {
    for (let index = 0; index < count; index++) {
        start(index);
        await world.fleet.advance(seconds * MS_PER_SECOND / count);
    }
}

Given("an engine names a limit of {int} request(s) a second", function(this: FleetWorld, perSecond: number) {
    [...this.fleet.emulator.engines.values()][0].advertiseRequestLimit(perSecond);
});

Given("a service names a limit of {int} request(s) a second", function(this: FleetWorld, perSecond: number) {
    [...this.fleet.emulator.services.values()][0].advertiseRequestLimit(perSecond);
});

Given("an engine turns all requests away for {int} seconds at a time", function(this: FleetWorld, seconds: number) {
    [...this.fleet.emulator.engines.values()][0].turnAway(String(seconds));
});

Given("each service turns all requests away for {int} seconds at a time", function(this: FleetWorld, seconds: number) {
    for (const service of this.fleet.emulator.services.values()) service.turnAway(String(seconds));
});

When(
    "{int} chats of {int} tokens are spread over all entries within {int} seconds",
    async function(this: FleetWorld, count: number, tokens: number, seconds: number) {
        const { length } = this.fleet.entryNumbers();
        await startEvenly(this, count, seconds, index => this.sendChat("hotel", tokens, 1 + index % length));
        await this.chatResults();
    },
);

When(
    "{int} orders are spread over all entries within {int} seconds",
    async function(this: FleetWorld, count: number, seconds: number) {
        const { length } = this.fleet.entryNumbers();
        await startEvenly(this, count, seconds, index => {
            this.sendOrder("hotel", `order ${index}`, `key-${index}`, 1 + index % length);
        });
        await this.orderResults();
    },
);

Then("that engine got at most {int} requests", function(this: FleetWorld, maxCount: number) {
    const received = [...this.fleet.emulator.engines.values()][0].requestsSinceStatement;
    assert.ok(received > 0 && received <= maxCount, `${received} requests`);
});

Then("that service got at most {int} requests", function(this: FleetWorld, maxCount: number) {
    const received = [...this.fleet.emulator.services.values()][0].requestsSinceStatement;
    assert.ok(received > 0 && received <= maxCount, `${received} requests`);
});

Then("the services got at most {int} requests together", function(this: FleetWorld, maxCount: number) {
    const counts = [...this.fleet.emulator.services.values()].map(service => service.requestsSinceStatement);
    const received = counts.reduce((sum, count) => sum + count, 0);
    assert.ok(received > 0 && received <= maxCount, `${received} requests`);
});
