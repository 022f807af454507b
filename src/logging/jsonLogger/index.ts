import createDebug, { Debugger } from "debug";
import { HostId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";
import { LogFields, Logger } from "../logger/index.js";

/** How much a line matters, the least first. */
export const LOG_LEVELS = ["debug", "info", "warn", "error"] as const;
/** One of `LOG_LEVELS`. */
export type LogLevel = typeof LOG_LEVELS[number];

/** What a logger is made of. */
export interface JsonLoggerOptions {
    readonly host: HostId;
    readonly role: string;
    /** The lowest level written; `DEBUG` in the environment adds namespaces to it. */
    readonly level: LogLevel;
    readonly clock: Clock;
    /** Takes one line without its end; standard error when left out. */
    readonly write?: (line: string) => void;
}

const OWN_NAMES = ["time", "level", "host", "role", "event"];
const KEY_PATTERN = /sqx(_|%5f)[0-9a-f]{32,}/gi;
const REDACTED_KEY = "sqx_[redacted]";

/**
 * Writes JSON lines through `debug`, one namespace `sequoiamux:<role>:<level>` for each level.
 *
 * Guards against a key in a log: whatever is shaped like one, in a value, a name or the event, is replaced. That is the
 * second guard; the first is that no caller of this class passes a key.
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
        const { role, level: lowest, write = writeToStandardError } = this.options;
        const output = createDebug(`sequoiamux:${role}:${level}`);
        if (LOG_LEVELS.indexOf(level) >= LOG_LEVELS.indexOf(lowest)) output.enabled = true;
        // `debug` puts time and namespace into the first argument; the line goes in the second, as it is.
        output.log = (_prefix: string, line: string) => write(line);
        return output;
    }

    private write(level: LogLevel, event: string, fields: LogFields = {}): void {
        const output = this.outputs[level];
        if (!output.enabled) return;
        const { host, role, clock } = this.options;
        const time = new Date(clock.now()).toISOString();
        const line = JSON.stringify({ time, level, host, role, event, ...renameOwnNames(fields) });
        output("", line.replace(KEY_PATTERN, REDACTED_KEY));
    }
}

/** A field named like one of the line's own gets `field.` before its name, so that neither hides the other. */
function renameOwnNames(fields: LogFields): LogFields {
    const names = Object.keys(fields);
    if (!names.some(name => OWN_NAMES.includes(name))) return fields;
    return Object.fromEntries(names.map(name => [OWN_NAMES.includes(name) ? `field.${name}` : name, fields[name]]));
}

function writeToStandardError(line: string): void {
    process.stderr.write(`${line}\n`);
}
