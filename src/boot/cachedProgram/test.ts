import assert from "node:assert/strict";
import { appendFileSync, mkdtempSync, readdirSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, it } from "node:test";
import { CachedProgram } from "./index.js";

const SOURCE = "globalThis.bootRuns = (globalThis.bootRuns ?? 0) + 1; module.exports.path = require('node:path').sep;";

describe("CachedProgram", () => {
    let folder: string;
    let file: string;
    const scriptGlobals = globalThis as { bootRuns?: number; };

    beforeEach(() => {
        folder = mkdtempSync(join(tmpdir(), "boot-"));
        file = join(folder, "program.cjs");
        writeFileSync(file, SOURCE);
        scriptGlobals.bootRuns = 0;
    });

    afterEach(() => rmSync(folder, { recursive: true }));

    it("runs a program, then runs it from the written cache", () => {
        const first = CachedProgram.load(file);
        first.run();
        first.writeCache();
        const second = CachedProgram.load(file);
        second.run();
        assert.deepEqual([first.cacheUse, second.cacheUse, scriptGlobals.bootRuns], ["none", "used", 2]);
        assert.equal(readdirSync(folder).length, 2);
    });

    it("compiles a program whose cache is for another version", () => {
        CachedProgram.load(file).writeCache();
        appendFileSync(file, "globalThis.bootRuns += 10;");
        const changed = CachedProgram.load(file);
        changed.run();
        assert.deepEqual([changed.cacheUse, scriptGlobals.bootRuns], ["rejected", 11]);
    });

    it("compiles a program whose cache is damaged", () => {
        CachedProgram.load(file).writeCache();
        const [cache] = readdirSync(folder).filter(name => name.endsWith(".cache"));
        // A different source, since Node.js keeps the code that it compiled in this process.
        const other = join(folder, "other.cjs");
        writeFileSync(other, `${SOURCE}\n`);
        writeFileSync(join(folder, cache.replace("program", "other")), "damaged");
        const program = CachedProgram.load(other);
        program.run();
        assert.deepEqual([program.cacheUse, scriptGlobals.bootRuns], ["rejected", 1]);
    });
});
