/** What a figure belongs to. */
export type MetricTags = Readonly<Record<string, string>>;

/**
 * Takes figures about the running process.
 *
 * @example
 * metrics.histogram("first_token_ms", 312, { workspace: "depot", class: "interactive" });
 */
export abstract class Metrics {
    /** Adds to a counter. */
    abstract count(name: string, by: number, tags?: MetricTags): void;
    /** Sets a level. */
    abstract gauge(name: string, value: number, tags?: MetricTags): void;
    /** Adds a value to a distribution; kept in this process too, so that the operator tool can show it. */
    abstract histogram(name: string, value: number, tags?: MetricTags): void;
}
