import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolId } from "../../ids/index.js";
import { SendAllowance } from "./index.js";

const POOL = "draft" as PoolId;

describe("SendAllowance", () => {
    const countEntries = (): number => 4;
    const spec = { durationMs: 3_000, requestsPerSecond: 9.5 };

    it("is the cold rate of an upstream at the owner", () => {
        const allowance = new SendAllowance({ findColdSpec: () => spec, ownerRank: () => 0, countEntries });
        assert.deepEqual([allowance.coldRateOf(POOL), allowance.coldMsOf(POOL)], [9, 3_000]);
    });

    it("is at least one request per second", () => {
        const slow = { durationMs: 3_000, requestsPerSecond: 0.4 };
        assert.equal(
            new SendAllowance({ findColdSpec: () => slow, ownerRank: () => 0, countEntries }).coldRateOf(POOL),
            1,
        );
    });

    it("is 0 at a host that is not an owner", () => {
        // Otherwise many hosts that are cut off would each send as much as an upstream sustains.
        assert.equal(
            new SendAllowance({ findColdSpec: () => spec, ownerRank: () => undefined, countEntries }).coldRateOf(
                POOL,
            ),
            0,
        );
    });

    it("is unbounded where upstreams are never cold", () => {
        const allowance = new SendAllowance({
            findColdSpec: () => undefined,
            ownerRank: () => undefined,
            countEntries,
        });
        assert.deepEqual([allowance.coldRateOf(POOL), allowance.coldMsOf(POOL)], [Number.POSITIVE_INFINITY, 0]);
    });

    it("is the whole limit at the owner, a fraction at its successor, and a share of that fraction at hosts that decide on their own", () => {
        // Otherwise several hosts that decide concurrently would each use the whole limit.
        const shares = [0, 1, 2, undefined].map(place =>
            new SendAllowance({ findColdSpec: () => spec, ownerRank: () => place, countEntries }).limitShareOf(POOL)
        );
        assert.deepEqual(shares, [1, 1 / 4, 1 / 16, 1 / 16]);
    });

    it("is 0 for cold upstreams beyond the owner and its successor", () => {
        const rates = [0, 1, 2].map(place =>
            new SendAllowance({ findColdSpec: () => spec, ownerRank: () => place, countEntries }).coldRateOf(POOL)
        );
        assert.deepEqual(rates, [9, 9, 0]);
    });
});
