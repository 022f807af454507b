import { readFileSync, renameSync, writeFileSync } from "node:fs";
import Module from "node:module";
import { dirname } from "node:path";
import { Script } from "node:vm";

/** How a program was loaded. `rejected`: the code cache is of another version of the program, of Node.js or of its flags. */
export type CacheUse = "none" | "rejected" | "used";

/** A program's file and the code cache beside it. */
export class CachedProgram {
    private constructor(
        private readonly file: string,
        private readonly script: Script,
        readonly cacheUse: CacheUse,
    ) {}

    /**
     * Compiles a CommonJS program, through the code cache where one fits. Without it, the program is compiled as usual.
     *
     * Answers restarts on hosts with a share of a core, where compiling takes longer than all else until callers are served.
     *
     * @param file - The program's path.
     * @returns The program, not run yet.
     * @throws Error when the file can't be read, SyntaxError when it can't be compiled.
     */
    static load(file: string): CachedProgram {
        const source = Module.wrap(readFileSync(file, "utf8"));
        const cachedData = readIfThere(cacheFileOf(file));
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

    /** Writes what has been compiled so far beside the program, in one step. */
    writeCache(): void {
        const cacheFile = cacheFileOf(this.file);
        writeFileSync(`${cacheFile}.new`, this.script.createCachedData());
        renameSync(`${cacheFile}.new`, cacheFile);
    }
}

/** V8 takes a cache only under the flags that it was made with, so that each set of flags has a cache of its own. */
function cacheFileOf(file: string): string {
    const flags = process.execArgv.join("").replace(/[^a-z0-9]+/gi, "-");
    return `${file}.${flags}.cache`;
}

function readIfThere(file: string): Buffer | undefined {
    try {
        return readFileSync(file);
    }
    catch {
        return undefined;
    }
}
