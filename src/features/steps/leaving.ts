import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { PoolId } from "../../ids/index.js";
import { FleetWorld } from "../world/index.js";

const CHECK_INTERVAL_MS = 10;

When("an engine says that it leaves", function(this: FleetWorld) {
    [...this.fleet.emulator.engines.values()][0].leave();
});

When("an engine states only in its responses that it leaves", function(this: FleetWorld) {
    [...this.fleet.emulator.engines.values()][0].stateDeparture();
});

Then("that engine gets none of {int} further chats", async function(this: FleetWorld, count: number) {
    const [engine] = this.fleet.emulator.engines.values();
    const before = engine.requestsSinceStatement;
    assert.ok(before > 0);
    const { length } = this.fleet.entryNumbers();
    for (let sent = 0; sent < count; sent++) this.sendChat("hotel", 10, 1 + sent % length);
    await this.chatResults();
    assert.equal(engine.requestsSinceStatement, before);
});

When("an engine is reclaimed with {int} ms notice", function(this: FleetWorld, noticeMs: number) {
    [...this.fleet.emulator.engines.values()][0].reclaim(noticeMs);
});

Then("the leaving engine got none of them", async function(this: FleetWorld) {
    await this.chatResults();
    assert.equal([...this.fleet.emulator.engines.values()][0].stats().lateRequests, 0);
});

When("entry {int} is stopped as planned", async function(this: FleetWorld, entry: number) {
    await this.fleet.advance(300);
    this.stopResults.push(await this.settle(this.fleet.stopEntry(entry - 1)));
});

Then("the stop of entry {int} was whole", function(this: FleetWorld, _entry: number) {
    assert.deepEqual(this.stopResults, [true]);
});

function findQueueOwner(world: FleetWorld): number {
    const { entries } = world.fleet;
    const owner = entries.find(entry => entry)!.dispatcher.ownerOf("draft" as PoolId);
    return entries.findIndex((_, number) => owner === `entry-${number}`);
}

function sendToOtherEntries(world: FleetWorld, count: number, tokens: number, className: string): void {
    const owner = findQueueOwner(world);
    const others = world.fleet.entryNumbers().filter(number => number !== owner && world.fleet.entries[number]);
    for (let sent = 0; sent < count; sent++) {
        world.sendChat("hotel", tokens, others[sent % others.length] + 1, { className });
    }
}

Given(
    "{int} chats of {int} tokens are started on entries that do not own the queue",
    function(this: FleetWorld, count: number, tokens: number) {
        sendToOtherEntries(this, count, tokens, "summary");
    },
);

Given(
    "{int} patient chats of {int} tokens are started on entries that do not own the queue",
    function(this: FleetWorld, count: number, tokens: number) {
        sendToOtherEntries(this, count, tokens, "bulk");
    },
);

When("the owner of the queue is stopped as planned", async function(this: FleetWorld) {
    this.stopResults.push(await this.settle(this.fleet.stopEntry(findQueueOwner(this))));
});

When("the owner of the queue is killed", async function(this: FleetWorld) {
    await this.settle(this.fleet.killEntry(findQueueOwner(this)));
});

When("the upstreams' announcements are lost from now on for {int} ms", function(this: FleetWorld, ms: number) {
    const engines = [...this.fleet.emulator.engines.values()];
    for (const engine of engines) engine.setMuted(true);
    this.fleet.clock.after(ms, () => {
        for (const engine of engines) engine.setMuted(false);
    });
});

Then(
    "no engine has more requests than slots within the next {int} ms",
    async function(this: FleetWorld, ms: number) {
        for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += CHECK_INTERVAL_MS) {
            await this.fleet.advance(CHECK_INTERVAL_MS);
            for (const { id, queued } of this.fleet.emulator.stats().engines) {
                assert.equal(queued, 0, `${id} after ${elapsedMs} ms`);
            }
        }
    },
);

When("chats keep coming while the entries are restarted one after the other", async function(this: FleetWorld) {
    const restartAll = async (): Promise<void> => {
        for (const number of this.fleet.entryNumbers()) {
            this.stopResults.push(await this.fleet.stopEntry(number));
            await this.fleet.startEntry(number);
            await this.fleet.clock.sleep(1_000);
        }
    };
    await this.sendChatsDuring(restartAll());
});

Then("each restart was whole", function(this: FleetWorld) {
    assert.deepEqual(this.stopResults, this.fleet.entryNumbers().map(() => true));
});
