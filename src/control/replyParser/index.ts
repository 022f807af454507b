import { Either } from "purify-ts";
import {
    BodyFraming,
    ByteBuffer,
    HeaderList,
    readBodyFraming,
    ResponseHead,
    takeResponseHead,
} from "../../ports/index.js";
import { FencedReply } from "../fencedSender/index.js";

const LINE_END = "\r\n";
const HEAD_END = "\r\n\r\n";
/** Maximum size of a chunk's first line, or the trailers, in bytes. */
const MAX_LINES_BYTES = 16 * 1024;
/** Maximum size of an answer with all that belongs to it, in bytes. */
const MAX_REPLY_BYTES = 4 * 1024 * 1024;
const MS_PER_SECOND = 1_000;
const CHUNK_SIZE = /^([0-9a-f]{1,8})[ \t]*(?:;|$)/i;
/** The method of fenced calls. */
const METHOD = "POST";

interface Head {
    readonly status: number;
    readonly framing: BodyFraming;
    readonly retryAfterMs: number | undefined;
}

/**
 * Parses an HTTP response as its bytes arrive, without interim responses.
 *
 * @example
 * const reply = parser.push(chunk);
 * if (reply) return reply;
 */
export class ReplyParser {
    private readonly received = new ByteBuffer();
    private readonly body = new ByteBuffer();
    private receivedBytes = 0;
    private head: Head | undefined;
    private hasLastChunk = false;

    /**
     * Adds received bytes.
     *
     * @returns The response once it is complete, else undefined.
     * @throws Error when the bytes are no response, or more than the maximum.
     */
    push(bytes: Uint8Array): FencedReply | undefined {
        this.receivedBytes += bytes.length;
        if (this.receivedBytes > MAX_REPLY_BYTES) throw new Error("HTTP response is too large");
        this.received.append(bytes);
        this.head ??= this.takeHead();
        if (!this.head) return undefined;
        return this.hasWholeBody(this.head) ? this.makeReply(this.head) : undefined;
    }

    /** Returns the response whose end is that of the connection; undefined where it is not complete. */
    end(): FencedReply | undefined {
        return this.head?.framing === "connection" ? this.makeReply(this.head) : undefined;
    }

    private takeHead(): Head | undefined {
        const head = orThrow(takeResponseHead(this.received));
        return head && readHead(head);
    }

    private hasWholeBody({ framing }: Head): boolean {
        if (framing === "chunked") return this.takeChunks();
        this.body.append(this.received.take());
        return framing !== "connection" && this.body.length >= framing;
    }

    /** @returns Whether the last chunk and the trailers have arrived. */
    private takeChunks(): boolean {
        while (!this.hasLastChunk) {
            const line = this.peekLines(LINE_END);
            if (line === undefined) return false;
            const size = parseInt(CHUNK_SIZE.exec(line)?.[1] ?? "", 16);
            if (Number.isNaN(size)) throw new Error("HTTP response has an invalid chunk size");
            this.hasLastChunk = size === 0;
            const start = line.length + LINE_END.length;
            // The line end of the last chunk is that before the trailers, so that an empty line follows in any case.
            if (this.hasLastChunk) this.received.take(line.length);
            else if (!this.takeChunk(start, size)) return false;
        }
        return this.takeLines(HEAD_END) !== undefined;
    }

    private takeChunk(start: number, size: number): boolean {
        const end = start + size + LINE_END.length;
        if (this.received.length < end) return false;
        const chunk = this.received.take(end);
        if (chunk.toString("latin1", start + size) !== LINE_END) {
            throw new Error("HTTP response has a chunk of another size");
        }
        this.body.append(chunk.subarray(start, start + size));
        return true;
    }

    private takeLines(end: string): string | undefined {
        const lines = this.peekLines(end);
        if (lines !== undefined) this.received.take(lines.length + end.length);
        return lines;
    }

    /** Returns what comes before an end of lines; undefined while that has not arrived. */
    private peekLines(end: string): string | undefined {
        const lines = this.received.view().subarray(0, MAX_LINES_BYTES);
        const endAt = lines.indexOf(end);
        if (endAt >= 0) return lines.toString("latin1", 0, endAt);
        if (lines.length === MAX_LINES_BYTES) throw new Error("HTTP response has lines without end");
        return undefined;
    }

    private makeReply({ status, framing, retryAfterMs }: Head): FencedReply {
        const body = this.body.take(typeof framing === "number" ? framing : undefined);
        return { status, body: parseJson(body), ...(retryAfterMs === undefined ? {} : { retryAfterMs }) };
    }
}

function readHead(head: ResponseHead): Head {
    const retryAfterMs = Number(findValue(head.headers, "retry-after")) * MS_PER_SECOND;
    return {
        status: head.status,
        framing: orThrow(readBodyFraming(head, METHOD)),
        retryAfterMs: retryAfterMs > 0 ? retryAfterMs : undefined,
    };
}

/** @throws Error with the detail of a Left. */
function orThrow<Value>(result: Either<string, Value>): Value {
    return result.mapLeft(detail => new Error(`HTTP response has ${detail}`)).unsafeCoerce();
}

/** @throws Error when headers of that name have different values. */
function findValue(headers: HeaderList, name: string): string | undefined {
    const values = new Set(headers.filter(([key]) => key === name).map(([, value]) => value));
    if (values.size > 1) throw new Error(`HTTP response has several values of ${name}`);
    return [...values][0];
}

function parseJson(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString());
    }
    catch {
        // The holder acts on the status; a body that is not JSON is ignored.
        return undefined;
    }
}
