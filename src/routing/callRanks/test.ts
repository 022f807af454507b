import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { makeCheckedDocument, makeRoute } from "../fixtures/index.js";
import { CallRanks } from "./index.js";

const WORKSPACES = [
    { workspace: "gold", keys: ["g"], tier: 0 },
    { workspace: "silver", keys: ["s"], tier: 1 },
    { workspace: "plain", keys: ["p"] },
];

function makeRanks(routeTiers: readonly number[], workspaces: readonly object[] = WORKSPACES): CallRanks {
    const routes = routeTiers.map(tier => makeRoute({ name: `r${tier}`, pathPrefix: `/r${tier}/`, tier }));
    return new CallRanks(makeCheckedDocument({ routes, workspaces }));
}

describe("CallRanks", () => {
    it("ranks calls of one workspace by the tiers of their routes", () => {
        const ranks = makeRanks([0, 1, 2]);
        assert.ok(ranks.find(0, 1) < ranks.find(1, 1));
        assert.ok(ranks.find(1, 1) < ranks.find(2, 1));
    });

    it("ranks any call of a more urgent workspace before all calls of a less urgent one", () => {
        const ranks = makeRanks([0, 1, 2]);
        assert.ok(ranks.find(2, 0) < ranks.find(0, 1));
    });

    it("ranks a call without a workspace tier as if its workspace had the tier of its route", () => {
        const ranks = makeRanks([0, 1, 2]);
        assert.equal(ranks.find(1), ranks.find(1, 1));
        assert.ok(ranks.find(2, 1) < ranks.find(2));
    });

    it("uses no more ranks than there are pairs of tiers", () => {
        assert.equal(makeRanks([0, 1, 2]).count, 7);
        assert.equal(makeRanks([5], []).count, 1);
        assert.equal(makeRanks([5], []).find(5), 0);
    });
});
