/** How a sound upstream writes the events of a run, as the media type allows it. */
export interface StreamStyle {
    readonly name: string;
    /** Lines of an event between its id and its data. */
    readonly linesBefore: readonly string[];
    /** Lines of an event behind its first line of data. */
    readonly linesBehind: readonly string[];
    /** Id of the first event. */
    readonly firstId: number;
    /** What each id adds to the one before. */
    readonly step: number;
}

const PLAIN: StreamStyle = { name: "plain", linesBefore: [], linesBehind: [], firstId: 1, step: 1 };
const LONG_TEXT_LINES = 39;

/** All styles; a run has one of them at each upstream. */
export const STREAM_STYLES: readonly StreamStyle[] = [
    PLAIN,
    { ...PLAIN, name: "two-data-lines", linesBehind: ["data: second line"] },
    { ...PLAIN, name: "many-data-lines", linesBehind: Array.from({ length: LONG_TEXT_LINES }, () => "data: line") },
    { ...PLAIN, name: "all-fields", linesBefore: ["event: part", "retry: 100"] },
    { ...PLAIN, name: "unknown-fields", linesBefore: ["note: x"], linesBehind: ["meta: y"] },
    { ...PLAIN, name: "by-4", firstId: 4, step: 4 },
    { ...PLAIN, name: "from-1-by-4", step: 4 },
    { ...PLAIN, name: "from-0", firstId: 0 },
    { ...PLAIN, name: "from-1000", firstId: 1_000 },
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

/** Returns the id of the event with a number, from 1. */
export function idOf({ firstId, step }: StreamStyle, number: number): number {
    return firstId + (number - 1) * step;
}

/** Returns the number of the event with an id. */
export function numberOf({ firstId, step }: StreamStyle, id: number): number {
    return (id - firstId) / step + 1;
}
