/** What a caller reads out of the body of a stream. */
export interface ReadStream {
    /** The lines of each block up to an empty line, without comments. */
    readonly events: readonly (readonly string[])[];
    /** Lines behind the last empty line, without comments. */
    readonly rest: readonly string[];
}

const BYTE_ORDER_MARK = "\xef\xbb\xbf";
const LINE_END = /\r\n|\r|\n/;

/**
 * Reads a body as the standard of server-sent events says: a line ends with CRLF, LF or CR, a byte-order mark may stand at the beginning,
 * lines that begin with a colon are comments.
 *
 * @param body - One character per byte.
 * @example
 * const { events } = readEvents("id: 1\ndata: a\n\n"); // [["id: 1", "data: a"]]
 */
export function readEvents(body: string): ReadStream {
    const text = body.startsWith(BYTE_ORDER_MARK) ? body.slice(BYTE_ORDER_MARK.length) : body;
    const lines = text.split(LINE_END);
    const last = lines.pop()!;
    const events: string[][] = [];
    const block: string[] = [];
    for (const line of lines) {
        if (line.startsWith(":")) continue;
        if (line !== "") block.push(line);
        else if (block.length > 0) events.push(block.splice(0));
    }
    return { events, rest: last === "" || last.startsWith(":") ? block : [...block, last] };
}
