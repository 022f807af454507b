import { Metrics } from "../metrics/index.js";

/** Discards all metrics; for tests and benchmarks. */
export class NoMetrics extends Metrics {
    count(): void {}
    gauge(): void {}
    histogram(): void {}
}
