import { Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { FleetWorld } from "../world/index.js";

const MS_PER_SECOND = 1_000;

Then("no entry's view goes stale within {int} seconds", async function(this: FleetWorld, seconds: number) {
    const { fleet } = this;
    for (let ms = 0; ms < seconds * MS_PER_SECOND; ms++) {
        await fleet.advance(1);
        for (const entry of fleet.entries) assert.ok(entry!.control.isFresh(), `stale after ${ms} ms`);
    }
});
