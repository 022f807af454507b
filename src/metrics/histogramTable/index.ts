// The one class that is used: the package's index also loads its WebAssembly and encodings, 16.4 MB resident against 2.6.
import int32Histogram from "hdr-histogram-js/dist/Int32Histogram.js";
import { MetricTags } from "../metrics/index.js";

/** The spread of one figure for one set of tags. Values in the unit of the name's ending (`_ms`: milliseconds). */
export interface HistogramRow {
    readonly name: string;
    readonly tags: MetricTags;
    readonly count: number;
    readonly p50: number;
    readonly p90: number;
    readonly p95: number;
    readonly p99: number;
    readonly max: number;
}

const Int32Histogram = int32Histogram.default;

interface Series {
    readonly name: string;
    readonly tags: MetricTags;
    readonly histogram: InstanceType<typeof Int32Histogram>;
}

/** Values are kept in tenths, so that a wait below a millisecond is seen. */
const STEPS_PER_UNIT = 10;
const HIGHEST_VALUE = 3_600_000;
const FIRST_RANGE = 1_024;
const SIGNIFICANT_DIGITS = 2;
/** The tags of what comes beyond the bound on series. */
const OVERFLOW_TAGS: MetricTags = { series: "others" };

/**
 * Histograms by name and tags, in the process.
 *
 * Guards against memory that grows with workspaces: beyond `mostSeries`, new sets of tags are counted together, in one
 * series `series=others` for each name.
 *
 * @example
 * table.record("wait_ms", 12.5, { workspace: "depot", class: "interactive" });
 */
export class HistogramTable {
    private readonly series = new Map<string, Series>();

    /** @param mostSeries - How many sets of name and tags are told apart. */
    constructor(private readonly mostSeries: number) {}

    /** Adds a value; one below 0 or beyond an hour counts as the bound. */
    record(name: string, value: number, tags: MetricTags = {}): void {
        if (!Number.isFinite(value)) return;
        const bounded = Math.min(Math.max(value, 0), HIGHEST_VALUE);
        this.find(name, tags).histogram.recordValue(Math.round(bounded * STEPS_PER_UNIT));
    }

    /** All series, by name and tags. */
    list(): HistogramRow[] {
        return [...this.series.entries()].sort(([a], [b]) => a < b ? -1 : 1).map(([, series]) => toRow(series));
    }

    private find(name: string, tags: MetricTags): Series {
        const key = makeKey(name, tags);
        const known = this.series.get(key);
        if (known) return known;
        if (this.series.size < this.mostSeries || tags === OVERFLOW_TAGS) return this.add(key, name, tags);
        return this.find(name, OVERFLOW_TAGS);
    }

    private add(key: string, name: string, tags: MetricTags): Series {
        const histogram = new Int32Histogram(1, FIRST_RANGE, SIGNIFICANT_DIGITS);
        histogram.autoResize = true;
        const series = { name, tags, histogram };
        this.series.set(key, series);
        return series;
    }
}

function makeKey(name: string, tags: MetricTags): string {
    const parts = Object.keys(tags).sort().map(tag => `${tag}=${tags[tag]}`);
    return [name, ...parts].join("\n");
}

function toRow({ name, tags, histogram }: Series): HistogramRow {
    const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / STEPS_PER_UNIT;
    const max = histogram.maxValue / STEPS_PER_UNIT;
    return { name, tags, count: histogram.totalCount, p50: at(50), p90: at(90), p95: at(95), p99: at(99), max };
}
