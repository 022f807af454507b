import { RefusalReport } from "../runRefusals/index.js";

/**
 * Returns a one-line summary of a run.
 *
 * @throws Error with the faults, where there are any.
 * @example
 * console.log(describeRefusals(await runRefusals(42, { size: 1 })));
 */
export function describeRefusals({ record: { exchanges, runs }, faults }: RefusalReport): string {
    const count = (isCounted: (exchange: RefusalReport["record"]["exchanges"][number]) => boolean): number =>
        exchanges.filter(isCounted).length;
    const text = [
        `${count(({ status }) => status === 200)} of ${exchanges.length} answered`,
        `${count(({ statesNotRun }) => statesNotRun)} refused`,
        `${count(({ status }) => status === 502 || status === 504)} unknown`,
        `${count(({ end }) => end === "cut")} cut`,
        `${runs.length} runs`,
    ].join(", ");
    if (faults.length === 0) return text;
    const lines = faults.map(({ kind, exchange, detail }) =>
        `  ${kind} ${exchange?.request ?? ""} ${exchange?.route ?? ""} ${detail}`
    );
    throw new Error([`${text}, ${faults.length} faults`, ...lines].join("\n"));
}
