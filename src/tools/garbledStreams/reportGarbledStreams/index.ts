import { isComplete, tallyContinuations } from "../checkGarbledStreams/index.js";
import { GarbledReport } from "../runGarbledStreams/index.js";

/**
 * Returns a one-line summary of a run.
 *
 * @throws Error with the faults, where there are any.
 * @example
 * console.log(describeGarbledStreams(await runGarbledStreams(42, { size: 1 })));
 */
export function describeGarbledStreams({ record, faults }: GarbledReport): string {
    const { exchanges, served } = record;
    const { spoilt, continued } = tallyContinuations(record);
    const text = [
        `${exchanges.filter(isComplete).length} of ${exchanges.length} complete`,
        `${exchanges.filter(({ end }) => end === "cut").length} cut`,
        `${served.filter(({ shape }) => shape.isFaulty).length} of ${served.length} runs spoilt`,
        `${continued} of ${spoilt} spoilt resumable ones went on`,
    ].join(", ");
    if (faults.length === 0) return text;
    const lines = faults.map(({ kind, exchange, detail }) =>
        `  ${kind} ${exchange?.request ?? ""} ${exchange?.route ?? ""} ${detail}`
    );
    throw new Error([`${text}, ${faults.length} faults`, ...lines].join("\n"));
}
