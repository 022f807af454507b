/** A machine's settings file: names with dots, and their values as text. */
export type NodeFile = ReadonlyMap<string, string>;

/**
 * Reads the platform's settings format, lines of `a.b=value`. Lines of another form are left out: newer platforms may write more.
 *
 * @example
 * parseNodeFile("nodeName=edge-1\n").get("nodeName"); // "edge-1"
 */
export function parseNodeFile(text: string): NodeFile {
    const fields = new Map<string, string>();
    for (const line of text.split("\n")) {
        const equals = line.indexOf("=");
        if (equals > 0) fields.set(line.slice(0, equals).trim(), line.slice(equals + 1).trim());
    }
    return fields;
}
