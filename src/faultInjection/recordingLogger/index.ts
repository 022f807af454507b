import { LogFields, Logger } from "../../logging/index.js";

/** A log line, without its time and its host. */
export interface RecordedLine extends LogFields {
    readonly event: string;
}

/**
 * Keeps log lines, so that tests can check what processes decided.
 *
 * @example
 * const rested = logger.list("upstream-rested");
 */
export class RecordingLogger extends Logger {
    private readonly lines: RecordedLine[] = [];

    debug(event: string, fields?: LogFields): void {
        this.lines.push({ ...fields, event });
    }

    info(event: string, fields?: LogFields): void {
        this.lines.push({ ...fields, event });
    }

    warn(event: string, fields?: LogFields): void {
        this.lines.push({ ...fields, event });
    }

    error(event: string, fields?: LogFields): void {
        this.lines.push({ ...fields, event });
    }

    /** Returns the lines of an event, in order. */
    list(event: string): RecordedLine[] {
        return this.lines.filter(line => line.event === event);
    }
}
