// The one class that is used: the package's index also loads its WebAssembly, which costs 14 MB.
import int32Histogram from "hdr-histogram-js/dist/Int32Histogram.js";

/** Percentiles of one figure, in milliseconds; 0 where there is none. */
export interface Spread {
    readonly p50: number;
    readonly p95: number;
    readonly p99: number;
    readonly max: number;
}

const Histogram = int32Histogram.default;
/** Values are kept in hundredths, so that what lasts less than a millisecond is seen. */
const STEPS_PER_MS = 100;
const HIGHEST_MS = 3_600_000;
const SIGNIFICANT_DIGITS = 3;
const FIRST_RANGE = 1_024;

/**
 * Gives the spread of a figure.
 *
 * @param values - In milliseconds; undefined ones are left out.
 * @example
 * spreadOf([1.5, 2, undefined, 30]).max; // 30
 */
export function spreadOf(values: readonly (number | undefined)[]): Spread {
    const histogram = new Histogram(1, FIRST_RANGE, SIGNIFICANT_DIGITS);
    histogram.autoResize = true;
    for (const value of values) {
        if (value === undefined) continue;
        histogram.recordValue(Math.round(Math.min(Math.max(value, 0), HIGHEST_MS) * STEPS_PER_MS));
    }
    if (histogram.totalCount === 0) return { p50: 0, p95: 0, p99: 0, max: 0 };
    const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / STEPS_PER_MS;
    return { p50: at(50), p95: at(95), p99: at(99), max: histogram.maxValue / STEPS_PER_MS };
}
