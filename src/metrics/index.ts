/** Counters, gauges and histograms, sent as StatsD, rendered for Prometheus or kept in the process. */
export * from "./histogramTable/index.js";
export * from "./metrics/index.js";
export * from "./noMetrics/index.js";
export * from "./promMetrics/index.js";
export * from "./statsdMetrics/index.js";
