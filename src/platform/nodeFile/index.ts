/** Content of a machine's settings file: dotted names and their values as text. */
export type NodeFile = ReadonlyMap<string, string>;

/**
 * Parses the platform's settings format, lines of `a.b=value`. Other lines are ignored, since newer versions of the platform
 * may add some.
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
