import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { HostId, UpstreamId } from "../../ids/index.js";
import { OtherOwners, QueueState } from "./index.js";

const HOST = "control-1" as HostId;
const OTHER = "control-2" as HostId;
const UPSTREAM = "u1" as UpstreamId;

function makeState(requests: number, waiting: QueueState["waiting"] = []): QueueState {
    return { uses: [{ upstream: UPSTREAM, requests, memoryTokens: 100 * requests, backlogMs: 10 }], waiting };
}

describe("OtherOwners", () => {
    let owners: OtherOwners;

    beforeEach(() => {
        owners = new OtherOwners();
    });

    it("adds up what several owners use of an upstream", () => {
        owners.record(HOST, makeState(3), 0);
        owners.record(OTHER, makeState(2), 0);
        assert.deepEqual(owners.useOf(UPSTREAM), {
            upstream: UPSTREAM,
            requests: 5,
            memoryTokens: 500,
            backlogMs: 20,
        });
    });

    it("replaces what an owner reported before, and names the upstreams that it no longer uses", () => {
        owners.record(HOST, makeState(3), 0);
        const changed = owners.record(HOST, { uses: [], waiting: [] }, 100);
        assert.deepEqual([...changed], [UPSTREAM]);
        assert.equal(owners.useOf(UPSTREAM).requests, 0);
    });

    it("counts waiting tickets of higher tiers only", () => {
        owners.record(HOST, makeState(0, [[0, 2], [3, 5]]), 0);
        assert.deepEqual([0, 1, 3, 4].map(tier => owners.waitingAbove(tier)), [0, 2, 2, 7]);
    });

    it("no longer counts a request that its entry reported to this owner", () => {
        owners.record(HOST, makeState(2), 0);
        owners.takeOver(HOST, UPSTREAM);
        assert.equal(owners.useOf(UPSTREAM).requests, 1);
    });

    it("forgets an owner that reports no more", () => {
        owners.record(HOST, makeState(2, [[0, 1]]), 0);
        assert.deepEqual([...owners.expire(999)], []);
        assert.deepEqual([...owners.expire(1_000)], [UPSTREAM]);
        assert.equal(owners.useOf(UPSTREAM).requests, 0);
        assert.equal(owners.hasWaiting, false);
    });
});
