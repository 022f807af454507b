import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { NodeHttp, TcpNetwork } from "../ports/index.js";
import { findFreePorts, Program, ScratchFolder, waitFor } from "../tools/index.js";
import { EXIT_CODES } from "./exitCodes/index.js";

interface ControlProcessOptions {
    /** Port for peers. */
    readonly peers: number;
    /** Port for operators. */
    readonly operators: number;
    /** Data folder, relative to the scratch folder. */
    readonly data: string;
}

/** Time after which a process that is stopped is killed. */
const STOP_LIMIT_MS = 30_000;
/** Aborts a test that hangs. */
const TEST_TIMEOUT = { timeout: 60_000 };

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

    function startProgram(...args: string[]): Program {
        const program = new Program("daemon/main.js", args);
        programs.push(program);
        return program;
    }

    /** Starts a control process that is the only member of its cluster. */
    async function startControl({ peers, operators, data }: ControlProcessOptions): Promise<Program> {
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
        return startProgram("--settings", file);
    }

    /** Waits until a control process knows the holder of the lease: one that stops before has nobody to take its leave of. */
    async function awaitHolder(operators: number): Promise<void> {
        const isReady = async (): Promise<true | undefined> => {
            const sent = await new NodeHttp().send({
                address: { host: "127.0.0.1", port: operators },
                method: "GET",
                path: "/readyz",
                headers: [],
                newConnection: true,
                connectTimeoutMs: STOP_LIMIT_MS,
                headTimeoutMs: STOP_LIMIT_MS,
            });
            return sent.map(({ status }) => status).extract() === 200 ? true : undefined;
        };
        assert.ok(await waitFor(isReady, STOP_LIMIT_MS), "no holder");
    }

    /** Waits until the program exits; returns the exit code and the lines written to standard error. */
    async function waitForFailure(
        program: Program,
    ): Promise<readonly [code: number | undefined, lines: readonly string[]]> {
        const { code } = await program.exited;
        return [code, program.stderr.trimEnd().split("\n")];
    }

    describe("--check", () => {
        it("prints one line per problem with file, section, name and expected value", TEST_TIMEOUT, async () => {
            const file = await scratch.write("bad.ini", "role = entry\n[host]\nid = vogar-1\nzoen = vogar\n");
            const [code, lines] = await waitForFailure(startProgram("--check", "--settings", file));
            assert.equal(code, EXIT_CODES.usage);
            assert.ok(lines.some(line => /^sequoiamuxd: bad\.ini.*host.*zoen/.test(line)), lines.join("\n"));
            assert.deepEqual(lines.filter(line => !line.startsWith("sequoiamuxd: bad.ini")), []);
        });

        it("names a missing file", TEST_TIMEOUT, async () => {
            const [code, lines] = await waitForFailure(
                startProgram("--check", "--settings", `${scratch.path}/none.ini`),
            );
            assert.equal(code, EXIT_CODES.usage);
            assert.deepEqual(lines, [`sequoiamuxd: ${scratch.path}/none.ini: there is no such file`]);
        });
    });

    describe("a data folder", () => {
        it("that is in use by another process leads to the exit code for the data folder", TEST_TIMEOUT, async () => {
            const first = await startControl({ peers: ports[0], operators: ports[1], data: "shared" });
            await first.line("\"ready\"");
            const second = await startControl({ peers: ports[2], operators: ports[3], data: "shared" });
            const [code, lines] = await waitForFailure(second);
            await first.kill();
            assert.equal(lines.length, 1, lines.join("\n"));
            assert.match(lines[0], /^sequoiamuxd: .*shared is in use by another process$/);
            assert.equal(code, EXIT_CODES.dataFolder);
        });

        it("with a truncated file leads to the exit code for the data folder", TEST_TIMEOUT, async () => {
            // Prevents endless restarts of a control process with a truncated file in its data folder: when the store's own
            // error is not counted as a data folder error, the process exits with the code of a temporary failure, the
            // supervisor restarts it, and no operator is alerted.
            const file = { peers: ports[0], operators: ports[1], data: "damaged" };
            const first = await startControl(file);
            await first.line("\"ready\"");
            await first.kill();
            await scratch.truncateToHalf("damaged/identity");
            const [code, lines] = await waitForFailure(await startControl(file));
            assert.equal(lines.length, 1, lines.join("\n"));
            assert.match(lines[0], /^sequoiamuxd: damaged: .*identity/);
            assert.equal(code, EXIT_CODES.dataFolder);
        });
    });

    describe("signals", () => {
        it("SIGHUP does not end it", TEST_TIMEOUT, async () => {
            // Failure: all answers are cut, as the default action of SIGHUP ends the process.
            const control = await startControl({ peers: ports[0], operators: ports[1], data: "hangup" });
            await control.line("\"ready\"");
            await awaitHolder(ports[1]);
            control.signal("SIGHUP");
            const { code, signal } = await control.stop(STOP_LIMIT_MS);
            assert.deepEqual([code, signal], [EXIT_CODES.ok, undefined]);
        });

        it("SIGTERM ends it though a request never arrives whole", TEST_TIMEOUT, async () => {
            // Failure: a stop hangs until the supervisor kills the process, as closing the listener waits for each connection.
            const control = await startControl({ peers: ports[0], operators: ports[1], data: "half" });
            await control.line("\"ready\"");
            await awaitHolder(ports[1]);
            const address = { host: "127.0.0.1", port: ports[1] };
            const [half, whole] = (await Promise.all(
                [1, 2].map(() => new TcpNetwork().connect(address, STOP_LIMIT_MS)),
            )).map(connected => connected.unsafeCoerce());
            half.send(Buffer.from("GET /readyz HTTP/1.1\r\nhost:"));
            whole.send(Buffer.from("GET /readyz HTTP/1.1\r\nhost: a\r\n\r\n"));
            // Once this one is answered, the first has been read.
            assert.ok(await whole.receive());
            const { code, signal } = await control.stop(STOP_LIMIT_MS);
            for (const connection of [half, whole]) connection.reset();
            assert.deepEqual([code, signal], [EXIT_CODES.ok, undefined]);
        });
    });

    it("names a port that is in use", TEST_TIMEOUT, async () => {
        const first = await startControl({ peers: ports[0], operators: ports[1], data: "first" });
        await first.line("\"ready\"");
        const second = await startControl({ peers: ports[0], operators: ports[3], data: "second" });
        const [code, lines] = await waitForFailure(second);
        await first.kill();
        assert.equal(lines.length, 1, lines.join("\n"));
        assert.match(lines[0], new RegExp(`^sequoiamuxd: .*in use.*127\\.0\\.0\\.1:${ports[0]}$`));
        assert.equal(code, EXIT_CODES.failure);
    });
});
