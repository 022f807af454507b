/**
 * Runs the bundled program in this file's folder through its code cache. With `--write-code-cache`, the program is run without
 * a role, so that it exits at once, and the code compiled until then is written to the cache.
 */
import { join } from "node:path";
import { CachedProgram } from "./cachedProgram/index.js";

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
