import { CALL_HEADERS } from "../../passthrough/index.js";
import { RawReply } from "../rawUpstream/index.js";

/** How the end of a body is marked. */
export type Framing = "chunked" | "length" | "until-close";

/** All framings. */
export const FRAMINGS: readonly Framing[] = ["chunked", "length", "until-close"];

/** A stream of events that a raw upstream sends. */
export interface RawStream {
    /** The id of the call that it answers. */
    readonly id: string;
    readonly framing: Framing;
    /** Bytes of the body, in the parts in which they are sent. */
    readonly parts: readonly string[];
    /** Bytes by which the stated length exceeds the body; only with the framing `length`. */
    readonly excessLength?: number;
    /** Whether the connection is closed before the body's end is marked. */
    readonly breaksOff?: boolean;
    /** Header lines behind the last chunk; only with the framing `chunked`. */
    readonly trailers?: readonly string[];
    /** Bytes that follow the marked end. */
    readonly behind?: string;
}

const LINE_END = "\r\n";

/**
 * Formats a stream as it is sent on the connection.
 *
 * @returns The parts of a raw upstream's reply that depend on the stream.
 * @example
 * const reply = { ...formatRawStream({ id, framing: "chunked", parts: ["id: 1\ndata: a\n\n"] }), runs: true, delayMs: 0, resets: false };
 */
export function formatRawStream(stream: RawStream): Pick<RawReply, "bytes" | "laterBytes" | "closes"> {
    const { framing, parts, excessLength = 0, breaksOff = false, behind = "" } = stream;
    const sent = framing === "chunked" ? parts.filter(part => part !== "").map(formatChunk) : [...parts];
    if (framing === "chunked" && !breaksOff) sent.push(formatLastChunk(stream));
    sent.push(behind);
    const laterBytes = sent.filter(part => part !== "");
    return {
        bytes: formatHead(stream),
        laterBytes,
        closes: framing === "until-close" || breaksOff || excessLength > 0,
    };
}

function formatHead({ id, framing, parts, excessLength = 0 }: RawStream): string {
    const length = parts.join("").length + excessLength;
    const framingHeaders: Readonly<Record<Framing, string>> = {
        "chunked": "transfer-encoding: chunked",
        "length": `content-length: ${length}`,
        "until-close": "connection: close",
    };
    return [
        "HTTP/1.1 200 OK",
        `${CALL_HEADERS.request}: ${id}`,
        `${CALL_HEADERS.signature}: raw`,
        "content-type: text/event-stream",
        framingHeaders[framing],
        LINE_END,
    ].join(LINE_END);
}

function formatChunk(part: string): string {
    return `${part.length.toString(16)}${LINE_END}${part}${LINE_END}`;
}

function formatLastChunk({ trailers = [] }: RawStream): string {
    return ["0", ...trailers, LINE_END].join(LINE_END);
}
