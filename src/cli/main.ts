#!/usr/bin/env node
/** The operator tool `sequoiamux`: runs the command given on the command line. */
import { homedir, userInfo } from "node:os";
import { basename, dirname, join, resolve } from "node:path";
import { FileDisk, NodeHttp, SystemClock, SystemRandom } from "../ports/index.js";
import { CliError, runCli } from "./index.js";

const STANDARD_INPUT = "-";

async function readFile(path: string): Promise<string> {
    if (path === STANDARD_INPUT) return readStandardInput();
    const text = await readTextFile(path);
    if (text === undefined) throw new CliError(`there is no file ${path}`);
    return text;
}

async function readTextFile(path: string): Promise<string | undefined> {
    const full = resolve(path);
    const bytes = await new FileDisk(dirname(full)).read(basename(full));
    return bytes && Buffer.from(bytes).toString();
}

async function readStandardInput(): Promise<string> {
    const chunks: Uint8Array[] = [];
    for await (const chunk of process.stdin) chunks.push(chunk as Uint8Array);
    return Buffer.concat(chunks).toString();
}

process.exitCode = await runCli(process.argv.slice(2), {
    http: new NodeHttp(),
    clock: new SystemClock(),
    random: new SystemRandom(),
    variables: process.env,
    userName: userInfo().username,
    readFile,
    readProfiles: () => readTextFile(process.env.SEQUOIAMUX_PROFILES ?? join(homedir(), ".sequoiamux.ini")),
    writeOutput: text => void process.stdout.write(text),
    writeError: text => void process.stderr.write(text),
});
