import { Either, Left, Right } from "purify-ts";
import { ByteBuffer } from "../byteBuffer/index.js";
import { HeaderList } from "../http/index.js";

/** The status and the headers of a response. */
export interface ResponseHead {
    readonly status: number;
    readonly headers: HeaderList;
    /** The fields as they were received, without line ends. */
    readonly lines: readonly string[];
}

const LINE_END = "\r\n";
const HEAD_END = "\r\n\r\n";
/** Maximum size of a head, in bytes: more than Node's parser takes, which counts names and values alone. */
const MAX_HEAD_BYTES = 64 * 1024;
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;
const STATUS_SWITCHING_PROTOCOLS = 101;
const CR = 0x0d;
const LF = 0x0a;
/** A version, a status, and a reason without control bytes other than the tab (RFC 9112, section 4). */
const STATUS_LINE = /^HTTP\/1\.[01] ([1-5]\d\d)(?: [\t\x20-\x7e\x80-\xff]*)?$/;
/** A token, a colon, and a value without control bytes other than the tab (RFC 9110, sections 5.1 and 5.5). */
const FIELD_LINE = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*$/;
const WHITESPACE: ReadonlySet<string> = new Set([" ", "\t"]);

/**
 * Takes the first final head off the bytes that a connection has received. Interim heads before it are dropped.
 *
 * Prevents a wrong head from passing on a version of Node.js whose parser is tolerant: it may take an invalid line for another
 * field or for a part of the one before, or end the head there, so that headers and body are not those that were sent. Folded lines are
 * refused as well (RFC 9112, section 5.2): other readers may take them for fields.
 *
 * @returns The head; undefined while it is not whole. Left: why the bytes are no response.
 * @example
 * received.append(chunk);
 * const head = takeResponseHead(received);
 */
export function takeResponseHead(received: ByteBuffer): Either<string, ResponseHead | undefined> {
    for (;;) {
        skipEmptyLines(received);
        const bytes = received.view().subarray(0, MAX_HEAD_BYTES);
        const end = bytes.indexOf(HEAD_END);
        if (end < 0) return bytes.length < MAX_HEAD_BYTES ? Right(undefined) : Left("a head that is too large");
        const parsed = parseHead(bytes.toString("latin1", 0, end));
        if (parsed.isLeft()) return parsed;
        received.take(end + HEAD_END.length);
        const head = parsed.unsafeCoerce();
        if (head.status === STATUS_SWITCHING_PROTOCOLS) return Left("a change of protocol that was not requested");
        if (head.status >= MIN_FINAL_STATUS) return Right(head);
    }
}

/** Skips line ends before a status line, as Node's parser does. */
function skipEmptyLines(received: ByteBuffer): void {
    const bytes = received.view();
    const start = bytes.findIndex(byte => byte !== CR && byte !== LF);
    if (start !== 0) received.take(start < 0 ? bytes.length : start);
}

function parseHead(text: string): Either<string, ResponseHead> {
    const [statusLine, ...lines] = text.split(LINE_END);
    const status = STATUS_LINE.exec(statusLine)?.[1];
    if (status === undefined) return Left("an invalid status line");
    if (!lines.every(isFieldLine)) return Left("an invalid header field");
    return Right({ status: Number(status), headers: lines.map(splitField), lines });
}

/**
 * Whether a line of a head, or of trailers, is a valid field.
 *
 * @param line - Without its line end, one character for each byte.
 * @example
 * if (!isFieldLine(line)) return Left("an invalid trailer field");
 */
export function isFieldLine(line: string): boolean {
    return FIELD_LINE.test(line);
}

/**
 * Whether a head that another process has read is valid: a final status, and valid fields.
 *
 * @param head - Decoded from that process's message.
 * @example
 * if (!isResponseHead(answer)) return new HttpError("malformed", true, "an invalid head");
 */
export function isResponseHead({ status, headers }: { readonly status: unknown; readonly headers: unknown; }): boolean {
    const isFinal = Number.isInteger(status) && Number(status) >= MIN_FINAL_STATUS && Number(status) <= MAX_STATUS;
    return isFinal && Array.isArray(headers) && headers.every(isField);
}

function isField(field: unknown): boolean {
    if (!Array.isArray(field) || field.length !== 2) return false;
    const [name, value] = field;
    return typeof name === "string" && typeof value === "string" && isFieldLine(`${name}:${value}`);
}

function splitField(line: string): [name: string, value: string] {
    const colon = line.indexOf(":");
    return [line.slice(0, colon).toLowerCase(), trimWhitespace(line.slice(colon + 1))];
}

/** Removes the whitespace that HTTP allows around a value. `trim` would remove bytes beyond ASCII that belong to it. */
function trimWhitespace(text: string): string {
    let start = 0;
    let end = text.length;
    while (start < end && WHITESPACE.has(text[start])) start++;
    while (end > start && WHITESPACE.has(text[end - 1])) end--;
    return text.slice(start, end);
}
