import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { FleetWorld } from "../world/index.js";

When("an engine says that it leaves", function(this: FleetWorld) {
    [...this.fleet.standIns.engines.values()][0].leave();
});

When("an engine is reclaimed with {int} ms notice", function(this: FleetWorld, noticeMs: number) {
    [...this.fleet.standIns.engines.values()][0].reclaim(noticeMs);
});

Then("the leaving engine got none of them", async function(this: FleetWorld) {
    await this.chatResults();
    assert.equal([...this.fleet.standIns.engines.values()][0].stats().lateRequests, 0);
});

When("entry {int} is stopped as planned", async function(this: FleetWorld, entry: number) {
    await this.fleet.pass(300);
    this.stops.push(await this.settle(this.fleet.stopEntry(entry - 1)));
});

Then("the stop of entry {int} was whole", function(this: FleetWorld, _entry: number) {
    assert.deepEqual(this.stops, [true]);
});

When("chats keep coming while the entries are restarted one after the other", async function(this: FleetWorld) {
    const restartAll = async (): Promise<void> => {
        for (const number of this.fleet.entryNumbers()) {
            this.stops.push(await this.fleet.stopEntry(number));
            await this.fleet.startEntry(number);
            await this.fleet.clock.sleep(1_000);
        }
    };
    await this.sendChatsDuring(restartAll());
});

Then("each restart was whole", function(this: FleetWorld) {
    assert.deepEqual(this.stops, this.fleet.entryNumbers().map(() => true));
});
