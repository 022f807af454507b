import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { CallDurations } from "./index.js";

const MAX_ROUTES = 1_000;

describe("CallDurations", () => {
    let durations: CallDurations;

    function record(route: string, first: number, last: number): void {
        for (let ms = first; ms <= last; ms++) durations.record(route, ms);
    }

    beforeEach(() => {
        durations = new CallDurations();
    });

    it("has no estimate for a route of which few calls have ended", () => {
        record("orders", 1, 7);
        assert.equal(durations.usualMs("orders"), undefined);
    });

    it("estimates by the slow calls of a route, not by their mean", () => {
        // Failure: a stopping host begins long calls and cuts them, as most calls of their route are short.
        record("orders", 1, 20);
        assert.equal(durations.usualMs("orders"), 18);
    });

    it("follows the latest calls", () => {
        record("orders", 1, 100);
        assert.equal(durations.usualMs("orders"), 94);
        record("orders", 1, 64);
        assert.equal(durations.usualMs("orders"), 58);
    });

    it("forgets the routes whose calls ended longest ago", () => {
        // Failure: memory grows with each route that was ever in a document.
        for (let number = 0; number <= MAX_ROUTES; number++) record(`route-${number}`, 1, 8);
        assert.equal(durations.size, MAX_ROUTES);
        assert.equal(durations.usualMs("route-0"), undefined);
        assert.equal(durations.usualMs(`route-${MAX_ROUTES}`), 8);
    });
});
