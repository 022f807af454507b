import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FileDisk } from "../../ports/index.js";
import { formatPage } from "./index.js";

describe("formatPage", () => {
    it("matches docs/SETTINGS.md", async () => {
        const page = await new FileDisk("docs").read("SETTINGS.md");
        assert.equal(Buffer.from(page ?? []).toString(), formatPage(), "run npm run settings-page");
    });
});
