import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../../ports/index.js";
import { PoolReport } from "../demandReport/index.js";
import { DemandTable } from "./index.js";

function makeReport(pool: string, running: number): PoolReport {
    return { pool, tiers: [{ tier: 0, running, waiting: 0 }], upstreams: [] };
}

describe("DemandTable", () => {
    it("knows nothing at first", () => {
        assert.deepEqual(new DemandTable(new VirtualClock()).listFresh(), []);
    });

    it("keeps the latest report of each pool, whoever sent it", () => {
        const table = new DemandTable(new VirtualClock());
        table.take({ region: "sudurnes", pools: [makeReport("draft", 1), makeReport("orders", 2)] });
        table.take({ region: "sudurnes", pools: [makeReport("draft", 5)] });
        assert.deepEqual(table.listFresh(), [makeReport("draft", 5), makeReport("orders", 2)]);
    });

    // Upstreams are released by news that is minutes old.
    // The owner of a pool's queue is cut off from the holder, and load rises meanwhile.
    // Cause: a report that counts for as long as no newer one comes.
    it("drops what is out of date", async () => {
        const clock = new VirtualClock();
        const table = new DemandTable(clock);
        table.take({ region: "sudurnes", pools: [makeReport("draft", 1)] });
        await clock.advance(5_000);
        assert.equal(table.listFresh().length, 1);
        await clock.advance(3_000);
        assert.deepEqual(table.listFresh(), []);
    });
});
