import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolId, UpstreamId } from "../../ids/index.js";
import { VirtualClock } from "../../ports/index.js";
import { UpstreamTarget } from "../../upstream/index.js";
import { PathTable } from "./index.js";

const PROBE_INTERVAL_MS = 500;

function target(upstream: string, pool = "draft"): UpstreamTarget {
    const address = { host: "10.0.9.1", port: 9000 };
    return { pool: pool as PoolId, upstream: upstream as UpstreamId, incarnation: 1, address };
}

describe("PathTable", () => {
    function makeTable() {
        const clock = new VirtualClock();
        const table = new PathTable(clock);
        /** Probes the lost paths to some upstreams at the usual interval; returns when all were restored, in milliseconds from now. */
        const probeUntilRestored = async (...upstreams: string[]): Promise<number> => {
            const from = clock.monotonic();
            while (table.size > 0 && clock.monotonic() - from < 60_000) {
                await clock.advance(PROBE_INTERVAL_MS);
                for (const upstream of upstreams) table.recordProbe(target(upstream), true);
            }
            return clock.monotonic() - from;
        };
        return { clock, table, probeUntilRestored };
    }

    describe("isLost", () => {
        it("concerns one upstream while the paths to others of its pool are not known to be lost", () => {
            const { table } = makeTable();
            assert.equal(table.recordLost(target("u1")), true);
            assert.equal(table.recordLost(target("u1")), false);
            assert.equal(table.isLost(target("u1")), true);
            assert.equal(table.isLost(target("u2")), false);
        });

        it("concerns all of a pool once the paths to two of its upstreams are lost, and no other pool", () => {
            const { table } = makeTable();
            table.recordLost(target("u1"));
            table.recordLost(target("u2"));
            assert.equal(table.isLost(target("u3")), true);
            assert.equal(table.isLost(target("s1", "ledger")), false);
        });

        it("concerns single upstreams again where another one of the pool has been reached since", async () => {
            const { clock, table } = makeTable();
            table.recordLost(target("u1"));
            table.recordLost(target("u2"));
            await clock.advance(10);
            table.recordConnection(target("u3"));
            assert.equal(table.isLost(target("u4")), false);
            assert.equal(table.isLost(target("u1")), true);
        });

        it("ends for an upstream that has ended", () => {
            const { table } = makeTable();
            table.recordLost(target("u1"));
            table.forget("u1" as UpstreamId);
            assert.equal(table.size, 0);
        });
    });

    describe("recordProbe", () => {
        it("restores all paths of a pool once two upstreams have been reached twice in a row", async () => {
            const { clock, table } = makeTable();
            for (const upstream of ["u1", "u2", "u3"]) table.recordLost(target(upstream));
            await clock.advance(2_000);
            for (const upstream of ["u1", "u2", "u1"]) assert.deepEqual(table.recordProbe(target(upstream), true), []);
            await clock.advance(PROBE_INTERVAL_MS);
            assert.deepEqual(table.recordProbe(target("u1"), true), []);
            const restored = table.recordProbe(target("u2"), true);
            assert.deepEqual(restored.map(({ upstream }) => upstream), ["u1", "u2", "u3"]);
            assert.equal(table.size, 0);
        });

        it("keeps a path lost that still failed its last probe", async () => {
            const { clock, table } = makeTable();
            for (const upstream of ["u1", "u2", "u3"]) table.recordLost(target(upstream));
            for (let round = 0; round < 4; round++) {
                await clock.advance(PROBE_INTERVAL_MS);
                table.recordProbe(target("u1"), true);
                table.recordProbe(target("u2"), true);
                table.recordProbe(target("u3"), false);
            }
            assert.deepEqual(table.listLost().map(({ upstream }) => upstream), ["u3"]);
        });

        it("restores a path later each time that it is lost again soon, and no later than that at rest", async () => {
            // Otherwise a path that comes and goes each second would cost its callers more than one that is lost.
            const { clock, table, probeUntilRestored } = makeTable();
            const times: number[] = [];
            for (let loss = 0; loss < 6; loss++) {
                table.recordLost(target("u1"));
                times.push(await probeUntilRestored("u1"));
                await clock.advance(1_000);
            }
            assert.deepEqual(times, [1_000, 2_000, 4_000, 8_000, 8_000, 8_000]);
            await clock.advance(10_000);
            table.recordLost(target("u1"));
            assert.equal(await probeUntilRestored("u1"), 1_000);
        });
    });

    describe("hadLost", () => {
        it("tells losses that ended before a time from those that did not", async () => {
            const { clock, table, probeUntilRestored } = makeTable();
            table.recordLost(target("u1"));
            await probeUntilRestored("u1");
            const restoredAt = clock.monotonic();
            assert.equal(table.hadLost(target("u1"), restoredAt - 1), true);
            assert.equal(table.hadLost(target("u1"), restoredAt + 1), false);
            assert.equal(table.hadLost(target("u2"), 0), false);
        });
    });
});
