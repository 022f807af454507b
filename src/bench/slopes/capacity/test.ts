import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FileDisk } from "../../../ports/index.js";
import { MIN_POINTS } from "../fit/index.js";
import { readSlopeFile } from "../slopeFile/index.js";
import { COMPONENTS_PAGE, formatComponentsPage } from "./index.js";

const disk = new FileDisk(".");
const SINGLE_FIGURES = /^(base\.|dispatch\.ticket)/;

describe("formatComponentsPage", () => {
    it("matches docs/COMPONENTS.md", async () => {
        const page = Buffer.from(await disk.read(COMPONENTS_PAGE) ?? []).toString();
        assert.equal(page, formatComponentsPage(await readSlopeFile(disk)), "run npm run slopes:page");
    });

    it("has at least four sizes for each slope", async () => {
        const { slopes } = await readSlopeFile(disk);
        const sparse = slopes.filter(({ id, points }) => !SINGLE_FIGURES.test(id) && points.length < MIN_POINTS);
        assert.deepEqual(sparse.map(({ id }) => id), []);
    });

    it("has a slope to 40,000 workspaces, 410 hosts and 1,800 upstreams", async () => {
        const { slopes } = await readSlopeFile(disk);
        const largest = (id: string): number =>
            Math.max(...slopes.find(slope => slope.id === id)!.points.map(({ x }) => x));
        assert.equal(largest("view.heap"), 40_000);
        assert.equal(largest("state.heap"), 40_000);
        assert.equal(largest("pulls.change.processor"), 410);
        assert.equal(largest("registry.heap"), 1_800);
    });
});
