import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { Metrics, MetricTags } from "../metrics/index.js";

/** Upper bounds of the histogram buckets, in milliseconds: from a local network hop to the longest response. */
const BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 400, 600, 1_000, 1_500, 2_500, 5_000, 10_000];
const PREFIX = "sequoiamux_";

/**
 * Keeps metrics in the Prometheus text format, for a collector that scrapes them over HTTP.
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

    /** Media type of the text that `render` returns. */
    get contentType(): string {
        return this.registry.contentType;
    }

    count(name: string, by: number, tags: MetricTags = {}): void {
        const counter = this.findOrMake(this.counters, name, tags, options => new Counter(options));
        counter.inc({ ...tags }, by);
    }

    gauge(name: string, value: number, tags: MetricTags = {}): void {
        const gauge = this.findOrMake(this.gauges, name, tags, options => new Gauge(options));
        gauge.set({ ...tags }, value);
    }

    histogram(name: string, value: number, tags: MetricTags = {}): void {
        const make = (options: MetricOptions): Histogram => new Histogram({ ...options, buckets: BUCKETS_MS });
        this.findOrMake(this.histograms, name, tags, make).observe({ ...tags }, value);
    }

    /** Returns all metrics as text. */
    render(): Promise<string> {
        return this.registry.metrics();
    }

    /** Returns the metric with a name and these labels, creating it on first use. Its full name has the labels' names. */
    private findOrMake<Metric>(
        existing: Map<string, Metric>,
        name: string,
        tags: MetricTags,
        make: (options: MetricOptions) => Metric,
    ): Metric {
        const labels = Object.keys(tags).sort();
        const fullName = `${PREFIX}${name}${labels.length > 0 ? `_by_${labels.join("_")}` : ""}`;
        const found = existing.get(fullName);
        if (found) return found;
        const made = make({ name: fullName, help: name, labelNames: labels, registers: [this.registry] });
        existing.set(fullName, made);
        return made;
    }
}

/** Constructor options that all kinds of metric share. */
interface MetricOptions {
    readonly name: string;
    readonly help: string;
    readonly labelNames: string[];
    readonly registers: Registry[];
}
