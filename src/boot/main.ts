/**
 * Runs the bundled program beside this file through its code cache. `--write-code-cache` runs it without a role, which ends it at once, and
 * keeps what was compiled until then.
 */
import { join } from "node:path";
import { CachedProgram } from "./codeCache/index.js";

const PROGRAM = "sequoiamux.cjs";
const WRITE_OPTION = "--write-code-cache";

const program = CachedProgram.load(join(__dirname, PROGRAM));
if (process.argv[2] === WRITE_OPTION) {
    process.argv.splice(2);
    process.on("exit", () => {
        program.writeCache();
        process.exitCode = 0;
    });
}
program.run();
