import { isUtf8 } from "node:buffer";
import { Either, Left, Right } from "purify-ts";
import { EventError } from "../eventError/index.js";
import { EventRules, FirstField } from "../eventRules/index.js";

const LINE_END_PATTERN = /\r\n|\r|\n/;
/** Names of fields that other senders may add, and that readers ignore. */
const OTHER_FIELD_PATTERN = /^[a-z][\w.-]*$/i;
const STATUS_LINE_PATTERN = /HTTP\/1\.[01] \d{3}/;
const KNOWN_FIELDS: ReadonlySet<string> = new Set(["data", "id", "event", "retry"]);
const ID_AT_LINE_END_PATTERN = /id: ?(\d{1,15})$/;

/** The parts of a block by which it is judged. */
export interface ParsedEvent {
    /** Whether it has neither an id nor data, and only comments or the time after which callers reconnect. */
    readonly isComment: boolean;
    readonly id: string | undefined;
    /**
     * Ids that end a line of another field, with lines behind it: an event that lost its end in front of the next one looks like this, and so may
     * text.
     */
    readonly enclosedIds: readonly number[];
}

interface Field {
    readonly name: string;
    /** Undefined: the line has no colon. */
    readonly value: string | undefined;
}

/**
 * Parses a block of lines that ends with an empty one.
 *
 * @returns `malformed` for bytes that no sender of events writes.
 * @example
 * parseEvent(Buffer.from("id: 7\ndata: x\n\n"), rules).map(({ id }) => id);
 */
export function parseEvent(block: Buffer, { firstField }: EventRules): Either<EventError, ParsedEvent> {
    if (!isUtf8(block)) return reject("bytes that are not UTF-8");
    const lines = splitLines(block.toString("latin1")).filter(line => line !== "" && !line.startsWith(":"));
    const fields = lines.map(parseField);
    if (firstField && fields.length > 0 && isFirstField(fields[0], firstField)) fields.shift();
    if (!fields.every(field => isField(field, firstField))) return reject("a line that is no field of an event");
    if (fields.some((field, index) => isHeadOfAnswer(field, fields.at(index + 1)))) {
        return reject("the head of an answer");
    }
    return checkFields(fields).map(event => ({ ...event, enclosedIds: findEnclosedIds(lines) }));
}

function splitLines(text: string): string[] {
    return text.includes("\r") ? text.split(LINE_END_PATTERN) : text.split("\n");
}

function parseField(line: string): Field {
    const colonAt = line.indexOf(":");
    if (colonAt < 0) return { name: line, value: undefined };
    return { name: line.slice(0, colonAt), value: line.slice(line[colonAt + 1] === " " ? colonAt + 2 : colonAt + 1) };
}

function isFirstField({ name, value }: Field, first: FirstField): boolean {
    return name === first.name && value !== undefined && first.value.test(value);
}

function isField({ name, value }: Field, first: FirstField | undefined): boolean {
    if (name === "retry") return /^\d+$/.test(value ?? "");
    if (KNOWN_FIELDS.has(name)) return true;
    // A line without a colon is a field by the format as well, but any text is.
    return value !== undefined && OTHER_FIELD_PATTERN.test(name) && name !== first?.name;
}

/** Whether an answer's status line ends a field, and its headers, which look like fields, follow. */
function isHeadOfAnswer({ value }: Field, next: Field | undefined): boolean {
    return next !== undefined && !KNOWN_FIELDS.has(next.name) && STATUS_LINE_PATTERN.test(value ?? "");
}

function checkFields(fields: readonly Field[]): Either<EventError, Omit<ParsedEvent, "enclosedIds">> {
    const ids = fields.filter(({ name }) => name === "id");
    const types = fields.filter(({ name }) => name === "event");
    const hasData = fields.some(({ name }) => name === "data");
    const hasOther = fields.some(({ name }) => !KNOWN_FIELDS.has(name));
    if (ids.length > 1) return reject("an event with several ids");
    if (types.length > 1) return reject("an event with several types");
    const isComment = ids.length + types.length === 0 && !hasData && !hasOther;
    if (!hasData && !isComment) return reject("an event without data");
    return Right({ isComment, id: ids.length > 0 ? ids[0].value ?? "" : undefined });
}

function findEnclosedIds(lines: readonly string[]): number[] {
    return lines.slice(0, -1).flatMap(line => {
        const id = line.startsWith("id:") ? undefined : ID_AT_LINE_END_PATTERN.exec(line)?.[1];
        return id === undefined ? [] : [Number(id)];
    });
}

function reject(detail: string): Either<EventError, never> {
    return Left(new EventError("malformed", detail));
}
