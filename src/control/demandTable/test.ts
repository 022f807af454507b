import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../../ports/index.js";
import { PoolReport } from "../demandReport/index.js";
import { DemandTable } from "./index.js";

function makeReport(pool: string, running: number): PoolReport {
    return { pool, tiers: [{ tier: 0, running, waiting: 0 }], upstreams: [] };
}

describe("DemandTable", () => {
    it("is empty at first", () => {
        assert.deepEqual(new DemandTable(new VirtualClock()).listFresh(), []);
    });

    it("keeps the latest report of each pool from any sender", () => {
        const table = new DemandTable(new VirtualClock());
        table.record({ region: "sudurnes", pools: [makeReport("draft", 1), makeReport("orders", 2)] });
        table.record({ region: "sudurnes", pools: [makeReport("draft", 5)] });
        assert.deepEqual(table.listFresh(), [makeReport("draft", 5), makeReport("orders", 2)]);
    });

    // If a report counted until a newer one arrives, upstreams would be released because of one that is minutes old, when the owner of a
    // pool's queue is partitioned from the holder while the load rises.
    it("drops outdated reports", async () => {
        const clock = new VirtualClock();
        const table = new DemandTable(clock);
        table.record({ region: "sudurnes", pools: [makeReport("draft", 1)] });
        await clock.advance(5_000);
        assert.equal(table.listFresh().length, 1);
        await clock.advance(3_000);
        assert.deepEqual(table.listFresh(), []);
    });
});
