import fc from "fast-check";
import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { CallerBudget, CallerHolding } from "./index.js";

const LIMIT_BYTES = 1_024 * 1_024;
const LARGE_BYTES = 256 * 1_024;
const SMALL_BYTES = 32 * 1_024;
const STALLED_MS = 1_000;

describe("CallerBudget", () => {
    let now: number;
    let budget: CallerBudget;
    let evicted: string[];

    beforeEach(() => {
        now = 0;
        budget = new CallerBudget({ bytes: LIMIT_BYTES }, () => now);
        evicted = [];
    });

    function open(bytes = 0): CallerHolding {
        const holding = budget.open();
        assert.ok(holding.tryGrow(bytes));
        return holding;
    }

    /** Opens a holding that waits for a body, and gives everything back when it is evicted. */
    function openWaiting(name: string, bytes: number): CallerHolding {
        const holding = open(bytes);
        holding.awaitBody(() => {
            evicted.push(name);
            holding.shrink(holding.bytes);
        });
        return holding;
    }

    describe("room", () => {
        it("is bounded for all holdings together", () => {
            // Failure: each body is within its limit, and all together outgrow the host.
            const holdings = [open(LARGE_BYTES), open(LARGE_BYTES), open(LARGE_BYTES)];
            assert.equal(open().tryGrow(LARGE_BYTES), false);
            holdings[0].shrink(LARGE_BYTES);
            assert.equal(open().tryGrow(LARGE_BYTES), true);
        });

        it("is left to small holdings where large ones have taken theirs", () => {
            // Failure: a crowd of large bodies takes the room of ordinary requests.
            for (let count = 0; count < 3; count++) open(LARGE_BYTES);
            for (let count = 0; count < LARGE_BYTES / SMALL_BYTES; count++) open(SMALL_BYTES);
            assert.equal(open().tryGrow(1), false);
        });

        it("is left to connections with one request where others have several", () => {
            // Failure: a crowd that pipelines small requests takes the room of ordinary ones.
            const crowd = Array.from({ length: 8 }, () => budget.open());
            for (let count = 0; count < 4; count++) for (const holding of crowd) holding.tryGrow(SMALL_BYTES);
            assert.equal(open().tryGrow(SMALL_BYTES), true);
        });

        it("does not let a holding grow beyond its share in small steps", () => {
            // Failure: a body in small chunks takes the room that is left to small ones.
            for (let count = 0; count < 3; count++) open(LARGE_BYTES);
            const growing = open(4 * SMALL_BYTES);
            assert.equal(growing.tryGrow(1), false);
        });

        it("comes back when a connection closes", () => {
            // Failure: a caller that leaves keeps its room, and in the end everybody is refused.
            const holding = open(LARGE_BYTES);
            holding.close();
            holding.close();
            holding.shrink(LARGE_BYTES);
            assert.equal(budget.bytes, 0);
            assert.equal(holding.tryGrow(1), false);
        });
    });

    describe("callers that send nothing", () => {
        it("give way once they are stalled, the largest first", () => {
            // Failure: bodies that stop short of their end keep others out for as long as they like.
            openWaiting("small", SMALL_BYTES);
            openWaiting("larger", 2 * LARGE_BYTES);
            openWaiting("large", LARGE_BYTES / 2);
            now += STALLED_MS;
            assert.ok(open().tryGrow(LARGE_BYTES));
            assert.deepEqual(evicted, ["larger"]);
        });

        it("stay while they send, and while nothing is waited for", () => {
            // Failure: a request that has come whole, or whose body is arriving, is refused for the sake of another.
            const arriving = openWaiting("arriving", LARGE_BYTES);
            const whole = openWaiting("whole", LARGE_BYTES);
            now += STALLED_MS;
            arriving.awaitBody(() => evicted.push("arriving"));
            whole.awaitNothing();
            assert.equal(open().tryGrow(2 * LARGE_BYTES), false);
            assert.deepEqual(evicted, []);
        });

        it("stay while nobody needs their room", () => {
            // Failure: a slow caller is refused in calm.
            openWaiting("slow", LARGE_BYTES);
            now += 100 * STALLED_MS;
            open(LARGE_BYTES);
            assert.deepEqual(evicted, []);
        });

        it("do not give way to themselves", () => {
            // Failure: a body that grows after a pause is evicted for its own sake, and what it takes is counted for nobody.
            const growing = openWaiting("growing", 2 * LARGE_BYTES);
            now += STALLED_MS;
            assert.equal(growing.tryGrow(2 * LARGE_BYTES), false);
            assert.deepEqual(evicted, []);
        });
    });

    it("counts what its holdings hold, whatever they do", () => {
        // Failure: a path on which bytes are given back twice, or never.
        const step = fc.record({ holding: fc.nat(4), bytes: fc.integer({ min: -SMALL_BYTES, max: LARGE_BYTES }) });
        fc.assert(fc.property(fc.array(step), steps => {
            const tested = new CallerBudget({ bytes: LIMIT_BYTES }, () => 0);
            const holdings = Array.from({ length: 5 }, () => tested.open());
            for (const { holding: number, bytes } of steps) {
                const holding = holdings[number];
                if (bytes >= 0) holding.tryGrow(bytes);
                else holding.shrink(Math.min(-bytes, holding.bytes));
                assert.equal(tested.bytes, holdings.reduce((sum, held) => sum + held.bytes, 0));
                assert.ok(tested.bytes <= LIMIT_BYTES);
            }
            for (const holding of holdings) holding.close();
            assert.equal(tested.bytes, 0);
        }));
    });
});
