import { StatsD } from "hot-shots";
import { Address } from "../../ports/index.js";
import { HistogramRow, HistogramTable } from "../histogramTable/index.js";
import { Metrics, MetricTags } from "../metrics/index.js";

/** Options of `StatsdMetrics`. */
export interface StatsdMetricsOptions {
    /** Address of the StatsD server; undefined: nothing is sent, but histograms are kept. */
    readonly address: Address | undefined;
    /** Prefix of each metric's name. */
    readonly prefix: string;
    /** Tags added to each metric, such as host and role. */
    readonly tags: MetricTags;
    /** Maximum number of histogram series kept in the process. */
    readonly maxSeries: number;
    /** Called when packets can't be sent. */
    readonly onError: (err: Error) => void;
}

/** Maximum payload of a packet; fits an Ethernet frame, so that packets are not fragmented. */
const MAX_PACKET_BYTES = 1_400;
const FLUSH_INTERVAL_MS = 1_000;

/**
 * Sends metrics as StatsD packets through hot-shots, and also keeps the histograms in the process.
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
        this.table = new HistogramTable(options.maxSeries);
        if (!options.address) return;
        this.client = new StatsD({
            host: options.address.host,
            port: options.address.port,
            prefix: options.prefix,
            globalTags: { ...options.tags },
            maxBufferSize: MAX_PACKET_BYTES,
            bufferFlushInterval: FLUSH_INTERVAL_MS,
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

    /** Returns the histograms since the process started, for the operator tool. */
    listHistograms(): HistogramRow[] {
        return this.table.list();
    }

    /** Sends the buffered metrics and closes the socket. */
    close(): Promise<void> {
        const { client } = this;
        if (!client) return Promise.resolve();
        return new Promise(resolve => client.close(() => resolve()));
    }
}
