import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";

/** Faults of a run, and the log lines of entries that tell of each, in the same order. */
export interface LoggedFaults {
    readonly faults: readonly object[];
    readonly logs: readonly (readonly string[])[];
}

/**
 * Writes what the caller and the entries saw of each fault into a file of a folder.
 *
 * @param folder - Created where it does not exist.
 * @param schedule - Name of the schedule.
 * @example
 * await writeFaults("faults", "refusals", 42, report);
 */
export async function writeFaults(
    folder: string,
    schedule: string,
    seed: number,
    { faults, logs }: LoggedFaults,
): Promise<void> {
    const texts = faults.map((fault, index) => [JSON.stringify(fault), ...logs[index]].join("\n"));
    await mkdir(folder, { recursive: true });
    await writeFile(join(folder, `soak-${schedule}-${seed}.txt`), `${texts.join("\n\n")}\n`);
}
