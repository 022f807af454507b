import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { StopReport } from "../runStops/index.js";

/**
 * Returns a one-line summary of a run.
 *
 * @throws Error with the faults, where there are any.
 * @example
 * console.log(describeStops(await runStops(42, options)));
 */
export function describeStops({ record: { exchanges, lives, limits }, faults, problems }: StopReport): string {
    const served = exchanges.filter(({ end, status }) => end === "whole" && status === 200).length;
    const exits = lives.filter(({ exitedAt }) => exitedAt !== undefined).length;
    const cut = exchanges.filter(({ end }) => end === "cut").length;
    const counts = `${served} of ${exchanges.length} answered, ${cut} cut, ${exits} exits`;
    const text = [counts, `requests count as read after ${Math.round(limits.readMs)} ms`, ...problems].join(", ");
    if (faults.length === 0) return text;
    const lines = faults.map(({ kind, exchange, life, detail }) =>
        `  ${kind} ${exchange?.request ?? ""} ${exchange?.route ?? ""} at entry ${life?.entry} ${detail}`
    );
    throw new Error([`${text}, ${faults.length} faults`, ...lines].join("\n"));
}

/**
 * Writes what the caller, the upstreams and the entry saw of each fault into a file of a folder.
 *
 * @param folder - Created where it does not exist.
 */
export async function writeStopFaults(
    folder: string,
    seed: number,
    { record, faults, logs }: StopReport,
): Promise<void> {
    const texts = faults.map((fault, index) => {
        const runs = record.runs.filter(({ request }) => request === fault.exchange?.request);
        return [JSON.stringify(fault), ...runs.map(run => `  run ${JSON.stringify(run)}`), ...logs[index]].join("\n");
    });
    await mkdir(folder, { recursive: true });
    await writeFile(join(folder, `soak-stops-${seed}.txt`), `${texts.join("\n\n")}\n`);
}
