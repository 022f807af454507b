import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { checkDocument } from "../../../routing/index.js";
import { drawStopPlan, makeFirstDocument } from "./index.js";

const SEEDS = Array.from({ length: 30 }, (_, number) => number + 1);

describe("drawStopPlan", () => {
    it("draws the same plan from the same seed", () => {
        assert.deepEqual(drawStopPlan(7, 1), drawStopPlan(7, 1));
        assert.notDeepEqual(drawStopPlan(7, 1), drawStopPlan(8, 1));
    });

    it("draws plans with and without silence, SIGHUP and stops of control processes", () => {
        const plans = SEEDS.map(seed => drawStopPlan(seed, 1));
        assert.ok(plans.some(({ silences }) => silences.length === 0));
        assert.ok(plans.some(({ silences }) => silences.length > 2));
        assert.ok(plans.some(({ controlStops }) => controlStops.length > 0));
        assert.ok(plans.some(({ signals }) => signals.some(({ signal }) => signal === "SIGHUP")));
        assert.ok(plans.some(({ signals }) => signals.every(({ signal }) => signal === "SIGTERM")));
    });

    it("draws valid documents with rising versions", () => {
        for (const seed of SEEDS) {
            const documents = [makeFirstDocument(), ...drawStopPlan(seed, 1).documents.map(({ document }) => document)];
            assert.deepEqual(documents.map(({ version }) => version), documents.map((_, number) => number + 1));
            assert.ok(documents.every(document => checkDocument(document).isRight()));
        }
    });

    it("has as many processes as its size asks for", () => {
        assert.equal(drawStopPlan(1, 3).entries, 3 * drawStopPlan(1, 1).entries);
        assert.equal(drawStopPlan(1, 3).upstreams.length, 3 * drawStopPlan(1, 1).upstreams.length);
    });
});
