import { Framing, RawStream } from "../../formatRawStream/index.js";
import { idOf, StreamStyle } from "../streamStyles/index.js";

/** A stream as an upstream was asked for it. */
export interface AskedStream {
    /** Name of the run; its events are the same at each upstream. */
    readonly run: string;
    /** Number of events of the whole run. */
    readonly total: number;
    /** Number of the first event that is asked for, from 1. */
    readonly from: number;
    /** Whether its route may be resumed. */
    readonly isResumable: boolean;
    readonly style: StreamStyle;
}

/** What determines the events of a run. */
export type RunOfEvents = Pick<AskedStream, "run" | "total" | "style">;

/** A kind of stream that a raw upstream sends. */
export interface StreamShape {
    readonly name: string;
    /** Whether the upstream breaks its promise: the events asked for, in order, and then the end. */
    readonly isFaulty: boolean;
    /** Undefined: all. */
    readonly framings?: readonly Framing[];
    /** Whether it only makes a difference to a stream that goes on behind an event. */
    readonly isForResumptions?: boolean;
    /** Whether all events asked for come first. */
    readonly isBehindLastEvent?: boolean;
    /** Whether an event with a number can be spoilt in this way. Undefined: each can. */
    readonly isFitting?: (asked: AskedStream, at: number) => boolean;
    /**
     * Makes the stream.
     *
     * @param at - Number of the event that is spoilt.
     */
    readonly make: (asked: AskedStream, at: number, framing: Framing) => Omit<RawStream, "id" | "framing">;
}

/** Returns the lines of an event, which prove its run and its number. */
export function listEventLines({ run, total, style }: RunOfEvents, number: number): string[] {
    return [
        `id: ${idOf(style, number)}`,
        ...style.linesBefore,
        `data: ${run} event ${number} of ${total}`,
        ...style.linesBehind,
    ];
}

const BYTE_ORDER_MARK = "\xef\xbb\xbf";
const INVALID_UTF8 = "\xff\xfe\xc3(";

/** All kinds of streams. */
export const STREAM_SHAPES: readonly StreamShape[] = [
    sound("whole", asked => ({ parts: listEvents(asked) })),
    sound("comment before an event", instead((asked, at) => `: note\n${event(asked, at)}`)),
    sound("comment between events", instead((asked, at) => `: note\n\n${event(asked, at)}`)),
    sound("CRLF line ends", asked => ({ parts: listEvents(asked).map(text => text.replaceAll("\n", "\r\n")) })),
    sound("empty lines between events", instead((asked, at) => `\n\n${event(asked, at)}`)),
    sound("CR line ends", asked => ({ parts: listEvents(asked).map(text => text.replaceAll("\n", "\r")) })),
    sound("byte-order mark", asked => ({ parts: [BYTE_ORDER_MARK, ...listEvents(asked)] })),
    {
        ...sound("trailers", asked => ({ parts: listEvents(asked), trailers: ["x-note: 1", "id: 99"] })),
        framings: ["chunked"],
    },
    {
        ...sound("second answer behind the marked end", asked => ({
            parts: listEvents(asked),
            behind: secondAnswer(asked),
        })),
        framings: ["chunked", "length"],
    },
    faulty("garbage for an event", instead(() => "garbage\n\n")),
    faulty("empty id", instead(asked => `id:\ndata: ${asked.run}\n\n`)),
    faulty("id that is no number", instead(asked => `id: x7\ndata: ${asked.run}\n\n`)),
    {
        ...faulty("event without id", instead((asked, at) => `${listEventLines(asked, at).slice(1).join("\n")}\n\n`)),
        // Streams that can't be resumed may have no ids, so that a first event without one is no fault.
        isFitting: ({ isResumable }, at) => isResumable || at > 1,
    },
    faulty("invalid UTF-8 for an event", instead(() => `${INVALID_UTF8}\n\n`)),
    faulty(
        "two ids in an event",
        instead((asked, at) => `${idLine(asked, at)}\n${idLine(asked, at + 5)}\ndata: ${asked.run}\n\n`),
    ),
    faulty(
        "id behind a lone CR",
        instead((asked, at) => `${idLine(asked, at)}\ndata: ${asked.run}\r${idLine(asked, at + 5)}\n\n`),
    ),
    faulty("event once more", instead((asked, at) => event(asked, at) + event(asked, at))),
    faulty("first event once more", instead((asked, at) => event(asked, at) + event(asked, 1))),
    {
        ...faulty("gap", instead((asked, at) => event(asked, at + 1))),
        // A stream that lacks its first event can't be told from one that begins there, but for streams that begin at 1 or at their step.
        isFitting: ({ style: { firstId, step } }, at) => at > 1 || firstId === (step === 1 ? 1 : step),
    },
    faulty("second answer for an event", endWith(asked => secondAnswer(asked))),
    faulty("half an event, then the end", endWith(halfEvent)),
    faulty("half an event, then a second answer", endWith((asked, at) => halfEvent(asked, at) + secondAnswer(asked))),
    faulty("half an event, then the next ones", instead(halfEvent)),
    faulty("half an event, then itself", instead((asked, at) => halfEvent(asked, at) + event(asked, at))),
    faulty("id line, then the end", endWith((asked, at) => `${listEventLines(asked, at)[0]}\n`)),
    faulty("connection closed within an event", (asked, at) => ({
        parts: [...listEvents(asked, at), halfEvent(asked, at)],
        breaksOff: true,
        excessLength: 1,
    })),
    behindLastEvent("second answer behind the last event", asked => ({
        parts: [...listEvents(asked), secondAnswer(asked)],
    })),
    behindLastEvent("bytes behind the last event", asked => ({ parts: [...listEvents(asked), "garbage"] })),
    behindLastEvent("garbage behind the last event", asked => ({ parts: [...listEvents(asked), "garbage\n\n"] })),
    {
        ...behindLastEvent("stated length too long", asked => ({ parts: listEvents(asked), excessLength: 7 })),
        framings: ["length"],
    },
    {
        ...faulty("stated length too short", asked => ({ parts: listEvents(asked), excessLength: -7 })),
        framings: ["length"],
    },
    {
        ...faulty("no event", () => ({ parts: [] })),
        // Streams that can't be resumed may have no events.
        isFitting: ({ isResumable }) => isResumable,
    },
    { ...faulty("begins at 1", asked => ({ parts: listEvents({ ...asked, from: 1 }) })), isForResumptions: true },
];

function sound(name: string, make: StreamShape["make"]): StreamShape {
    return { name, make, isFaulty: false };
}

function faulty(name: string, make: StreamShape["make"]): StreamShape {
    return { name, make, isFaulty: true };
}

function behindLastEvent(name: string, make: StreamShape["make"]): StreamShape {
    return { ...faulty(name, make), isBehindLastEvent: true };
}

/** Sends a text in place of an event, and then the events behind it. */
function instead(makeText: (asked: AskedStream, at: number) => string): StreamShape["make"] {
    return (asked, at) => ({
        parts: [...listEvents(asked, at), makeText(asked, at), ...listEvents({ ...asked, from: at + 1 })],
    });
}

/** Sends a text in place of an event and of all events behind it. */
function endWith(makeText: (asked: AskedStream, at: number) => string): StreamShape["make"] {
    return (asked, at) => ({ parts: [...listEvents(asked, at), makeText(asked, at)] });
}

function idLine({ style }: AskedStream, number: number): string {
    return `id: ${idOf(style, number)}`;
}

function event(asked: AskedStream, number: number): string {
    return `${listEventLines(asked, number).join("\n")}\n\n`;
}

/** An event that ends within its first line of data. */
function halfEvent(asked: AskedStream, number: number): string {
    const { style } = asked;
    const lines = listEventLines(asked, number);
    return lines.slice(0, lines.length - style.linesBehind.length).join("\n").slice(0, -2);
}

/** Lists the events asked for before one with a number. */
function listEvents(asked: AskedStream, before = asked.total + 1): string[] {
    const count = Math.max(0, before - asked.from);
    return Array.from({ length: count }, (_, index) => event(asked, asked.from + index));
}

function secondAnswer({ run }: AskedStream): string {
    const body = `id: 1\ndata: ${run} of another answer\n\n`;
    return `HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}
