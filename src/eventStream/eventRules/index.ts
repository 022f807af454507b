/** What a dialect promises of the events of a stream, beside the format of server-sent events. */
export interface EventRules {
    /** Whether no event of a stream needs an id. Where events have ids, these are consecutive numbers from 1. */
    readonly mayOmitIds: boolean;
    /** Maximum number of `data` lines of an event. */
    readonly maxDataLines: number;
    /** A line that an event may have before its fields; undefined: none. */
    readonly firstLine?: RegExp;
}
