import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { PathLoss } from "../../ports/index.js";
import { FleetWorld } from "../world/index.js";
import { EMULATOR_HOST, entryHost } from "../world/memoryFleet.js";

When(
    "entry {int} loses its paths to upstreams like this: {word}",
    function(this: FleetWorld, entry: number, loss: PathLoss) {
        this.fleet.fabric.losePath(entryHost(entry - 1), EMULATOR_HOST, loss);
    },
);

Then("the last order is answered", async function(this: FleetWorld) {
    const results = await this.orderResults();
    assert.equal(results.at(-1)!.status, 200);
});

Then("no request is quarantined", function(this: FleetWorld) {
    for (const control of this.fleet.controls) assert.deepEqual(control!.state.quarantine.list(), []);
});
