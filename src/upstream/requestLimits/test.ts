import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolId, UpstreamId } from "../../ids/index.js";
import { VirtualClock } from "../../ports/index.js";
import { RequestLimits } from "./index.js";

const POOL = "draft" as PoolId;
const UPSTREAM = "u1" as UpstreamId;

describe("RequestLimits", () => {
    it("returns what an answer changes", () => {
        const limits = new RequestLimits(new VirtualClock());
        const changes = [undefined, 2, 2, 1.5, undefined, undefined].map(limit => limits.record(POOL, UPSTREAM, limit));
        assert.deepEqual(changes, [undefined, "named", undefined, "changed", "ended", undefined]);
    });

    it("lists a pool's limits with their age", async () => {
        const clock = new VirtualClock();
        const limits = new RequestLimits(clock);
        limits.record(POOL, UPSTREAM, 2);
        limits.record("other" as PoolId, "u2" as UpstreamId, 3);
        await clock.advance(400);
        assert.deepEqual(limits.list(POOL), [{ upstream: UPSTREAM, perSecond: 2, ageMs: 400 }]);
    });

    it("applies the newest answer, whichever arrives last", async () => {
        const clock = new VirtualClock();
        const limits = new RequestLimits(clock);
        await clock.advance(1_000);
        limits.record(POOL, UPSTREAM, 2);
        assert.equal(limits.record(POOL, UPSTREAM, undefined, 300), undefined);
        assert.equal(limits.list(POOL).length, 1);
    });

    it("forgets upstreams that have ended, and the oldest beyond its maximum size", () => {
        const limits = new RequestLimits(new VirtualClock());
        limits.record(POOL, UPSTREAM, 2);
        limits.forget(UPSTREAM);
        assert.equal(limits.size, 0);
        for (let number = 0; number < 2_000; number++) limits.record(POOL, `n${number}` as UpstreamId, 1);
        assert.equal(limits.size, 1_024);
    });
});
