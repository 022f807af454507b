import { isUtf8 } from "node:buffer";

const PRINTABLE_ASCII_PATTERN = /^[\x20-\x7e]*$/;
/** Characters that end a header or that HTTP forbids in its value. */
const FORBIDDEN_PATTERN = /[\x00-\x1f\x7f]/;
const SURROUNDING_BLANK_PATTERN = /^ | $/;

/**
 * Encodes a text as the value of a header: its bytes in UTF-8, one character for each, as HTTP headers hold them.
 *
 * @example
 * headers.push(["x-workspace", encodeHeaderText(workspace)]);
 */
export function encodeHeaderText(text: string): string {
    return PRINTABLE_ASCII_PATTERN.test(text) ? text : Buffer.from(text).toString("latin1");
}

/**
 * Decodes the value of a header, as UTF-8, or as Latin-1 where its bytes are not UTF-8.
 *
 * @example
 * const key = decodeHeaderText(findHeader(headers, "x-key") ?? "");
 */
export function decodeHeaderText(value: string): string {
    if (PRINTABLE_ASCII_PATTERN.test(value)) return value;
    const bytes = Buffer.from(value, "latin1");
    return isUtf8(bytes) ? bytes.toString() : value;
}

/**
 * Whether a text arrives unchanged as the value of a header: without control characters, blanks at its ends, and halves of characters.
 *
 * @example
 * if (!isHeaderText(name)) throw new Error("the name can't be sent in a header");
 */
export function isHeaderText(text: string): boolean {
    return text !== "" && !FORBIDDEN_PATTERN.test(text) && !SURROUNDING_BLANK_PATTERN.test(text) && isWellFormed(text);
}

/** Whether a text has no half of a surrogate pair, which no encoding can hold. */
function isWellFormed(text: string): boolean {
    return Buffer.from(text).toString() === text;
}
