import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { checkRepeats, findWorstRepeats } from "./index.js";

const LIMITS = { ratio: 0.2, windowMs: 10_000, slack: 3 };

function arrive(request: string, ...times: number[]): { request: string; at: number; }[] {
    return times.map(at => ({ request, at }));
}

describe("checkRepeats", () => {
    describe("the window with the most retries", () => {
        it("counts all arrivals of a request but its first", () => {
            const { repeats, allowed } = findWorstRepeats(arrive("a", 0, 10, 20), [0], LIMITS);
            assert.deepEqual({ repeats, allowed }, { repeats: 2, allowed: 3.2 });
        });

        it("holds what arrives within its length and no more", () => {
            const arrivals = [...arrive("a", 0, 1_000, 10_999), ...arrive("b", 0, 11_000)];
            assert.equal(findWorstRepeats(arrivals, [], LIMITS).repeats, 2);
        });

        it("allows retries for the requests of the window, of the one before or of the one half a window before", () => {
            const arrivals = arrive("a", 0, 12_000);
            const allowedFor = (sentAt: number): number =>
                findWorstRepeats(arrivals, Array<number>(5).fill(sentAt), { ...LIMITS, slack: 0 }).allowed;
            assert.deepEqual([1_000, 2_000, 7_000, 21_000, 22_000].map(allowedFor), [0, 1, 1, 1, 0]);
        });
    });

    it("fails where a window has more retries than its limits allow", () => {
        const arrivals = arrive("a", 0, 1, 2, 3, 4);
        assert.throws(() => checkRepeats(arrivals, [0], LIMITS), /4 retries reach the pool/);
    });
});
