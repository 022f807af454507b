import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { findFreePorts, Program, ScratchFolder } from "../tools/index.js";
import { EXIT_CODES } from "./exitCodes/index.js";

interface ControlFile {
    readonly peers: number;
    readonly operators: number;
    /** Where its data is, below the scratch folder. */
    readonly data: string;
}

/** Ends a test that hangs. */
const LIMIT = { timeout: 60_000 };

describe("sequoiamuxd", () => {
    const programs: Program[] = [];
    let scratch: ScratchFolder;
    let ports: number[];

    before(async () => {
        scratch = await ScratchFolder.make();
        ports = await findFreePorts(4);
    });

    after(async () => {
        await Promise.all(programs.map(program => program.kill()));
        await scratch.remove();
    });

    function run(...args: string[]): Program {
        const program = new Program("daemon/main.js", args);
        programs.push(program);
        return program;
    }

    /** Starts a control process that is the only member of its cluster. */
    async function runControl({ peers, operators, data }: ControlFile): Promise<Program> {
        const file = await scratch.write(
            "control.ini",
            [
                "role = control",
                "[host]\nid = vogar-1\nzone = vogar\nregion = sudurnes",
                `[listen]\npeers = 127.0.0.1:${peers}\noperators = 127.0.0.1:${operators}`,
                `[control]\nmembers = vogar-1@127.0.0.1:${peers}`,
                `[data]\nfolder = ${scratch.path}/${data}`,
                "[platform]",
                "[log]\nlevel = error",
            ].join("\n"),
        );
        return run("--settings", file);
    }

    /** Waits for its end, and gives the exit code and what it wrote to standard error, line by line. */
    async function fail(program: Program): Promise<readonly [code: number | undefined, lines: readonly string[]]> {
        const { code } = await program.exited;
        return [code, program.stderr.trimEnd().split("\n")];
    }

    describe("--check", () => {
        it("says for each fault in one line the file, section, name and what was expected", LIMIT, async () => {
            const file = await scratch.write("bad.ini", "role = entry\n[host]\nid = vogar-1\nzoen = vogar\n");
            const [code, lines] = await fail(run("--check", "--settings", file));
            assert.equal(code, EXIT_CODES.usage);
            assert.ok(lines.some(line => /^sequoiamuxd: bad\.ini.*host.*zoen/.test(line)), lines.join("\n"));
            assert.deepEqual(lines.filter(line => !line.startsWith("sequoiamuxd: bad.ini")), []);
        });

        it("names a file that is not there", LIMIT, async () => {
            const [code, lines] = await fail(run("--check", "--settings", `${scratch.path}/none.ini`));
            assert.equal(code, EXIT_CODES.usage);
            assert.deepEqual(lines, [`sequoiamuxd: ${scratch.path}/none.ini: there is no such file`]);
        });
    });

    describe("a data folder", () => {
        it("in use by another process ends it with the code for data", LIMIT, async () => {
            const first = await runControl({ peers: ports[0], operators: ports[1], data: "shared" });
            await first.line("\"ready\"");
            const second = await runControl({ peers: ports[2], operators: ports[3], data: "shared" });
            const [code, lines] = await fail(second);
            await first.kill();
            assert.equal(lines.length, 1, lines.join("\n"));
            assert.match(lines[0], /^sequoiamuxd: .*shared is in use by another process$/);
            assert.equal(code, EXIT_CODES.data);
        });

        it("that was truncated ends it with the code for data", LIMIT, async () => {
            // A control process restarts for ever, and nobody is told that its disk needs a look.
            // A file of its data folder was cut; the process ends with the code of a passing fault; the supervisor
            // starts it again.
            // Cause: the store's own error was not among those that mean the data folder.
            const file = { peers: ports[0], operators: ports[1], data: "damaged" };
            const first = await runControl(file);
            await first.line("\"ready\"");
            await first.kill();
            await scratch.halve("damaged/identity");
            const [code, lines] = await fail(await runControl(file));
            assert.equal(lines.length, 1, lines.join("\n"));
            assert.match(lines[0], /^sequoiamuxd: damaged: .*identity/);
            assert.equal(code, EXIT_CODES.data);
        });
    });

    it("names a port that is taken", LIMIT, async () => {
        const first = await runControl({ peers: ports[0], operators: ports[1], data: "first" });
        await first.line("\"ready\"");
        const second = await runControl({ peers: ports[0], operators: ports[3], data: "second" });
        const [code, lines] = await fail(second);
        await first.kill();
        assert.equal(lines.length, 1, lines.join("\n"));
        assert.match(lines[0], new RegExp(`^sequoiamuxd: .*in use.*127\\.0\\.0\\.1:${ports[0]}$`));
        assert.equal(code, EXIT_CODES.fault);
    });
});
