import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { FleetWorld } from "../world/index.js";

/** Longer than the last attempts of a killed process's tasks, which an in-memory kill does not end. */
const DOWN_MS = 5_000;
const SETTLE_MS = 1_000;

When("all hosts lose power at once and come back", async function(this: FleetWorld) {
    const { fleet } = this;
    const hosts = fleet.allHosts();
    for (const host of hosts) fleet.fabric.isolate(host, hosts, true);
    for (const number of fleet.entryNumbers()) void fleet.killEntry(number);
    for (const number of fleet.controlNumbers()) void fleet.killControl(number);
    await fleet.advance(DOWN_MS);
    for (const host of hosts) fleet.fabric.isolate(host, hosts, false);
    await fleet.run(Promise.all(fleet.controlNumbers().map(number => fleet.startControl(number))));
    await fleet.run(Promise.all(fleet.entryNumbers().map(number => fleet.startEntry(number))));
    await fleet.advance(SETTLE_MS);
});

Then("the platform was billed for {int} chats", function(this: FleetWorld, count: number) {
    const lines = this.fleet.emulator.platform.usage.received.flatMap(({ report }) => report.lines);
    assert.equal(lines.reduce((sum, line) => sum + line.requests, 0), count);
});
