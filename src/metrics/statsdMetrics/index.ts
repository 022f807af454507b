import { StatsD } from "hot-shots";
import { Address } from "../../ports/index.js";
import { HistogramRow, HistogramTable } from "../histogramTable/index.js";
import { Metrics, MetricTags } from "../metrics/index.js";

/** What the metrics of a process are made of. */
export interface StatsdMetricsOptions {
    /** Where the packets go; undefined: nowhere, and histograms are kept all the same. */
    readonly address: Address | undefined;
    /** Put before each name. */
    readonly prefix: string;
    /** Put on each figure, such as host and role. */
    readonly tags: MetricTags;
    /** How many histograms are kept in the process. */
    readonly series: number;
    /** Told when packets can't be sent. */
    readonly onError: (err: Error) => void;
}

/** Fits an Ethernet frame, so that a packet is never split. */
const PACKET_BYTES = 1_400;
const FLUSH_MS = 1_000;

/**
 * Sends figures as StatsD packets through hot-shots, and keeps the histograms in the process too.
 *
 * @example
 * const metrics = new StatsdMetrics(options);
 * lifecycle.own(() => metrics.close());
 */
export class StatsdMetrics extends Metrics {
    private readonly client: StatsD | undefined;
    private readonly table: HistogramTable;

    constructor(options: StatsdMetricsOptions) {
        super();
        this.table = new HistogramTable(options.series);
        if (!options.address) return;
        this.client = new StatsD({
            host: options.address.host,
            port: options.address.port,
            prefix: options.prefix,
            globalTags: { ...options.tags },
            maxBufferSize: PACKET_BYTES,
            bufferFlushInterval: FLUSH_MS,
            errorHandler: options.onError,
        });
    }

    count(name: string, by: number, tags?: MetricTags): void {
        this.client?.increment(name, by, { ...tags });
    }

    gauge(name: string, value: number, tags?: MetricTags): void {
        this.client?.gauge(name, value, { ...tags });
    }

    histogram(name: string, value: number, tags?: MetricTags): void {
        this.table.record(name, value, tags);
        this.client?.histogram(name, value, { ...tags });
    }

    /** The histograms since the process started, for the operator tool. */
    listHistograms(): HistogramRow[] {
        return this.table.list();
    }

    /** Sends what waits, and ends. */
    close(): Promise<void> {
        const { client } = this;
        if (!client) return Promise.resolve();
        return new Promise(resolve => client.close(() => resolve()));
    }
}
