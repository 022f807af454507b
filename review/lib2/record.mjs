/** The frame of a case: its time limit, its record and its exit code. */
import { writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { Fleet, isCalm } from "./fleet.mjs";

const LIMIT_MS = 115_000;

/**
 * Runs a case and ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 *
 * @param url - `import.meta.url` of the case, whose folder gets `record.txt`.
 * @param options - Options of the fleet.
 * @param play - Plays the case; returns whether the rule was broken, and lines that say why.
 */
export async function runCase(url, options, play) {
    const path = join(dirname(fileURLToPath(url)), "record.txt");
    let fleet;
    let code = 2;
    let lines = [];
    const limit = setTimeout(() => finish(2, ["the case took too long"]), LIMIT_MS);
    const finish = async (exitCode, verdict) => {
        clearTimeout(limit);
        const all = [`disruption: ${isCalm ? "left out" : "played"}`, ...fleet?.lines ?? [], ...verdict, `exit ${exitCode}`];
        writeFileSync(path, all.map(line => `${line}\n`).join(""));
        console.log(verdict.join("\n"));
        await fleet?.stop();
        process.exit(exitCode);
    };
    try {
        fleet = await Fleet.start(options);
        const verdict = await play(fleet);
        code = verdict.isBroken ? 1 : 0;
        lines = [...verdict.lines, verdict.isBroken ? "the rule was broken" : "the rule held"];
    }
    catch (err) {
        lines = [`could not run: ${err.stack}`];
    }
    await finish(code, lines);
}
