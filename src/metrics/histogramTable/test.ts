import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HistogramTable } from "./index.js";

describe("HistogramTable", () => {
    it("returns the distribution for each set of tags, whatever their order", () => {
        const table = new HistogramTable(10);
        for (let value = 1; value <= 100; value++) {
            table.record("wait_ms", value, value % 2 ? { class: "a", workspace: "w" } : { workspace: "w", class: "a" });
        }
        const [row, ...others] = table.list();
        assert.equal(others.length, 0);
        assert.equal(row.count, 100);
        assert.ok(Math.abs(row.p50 - 50) <= 1, `p50 is ${row.p50}`);
        assert.ok(Math.abs(row.p95 - 95) <= 1, `p95 is ${row.p95}`);
        assert.ok(Math.abs(row.max - 100) <= 1, `max is ${row.max}`);
    });

    it("keeps waits below a millisecond, and clamps other values", () => {
        const table = new HistogramTable(10);
        for (const value of [0.4, -3, Number.NaN, 1e12]) table.record("wait_ms", value);
        const [row] = table.list();
        assert.equal(row.count, 3);
        assert.equal(row.p50, 0.4);
    });

    it("counts values beyond the limit on series together", () => {
        // Each workspace's first request adds a histogram for each metric. Without a limit on series, 40,000 workspaces made the
        // memory of an entry process grow until it was killed after days.
        const table = new HistogramTable(2);
        for (let index = 0; index < 100; index++) table.record("wait_ms", 5, { workspace: `w${index}` });
        const rows = table.list();
        assert.equal(rows.length, 3);
        assert.deepEqual(rows.find(row => row.tags.series === "others")?.count, 98);
    });
});
