import { Metrics } from "../metrics/index.js";

/** Takes figures and drops them; for tests and benchmarks. */
export class NoMetrics extends Metrics {
    count(): void {}
    gauge(): void {}
    histogram(): void {}
}
