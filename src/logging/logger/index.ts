/** Fields of a log line besides time, level, host, role and event. Must not contain keys or request bodies. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/**
 * Writes one JSON line for each event.
 *
 * @example
 * logger.info("upstream-joined", { upstream: "engine-3" });
 */
export abstract class Logger {
    abstract debug(event: string, fields?: LogFields): void;
    abstract info(event: string, fields?: LogFields): void;
    abstract warn(event: string, fields?: LogFields): void;
    abstract error(event: string, fields?: LogFields): void;
}
