import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { Metrics, MetricTags } from "../metrics/index.js";

/** Upper bounds of the histograms' buckets, in milliseconds: from a local hop to the longest answer. */
const BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 400, 600, 1_000, 1_500, 2_500, 5_000, 10_000];
const PREFIX = "sequoiamux_";

/**
 * Keeps figures for a collector that fetches them over HTTP as text.
 *
 * @example
 * const metrics = new PromMetrics();
 * metrics.count("calls", 1, { outcome: "answered" });
 * const text = await metrics.render();
 */
export class PromMetrics extends Metrics {
    private readonly registry = new Registry();
    private readonly counters = new Map<string, Counter>();
    private readonly gauges = new Map<string, Gauge>();
    private readonly histograms = new Map<string, Histogram>();

    /** The media type of what `render` gives. */
    get contentType(): string {
        return this.registry.contentType;
    }

    count(name: string, by: number, tags: MetricTags = {}): void {
        const counter = this.find(this.counters, name, tags, options => new Counter(options));
        counter.inc({ ...tags }, by);
    }

    gauge(name: string, value: number, tags: MetricTags = {}): void {
        const gauge = this.find(this.gauges, name, tags, options => new Gauge(options));
        gauge.set({ ...tags }, value);
    }

    histogram(name: string, value: number, tags: MetricTags = {}): void {
        const make = (options: MetricOptions): Histogram => new Histogram({ ...options, buckets: BUCKETS_MS });
        this.find(this.histograms, name, tags, make).observe({ ...tags }, value);
    }

    /** All figures as text. */
    render(): Promise<string> {
        return this.registry.metrics();
    }

    /** A name has the same labels each time; the first use says which. */
    private find<Kept>(
        known: Map<string, Kept>,
        name: string,
        tags: MetricTags,
        make: (options: MetricOptions) => Kept,
    ): Kept {
        const labels = Object.keys(tags).sort();
        const fullName = `${PREFIX}${name}${labels.length > 0 ? `_by_${labels.join("_")}` : ""}`;
        const found = known.get(fullName);
        if (found) return found;
        const made = make({ name: fullName, help: name, labelNames: labels, registers: [this.registry] });
        known.set(fullName, made);
        return made;
    }
}

interface MetricOptions {
    readonly name: string;
    readonly help: string;
    readonly labelNames: string[];
    readonly registers: Registry[];
}
