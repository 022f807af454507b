import { HistogramTable } from "../../metrics/index.js";

/** Percentiles of one figure, in milliseconds; 0 where there is none. */
export interface Spread {
    readonly p50: number;
    readonly p95: number;
    readonly p99: number;
    readonly max: number;
}

const FIGURE = "ms";

/**
 * Gives the spread of a figure.
 *
 * @param values - In milliseconds; undefined ones are left out.
 * @example
 * spreadOf([1.5, 2, undefined, 30]).max; // 30
 */
export function spreadOf(values: readonly (number | undefined)[]): Spread {
    const table = new HistogramTable(1);
    for (const value of values) {
        if (value !== undefined) table.record(FIGURE, value);
    }
    const [row] = table.list();
    if (!row) return { p50: 0, p95: 0, p99: 0, max: 0 };
    const { p50, p95, p99, max } = row;
    return { p50, p95, p99, max };
}
