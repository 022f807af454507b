/** Tells from entries' logs what became of calls: `node dist/tools/account/main.js LOG... --window 2 --plot hour.svg`. */
import { cac } from "cac";
import { readFile, writeFile } from "node:fs/promises";
import { formatAccount, plotAccount, readCalls, sumCalls } from "./index.js";

interface AccountOptions {
    readonly window: number;
    readonly plot?: string;
}

const MS_PER_SECOND = 1_000;
/** Exit code for a command line or logs that can't be used. */
const UNUSABLE = 2;

async function writeAccount(files: readonly string[], { window, plot }: AccountOptions): Promise<string | undefined> {
    if (files.length === 0) return "name one log or more";
    if (!(window > 0)) return `--window ${window}: a number of seconds above 0 is expected`;
    const texts = await Promise.all(files.map(file => readFile(file, "utf8")));
    const calls = readCalls(texts.flatMap(text => text.split("\n")));
    if (calls.length === 0) return "no call-ended line in these logs";
    const windowMs = window * MS_PER_SECOND;
    const sums = sumCalls(calls, windowMs);
    console.log(formatAccount(sums));
    if (plot !== undefined) await writeFile(plot, plotAccount(sums, windowMs));
    return undefined;
}

const program = cac("account");
program.command("[...logs]", "What became of calls, by window and route")
    .option("--window <seconds>", "How long a window is", { default: 2 })
    .option("--plot <file>", "Where to write a plot, as SVG")
    .action(async (files: string[], options: AccountOptions) => {
        const problem = await writeAccount(files, options).catch((err: Error) => err.message);
        if (problem === undefined) return;
        console.error(`account: ${problem}`);
        process.exitCode = UNUSABLE;
    });
program.help();
program.parse();
