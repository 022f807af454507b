import createDebug, { Debugger } from "debug";
import { HostId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";
import { LogFields, Logger } from "../logger/index.js";

/** Log levels in ascending order of severity. */
export const LOG_LEVELS = ["debug", "info", "warn", "error"] as const;
/** One of `LOG_LEVELS`. */
export type LogLevel = typeof LOG_LEVELS[number];

/** Options of `JsonLogger`. */
export interface JsonLoggerOptions {
    readonly host: HostId;
    readonly role: string;
    /** Minimum level that is written; the environment variable `DEBUG` enables further namespaces. */
    readonly level: LogLevel;
    readonly clock: Clock;
    /** Writes one line, passed without its line break; defaults to standard error. */
    readonly write?: (line: string) => void;
}

/** Fields that each line has. */
const RESERVED_FIELDS = ["time", "level", "host", "role", "event"];
/** Matches API keys, also with the underscore URL-encoded. */
const KEY_PATTERN = /sqx(_|%5f)[0-9a-f]{32,}/gi;
const REDACTED_KEY = "sqx_[redacted]";

/**
 * Writes JSON lines through `debug`, one namespace `sequoiamux:<role>:<level>` for each level.
 *
 * Redacts anything that looks like an API key, in a value, a field's name or the event. This is a second safeguard: callers
 * must not pass keys in the first place.
 *
 * @example
 * new JsonLogger({ host, role: "entry", level: "info", clock }).warn("peer-lost", { peer: "vogar-1" });
 */
export class JsonLogger extends Logger {
    private readonly outputs: Readonly<Record<LogLevel, Debugger>>;

    constructor(private readonly options: JsonLoggerOptions) {
        super();
        this.outputs = {
            debug: this.makeOutput("debug"),
            info: this.makeOutput("info"),
            warn: this.makeOutput("warn"),
            error: this.makeOutput("error"),
        };
    }

    debug(event: string, fields?: LogFields): void {
        this.write("debug", event, fields);
    }

    info(event: string, fields?: LogFields): void {
        this.write("info", event, fields);
    }

    warn(event: string, fields?: LogFields): void {
        this.write("warn", event, fields);
    }

    error(event: string, fields?: LogFields): void {
        this.write("error", event, fields);
    }

    private makeOutput(level: LogLevel): Debugger {
        const { role, level: minLevel, write = writeToStandardError } = this.options;
        const output = createDebug(`sequoiamux:${role}:${level}`);
        if (LOG_LEVELS.indexOf(level) >= LOG_LEVELS.indexOf(minLevel)) output.enabled = true;
        // `debug` adds time and namespace to the first argument; the second one has the unchanged line.
        output.log = (_prefix: string, line: string) => write(line);
        return output;
    }

    private write(level: LogLevel, event: string, fields: LogFields = {}): void {
        const output = this.outputs[level];
        if (!output.enabled) return;
        const { host, role, clock } = this.options;
        const time = new Date(clock.now()).toISOString();
        const line = JSON.stringify({ time, level, host, role, event, ...prefixReservedFields(fields) });
        output("", line.replace(KEY_PATTERN, REDACTED_KEY));
    }
}

/** Prefixes fields that have a reserved name with `field.`, so that both values are kept. */
function prefixReservedFields(fields: LogFields): LogFields {
    const names = Object.keys(fields);
    if (!names.some(name => RESERVED_FIELDS.includes(name))) return fields;
    return Object.fromEntries(
        names.map(name => [RESERVED_FIELDS.includes(name) ? `field.${name}` : name, fields[name]]),
    );
}

function writeToStandardError(line: string): void {
    process.stderr.write(`${line}\n`);
}
