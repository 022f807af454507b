/** How a sound upstream writes the events of a run, as the media type allows it. */
export interface StreamStyle {
    readonly name: string;
    /** Lines of an event between its id and its data. */
    readonly linesBefore: readonly string[];
    /** Lines of an event behind its first line of data. */
    readonly linesBehind: readonly string[];
}

const PLAIN: StreamStyle = { name: "plain", linesBefore: [], linesBehind: [] };
const LONG_TEXT_LINES = 39;

/** All styles; a run has one of them at each upstream. */
export const STREAM_STYLES: readonly StreamStyle[] = [
    PLAIN,
    { ...PLAIN, name: "two-data-lines", linesBehind: ["data: second line"] },
    { ...PLAIN, name: "many-data-lines", linesBehind: Array.from({ length: LONG_TEXT_LINES }, () => "data: line") },
    { ...PLAIN, name: "all-fields", linesBefore: ["event: part", "retry: 100"] },
    { ...PLAIN, name: "unknown-fields", linesBefore: ["note: x"], linesBehind: ["meta: y"] },
];

/**
 * Finds a style by its name.
 *
 * @returns The plain style for any other name.
 * @example
 * const { linesBehind } = findStreamStyle("two-data-lines");
 */
export function findStreamStyle(name: string): StreamStyle {
    return STREAM_STYLES.find(style => style.name === name) ?? PLAIN;
}
