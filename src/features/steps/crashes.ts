import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { FleetWorld } from "../world/index.js";

/** Longer than the entries need to exchange the report of a crash. */
const SEND_INTERVAL_MS = 500;
const CRASHING_PROMPT = "a sheet that no engine survives [crash]";
const CRASHING_ORDER = "{\"roasts\":\"one that no service survives [crash]\"}";

/** An emulated engine or service. */
interface UpstreamWithStats {
    stats(): { readonly state: string; };
}

function countCrashed(upstreams: Iterable<UpstreamWithStats>): number {
    return [...upstreams].filter(upstream => upstream.stats().state === "gone").length;
}

When(
    "{string} sends {int} times the same chat that crashes its engine, to each entry in turn",
    async function(this: FleetWorld, workspace: string, times: number) {
        for (let time = 0; time < times; time++) {
            const chat = this.sendChat(workspace, 1, 1 + time % 2, { prompt: CRASHING_PROMPT });
            await this.settle(chat.result);
            await this.fleet.advance(SEND_INTERVAL_MS);
        }
    },
);

When(
    "{string} sends {int} times the same order that crashes its service, each under a key of its own",
    async function(this: FleetWorld, workspace: string, times: number) {
        for (let time = 0; time < times; time++) {
            const order = this.sendOrder(workspace, CRASHING_ORDER, `key-${time}`, 1 + time % 2);
            await this.settle(order.result);
            await this.fleet.advance(SEND_INTERVAL_MS);
        }
    },
);

Then("at most {int} engines have crashed", function(this: FleetWorld, maxCount: number) {
    const crashed = countCrashed(this.fleet.emulator.engines.values());
    assert.ok(crashed > 0 && crashed <= maxCount, `${crashed} crashed`);
});

Then("at most {int} services have crashed", function(this: FleetWorld, maxCount: number) {
    const crashed = countCrashed(this.fleet.emulator.services.values());
    assert.ok(crashed > 0 && crashed <= maxCount, `${crashed} crashed`);
});

Then(
    "the last chat is refused with the error {string} and the outcome {string}",
    async function(this: FleetWorld, errorType: string, outcome: string) {
        const result = await this.settle(this.chats.at(-1)!.result);
        assert.deepEqual({ errorType: result.errorType, outcome: result.outcome }, { errorType, outcome });
    },
);

Then(
    "the last order is refused with the error {string} and the outcome {string}",
    async function(this: FleetWorld, errorType: string, outcome: string) {
        const result = await this.settle(this.orders.at(-1)!.result);
        assert.deepEqual({ errorType: result.errorType, outcome: result.outcome }, { errorType, outcome });
    },
);
