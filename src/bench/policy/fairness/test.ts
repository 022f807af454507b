import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { fairShares } from "./index.js";

describe("fairShares", () => {
    it("caps shares at the requested tokens and divides the rest by weight", () => {
        const shares = fairShares([
            { weight: 1, requestedTokens: 10, servedTokens: 10 },
            { weight: 1, requestedTokens: 100, servedTokens: 70 },
            { weight: 2, requestedTokens: 100, servedTokens: 40 },
        ]);
        assert.deepEqual(shares.map(Math.round), [10, 37, 73]);
    });

    it("returns the requested tokens when all of them were served", () => {
        assert.deepEqual(
            fairShares([{ weight: 1, requestedTokens: 5, servedTokens: 5 }, {
                weight: 9,
                requestedTokens: 3,
                servedTokens: 3,
            }]),
            [5, 3],
        );
    });
});
