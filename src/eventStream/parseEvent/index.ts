import { isUtf8 } from "node:buffer";
import { Either, Left, Right } from "purify-ts";
import { EventError } from "../eventError/index.js";
import { EventRules } from "../eventRules/index.js";

const LINE_END_PATTERN = /\r\n|\r|\n/;

/** The parts of a block by which it is judged. */
export interface ParsedEvent {
    /** Whether it has neither an id nor data, and only comments or the time after which callers reconnect. */
    readonly isComment: boolean;
    readonly id: string | undefined;
}

interface FieldCounts {
    ids: string[];
    dataLines: number;
    eventLines: number;
}

/**
 * Parses a block of lines that ends with an empty one.
 *
 * @returns `malformed` for bytes that no sender of events writes.
 * @example
 * parseEvent(Buffer.from("id: 7\ndata: x\n\n"), rules).map(({ id }) => id);
 */
export function parseEvent(block: Buffer, rules: EventRules): Either<EventError, ParsedEvent> {
    if (!isUtf8(block)) return reject("bytes that are not UTF-8");
    const lines = splitLines(block.toString("latin1"));
    const fields = lines.filter(line => line !== "" && !line.startsWith(":"));
    if (fields.length > 0 && rules.firstLine?.test(fields[0])) fields.shift();
    const counts: FieldCounts = { ids: [], dataLines: 0, eventLines: 0 };
    for (const line of fields) {
        if (!countField(line, counts)) return reject("a line that is no field of an event");
    }
    return checkCounts(counts, rules);
}

function splitLines(text: string): string[] {
    return text.includes("\r") ? text.split(LINE_END_PATTERN) : text.split("\n");
}

/** @returns Whether the line is a field of an event. */
function countField(line: string, counts: FieldCounts): boolean {
    const colonAt = line.indexOf(":");
    const name = colonAt < 0 ? line : line.slice(0, colonAt);
    const value = colonAt < 0 ? "" : line.slice(line[colonAt + 1] === " " ? colonAt + 2 : colonAt + 1);
    if (name === "data") counts.dataLines++;
    else if (name === "id") counts.ids.push(value);
    else if (name === "event") counts.eventLines++;
    else return name === "retry" && /^\d+$/.test(value);
    return true;
}

function checkCounts({ ids, dataLines, eventLines }: FieldCounts, rules: EventRules): Either<EventError, ParsedEvent> {
    if (ids.length > 1) return reject("an event with several ids");
    if (eventLines > 1) return reject("an event with several types");
    if (dataLines > rules.maxDataLines) return reject(`an event with ${dataLines} data lines`);
    const isComment = ids.length + dataLines + eventLines === 0;
    if (dataLines === 0 && !isComment) return reject("an event without data");
    return Right({ isComment, id: ids.at(0) });
}

function reject(detail: string): Either<EventError, never> {
    return Left(new EventError("malformed", detail));
}
