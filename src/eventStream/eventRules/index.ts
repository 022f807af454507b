/** A field that an event may have before all others. */
export interface FirstField {
    readonly name: string;
    readonly value: RegExp;
}

/** What a dialect promises of the events of a stream, beside the format of server-sent events. */
export interface EventRules {
    /** Whether no event of a stream needs an id. Where events have ids, these are numbers that rise in equal steps. */
    readonly mayOmitIds: boolean;
    /** Undefined: none. */
    readonly firstField?: FirstField;
}
