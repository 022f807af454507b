import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { drainControl } from "./index.js";

const QUEUES_DONE = { drain: () => Promise.resolve(true) };

describe("drainControl", () => {
    it("hands over the queues and the place in the control log", async () => {
        const calls: string[] = [];
        const queues = { drain: async (graceMs: number) => calls.push(`queues ${graceMs}`) > 0 };
        const control = { leave: async () => calls.push("leave") > 0 };
        assert.equal(await drainControl(control, queues), true);
        assert.deepEqual(calls.sort(), ["leave", "queues 0"]);
    });

    it("reports what was not handed over in time", async () => {
        assert.equal(await drainControl({ leave: () => Promise.resolve(false) }, QUEUES_DONE), false);
        assert.equal(await drainControl({ leave: () => Promise.resolve(true) }, undefined), true);
    });
});
