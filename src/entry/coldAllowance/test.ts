import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolId } from "../../ids/index.js";
import { ColdAllowance } from "./index.js";

const POOL = "draft" as PoolId;

describe("ColdAllowance", () => {
    const spec = { durationMs: 3_000, requestsPerSecond: 9.5 };

    it("is what an upstream bears, at the host that decides for all", () => {
        const allowance = new ColdAllowance({ findSpec: () => spec, mayDecide: () => true });
        assert.deepEqual([allowance.rateOf(POOL), allowance.durationOf(POOL)], [9, 3_000]);
    });

    it("lets one request a second through where upstreams bear less than that", () => {
        const slow = { durationMs: 3_000, requestsPerSecond: 0.4 };
        assert.equal(new ColdAllowance({ findSpec: () => slow, mayDecide: () => true }).rateOf(POOL), 1);
    });

    it("is nothing at a host that does not decide", () => {
        // Guards against many hosts that are cut off and each send as much as an upstream bears.
        assert.equal(new ColdAllowance({ findSpec: () => spec, mayDecide: () => false }).rateOf(POOL), 0);
    });

    it("has no bound where upstreams are never cold", () => {
        const allowance = new ColdAllowance({ findSpec: () => undefined, mayDecide: () => false });
        assert.deepEqual([allowance.rateOf(POOL), allowance.durationOf(POOL)], [Number.POSITIVE_INFINITY, 0]);
    });
});
