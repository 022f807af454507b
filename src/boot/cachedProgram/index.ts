import { readFileSync, renameSync, writeFileSync } from "node:fs";
import Module from "node:module";
import { dirname } from "node:path";
import { Script } from "node:vm";

/** How the code cache was used. `rejected`: it was made for another version of the program or of Node.js, or for other flags. */
export type CacheUse = "none" | "rejected" | "used";

/** A compiled program with a V8 code cache, which is a file next to the program. */
export class CachedProgram {
    private constructor(
        private readonly file: string,
        private readonly script: Script,
        readonly cacheUse: CacheUse,
    ) {}

    /**
     * Compiles a CommonJS program, using the code cache if it is valid.
     *
     * Shortens restarts on hosts with a fraction of a core, where compiling takes longer than all other steps until callers
     * are served.
     *
     * @param file - The program's path.
     * @returns The compiled program, which was not run yet.
     * @throws Error if the file can't be read, SyntaxError if it can't be compiled.
     */
    static load(file: string): CachedProgram {
        const source = Module.wrap(readFileSync(file, "utf8"));
        const cachedData = readIfExists(cachePathOf(file));
        const script = new Script(source, { filename: file, cachedData });
        const cacheUse = !cachedData ? "none" : script.cachedDataRejected ? "rejected" : "used";
        return new CachedProgram(file, script, cacheUse);
    }

    /** Runs the program as Node.js would run it as a module. */
    run(): void {
        const module = new Module(this.file);
        const require = Module.createRequire(this.file);
        this.script.runInThisContext()(module.exports, require, module, this.file, dirname(this.file));
    }

    /** Writes the code compiled so far to the cache file, atomically. */
    writeCache(): void {
        const cacheFile = cachePathOf(this.file);
        writeFileSync(`${cacheFile}.new`, this.script.createCachedData());
        renameSync(`${cacheFile}.new`, cacheFile);
    }
}

/** Returns the path of the cache file. V8 accepts a cache only with the flags it was made with, so each set of flags has its own file. */
function cachePathOf(file: string): string {
    const flags = process.execArgv.join("").replace(/[^a-z0-9]+/gi, "-");
    return `${file}.${flags}.cache`;
}

function readIfExists(file: string): Buffer | undefined {
    try {
        return readFileSync(file);
    }
    catch {
        return undefined;
    }
}
