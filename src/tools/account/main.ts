/** Summarizes the ended calls in entries' logs: `node dist/tools/account/main.js LOG... --window 2 --plot hour.svg`. */
import { cac } from "cac";
import { readFile, writeFile } from "node:fs/promises";
import { formatCallTable, parseCalls, plotCalls, summarizeCalls } from "./index.js";

interface AccountOptions {
    readonly window: number;
    readonly plot?: string;
}

const MS_PER_SECOND = 1_000;
/** Exit code for an invalid command line or logs without ended calls. */
const EXIT_UNUSABLE_INPUT = 2;

async function printStatistics(
    files: readonly string[],
    { window, plot }: AccountOptions,
): Promise<string | undefined> {
    if (files.length === 0) return "name one log or more";
    if (!(window > 0)) return `--window ${window}: a number of seconds above 0 is expected`;
    const texts = await Promise.all(files.map(file => readFile(file, "utf8")));
    const calls = parseCalls(texts.flatMap(text => text.split("\n")));
    if (calls.length === 0) return "no call-ended line in these logs";
    const windowMs = window * MS_PER_SECOND;
    const statistics = summarizeCalls(calls, windowMs);
    console.log(formatCallTable(statistics));
    if (plot !== undefined) await writeFile(plot, plotCalls(statistics, windowMs));
    return undefined;
}

const program = cac("account");
program.command("[...logs]", "What became of calls, by window and route")
    .option("--window <seconds>", "How long a window is", { default: 2 })
    .option("--plot <file>", "Where to write a plot, as SVG")
    .action(async (files: string[], options: AccountOptions) => {
        const problem = await printStatistics(files, options).catch((err: Error) => err.message);
        if (problem === undefined) return;
        console.error(`account: ${problem}`);
        process.exitCode = EXIT_UNUSABLE_INPUT;
    });
program.help();
program.parse();
