import { isUtf8 } from "node:buffer";
import { Either, Left, Right } from "purify-ts";
import { EventError } from "../eventError/index.js";
import { EventRules, FirstField } from "../eventRules/index.js";

const LINE_END_PATTERN = /\r\n|\r|\n/;
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
    readonly value: string;
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
    if (!fields.every(isField)) return reject("a line that is no field of an event");
    return checkFields(fields).map(event => ({ ...event, enclosedIds: findEnclosedIds(lines) }));
}

function splitLines(text: string): string[] {
    return text.includes("\r") ? text.split(LINE_END_PATTERN) : text.split("\n");
}

function parseField(line: string): Field {
    const colonAt = line.indexOf(":");
    if (colonAt < 0) return { name: line, value: "" };
    return { name: line.slice(0, colonAt), value: line.slice(line[colonAt + 1] === " " ? colonAt + 2 : colonAt + 1) };
}

function isFirstField({ name, value }: Field, first: FirstField): boolean {
    return name === first.name && first.value.test(value);
}

function isField({ name, value }: Field): boolean {
    if (name === "retry") return /^\d+$/.test(value);
    return name === "data" || name === "id" || name === "event";
}

function checkFields(fields: readonly Field[]): Either<EventError, Omit<ParsedEvent, "enclosedIds">> {
    const ids = fields.filter(({ name }) => name === "id");
    const types = fields.filter(({ name }) => name === "event");
    const hasData = fields.some(({ name }) => name === "data");
    if (ids.length > 1) return reject("an event with several ids");
    if (types.length > 1) return reject("an event with several types");
    const isComment = ids.length + types.length === 0 && !hasData;
    if (!hasData && !isComment) return reject("an event without data");
    return Right({ isComment, id: ids.at(0)?.value });
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
