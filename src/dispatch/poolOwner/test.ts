import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HostId, PoolId } from "../../ids/index.js";
import { choosePoolOwner, PoolOwnerTable } from "./index.js";

const HOSTS = ["h1", "h2", "h3", "h4", "h5", "h6", "h7"] as HostId[];

describe("choosePoolOwner", () => {
    it("agrees on all hosts, whatever the order of its list", () => {
        const pool = "draft" as PoolId;
        assert.equal(choosePoolOwner(pool, "r1", HOSTS), choosePoolOwner(pool, "r1", [...HOSTS].reverse()));
        assert.equal(choosePoolOwner(pool, "r1", []), undefined);
    });

    it("moves only the pools of a lost host", () => {
        const pools = Array.from({ length: 70 }, (_, index) => `pool-${index}` as PoolId);
        const owners = pools.map(pool => choosePoolOwner(pool, "r1", HOSTS));
        const later = pools.map(pool => choosePoolOwner(pool, "r1", HOSTS.slice(1)));
        pools.forEach((_, index) => assert.ok(owners[index] === "h1" || owners[index] === later[index]));
        assert.ok(owners.filter(owner => owner === "h1").length < 25);
    });

    describe("PoolOwnerTable", () => {
        it("gives the same as the choice, for each list of hosts", () => {
            const table = new PoolOwnerTable("sudurnes");
            const pool = "draft" as PoolId;
            const all = ["a", "b", "c", "d"] as HostId[];
            const { owner, next } = table.find(pool, all);
            assert.equal(owner, choosePoolOwner(pool, "sudurnes", all));
            const rest = all.filter(host => host !== owner);
            assert.equal(table.find(pool, rest).owner, next);
            assert.equal(table.find(pool, all).owner, owner);
        });
    });
});
