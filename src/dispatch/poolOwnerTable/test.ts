import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HostId, PoolId } from "../../ids/index.js";
import { PoolOwnerTable, rankPoolOwners } from "./index.js";

const HOSTS = ["h1", "h2", "h3", "h4", "h5", "h6", "h7"] as HostId[];

describe("rankPoolOwners", () => {
    it("agrees on all hosts, whatever the order of its list", () => {
        const pool = "draft" as PoolId;
        assert.equal(rankPoolOwners(pool, "r1", HOSTS)[0], rankPoolOwners(pool, "r1", [...HOSTS].reverse())[0]);
        assert.equal(rankPoolOwners(pool, "r1", [])[0], undefined);
    });

    it("moves only the pools of a lost host", () => {
        const pools = Array.from({ length: 70 }, (_, index) => `pool-${index}` as PoolId);
        const owners = pools.map(pool => rankPoolOwners(pool, "r1", HOSTS)[0]);
        const later = pools.map(pool => rankPoolOwners(pool, "r1", HOSTS.slice(1))[0]);
        pools.forEach((_, index) => assert.ok(owners[index] === "h1" || owners[index] === later[index]));
        assert.ok(owners.filter(owner => owner === "h1").length < 25);
    });

    describe("PoolOwnerTable", () => {
        it("returns the same ranking as rankPoolOwners, for each list of hosts", () => {
            const table = new PoolOwnerTable("sudurnes");
            const pool = "draft" as PoolId;
            const all = ["a", "b", "c", "d"] as HostId[];
            const [owner, next] = table.rank(pool, all);
            assert.equal(owner, rankPoolOwners(pool, "sudurnes", all)[0]);
            const rest = all.filter(host => host !== owner);
            assert.equal(table.rank(pool, rest)[0], next);
            assert.equal(table.rank(pool, all)[0], owner);
        });
    });
});
