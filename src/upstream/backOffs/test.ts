import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolId, UpstreamId } from "../../ids/index.js";
import { VirtualClock } from "../../ports/index.js";
import { BackOffs } from "./index.js";

const POOL = "draft" as PoolId;
const UPSTREAM = "u1" as UpstreamId;

describe("BackOffs", () => {
    it("end after their time", async () => {
        const clock = new VirtualClock();
        const backOffs = new BackOffs(clock);
        assert.ok(backOffs.record(POOL, UPSTREAM, 1_500));
        await clock.advance(1_000);
        assert.deepEqual(backOffs.find(UPSTREAM), { leftMs: 500, ageMs: 1_000 });
        assert.deepEqual(backOffs.list(POOL), [{ upstream: UPSTREAM, leftMs: 500 }]);
        assert.deepEqual(backOffs.list("other" as PoolId), []);
        await clock.advance(500);
        assert.equal(backOffs.find(UPSTREAM), undefined);
        assert.deepEqual(backOffs.list(POOL), []);
        assert.equal(backOffs.size, 0);
    });

    it("are prolonged by a later answer, and never shortened", async () => {
        const clock = new VirtualClock();
        const backOffs = new BackOffs(clock);
        backOffs.record(POOL, UPSTREAM, 1_000);
        await clock.advance(500);
        assert.ok(!backOffs.record(POOL, UPSTREAM, 100));
        assert.equal(backOffs.find(UPSTREAM)?.leftMs, 500);
        assert.ok(backOffs.record(POOL, UPSTREAM, 2_000));
        assert.equal(backOffs.find(UPSTREAM)?.leftMs, 2_000);
    });

    it("do not begin with a duration of 0, and last an hour at most", () => {
        const backOffs = new BackOffs(new VirtualClock());
        assert.ok(!backOffs.record(POOL, UPSTREAM, 0));
        assert.equal(backOffs.find(UPSTREAM), undefined);
        assert.ok(backOffs.record(POOL, UPSTREAM, 1e303));
        assert.equal(backOffs.find(UPSTREAM)?.leftMs, 3_600_000);
    });

    it("are forgotten with their upstream, and when there are too many those that end first", () => {
        const backOffs = new BackOffs(new VirtualClock());
        for (let index = 1; index <= 1_025; index++) backOffs.record(POOL, `u${index}` as UpstreamId, 1_000 + index);
        assert.equal(backOffs.size, 1_024);
        assert.equal(backOffs.find("u1" as UpstreamId), undefined);
        backOffs.forget("u2" as UpstreamId);
        assert.equal(backOffs.find("u2" as UpstreamId), undefined);
    });
});
