import { HistogramTable } from "../../metrics/index.js";

/** Percentiles of durations, in milliseconds; 0 without values. */
export interface Percentiles {
    readonly p50: number;
    readonly p95: number;
    readonly p99: number;
    readonly max: number;
}

const METRIC_NAME = "ms";

/**
 * Computes the percentiles of durations.
 *
 * @param values - In milliseconds; undefined ones are left out.
 * @example
 * computePercentiles([1.5, 2, undefined, 30]).max; // 30
 */
export function computePercentiles(values: readonly (number | undefined)[]): Percentiles {
    const table = new HistogramTable(1);
    for (const value of values) {
        if (value !== undefined) table.record(METRIC_NAME, value);
    }
    const [row] = table.list();
    if (!row) return { p50: 0, p95: 0, p99: 0, max: 0 };
    const { p50, p95, p99, max } = row;
    return { p50, p95, p99, max };
}
