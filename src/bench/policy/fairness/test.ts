import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { fairShares } from "./index.js";

describe("fairShares", () => {
    it("gives nobody more than asked for, and the rest by weight", () => {
        const shares = fairShares([
            { weight: 1, asked: 10, served: 10 },
            { weight: 1, asked: 100, served: 70 },
            { weight: 2, asked: 100, served: 40 },
        ]);
        assert.deepEqual(shares.map(Math.round), [10, 37, 73]);
    });

    it("is what was asked for when all of it was served", () => {
        assert.deepEqual(fairShares([{ weight: 1, asked: 5, served: 5 }, { weight: 9, asked: 3, served: 3 }]), [5, 3]);
    });
});
