import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HostId, UpstreamId } from "../../ids/index.js";
import { HostBackOffs } from "./index.js";

const HOST = "entry-1" as HostId;
const OTHER_HOST = "entry-2" as HostId;
const UPSTREAM = "u1" as UpstreamId;

/** Returns how many concurrent requests a host is granted. */
function countGrants(backOffs: HostBackOffs, now: number, host = HOST): number {
    let granted = 0;
    for (; granted < 100 && backOffs.mayGrant(host, UPSTREAM, now); granted++) {
        backOffs.recordGrant(host, UPSTREAM, now);
    }
    return granted;
}

describe("HostBackOffs", () => {
    it("apply to the host that was asked, and to that upstream only", () => {
        const backOffs = new HostBackOffs();
        backOffs.record(HOST, UPSTREAM, 3_000, 0);
        assert.equal(backOffs.leftMs(HOST, UPSTREAM, 1_000), 2_000);
        assert.ok(!backOffs.mayGrant(HOST, UPSTREAM, 2_999));
        assert.ok(backOffs.mayGrant(OTHER_HOST, UPSTREAM, 0));
        assert.ok(backOffs.mayGrant(HOST, "u2" as UpstreamId, 0));
    });

    it("are followed by few concurrent requests, and by more with each that is answered", () => {
        // Otherwise the requests that queued up meanwhile would reach the upstream in one burst.
        const backOffs = new HostBackOffs();
        backOffs.record(HOST, UPSTREAM, 3_000, 0);
        assert.equal(countGrants(backOffs, 3_000), 1);
        backOffs.recordAcceptance(HOST, UPSTREAM, 3_100);
        assert.equal(countGrants(backOffs, 3_100), 1);
        backOffs.recordEnd(HOST, UPSTREAM, 3_200);
        assert.equal(countGrants(backOffs, 3_200), 1);
        for (let accepted = 0; accepted < 14; accepted++) backOffs.recordAcceptance(HOST, UPSTREAM, 3_300);
        assert.ok(!backOffs.hasAny(HOST));
    });

    it("show an upstream as shedding load until the last of them ends", () => {
        const backOffs = new HostBackOffs();
        backOffs.record(HOST, UPSTREAM, 3_000, 0);
        backOffs.record(OTHER_HOST, UPSTREAM, 2_000, 0);
        assert.ok(backOffs.isShedding(UPSTREAM, 2_999));
        assert.ok(!backOffs.isShedding(UPSTREAM, 3_000));
        assert.ok(!backOffs.hasShedding);
    });

    it("no longer limit a host some seconds after their end", () => {
        const backOffs = new HostBackOffs();
        backOffs.record(HOST, UPSTREAM, 3_000, 0);
        assert.equal(countGrants(backOffs, 8_000), 100);
    });

    it("begin anew with another answer", () => {
        const backOffs = new HostBackOffs();
        backOffs.record(HOST, UPSTREAM, 3_000, 0);
        backOffs.recordGrant(HOST, UPSTREAM, 3_000);
        backOffs.record(HOST, UPSTREAM, 6_000, 3_050);
        assert.ok(!backOffs.mayGrant(HOST, UPSTREAM, 5_999));
        assert.equal(countGrants(backOffs, 6_000), 1);
    });

    it("end with their host or upstream", () => {
        const backOffs = new HostBackOffs();
        backOffs.record(HOST, UPSTREAM, 3_000, 0);
        backOffs.forgetHost(HOST);
        assert.ok(backOffs.mayGrant(HOST, UPSTREAM, 0));
        backOffs.record(HOST, UPSTREAM, 3_000, 0);
        backOffs.forgetUpstream(UPSTREAM);
        assert.ok(backOffs.mayGrant(HOST, UPSTREAM, 0));
    });
});
