/** Labels of a metric's value. */
export type MetricTags = Readonly<Record<string, string>>;

/**
 * Records metrics of the running process.
 *
 * @example
 * metrics.histogram("first_token_ms", 312, { workspace: "depot", class: "interactive" });
 */
export abstract class Metrics {
    /** Increments a counter. */
    abstract count(name: string, by: number, tags?: MetricTags): void;
    /** Sets a gauge. */
    abstract gauge(name: string, value: number, tags?: MetricTags): void;
    /** Adds a value to a histogram, which is also kept in this process so that the operator tool can show it. */
    abstract histogram(name: string, value: number, tags?: MetricTags): void;
}
