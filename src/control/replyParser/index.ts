import { Either } from "purify-ts";
import {
    BodyFraming,
    ByteBuffer,
    ChunkDecoder,
    HeaderList,
    readBodyFraming,
    ResponseHead,
    takeResponseHead,
} from "../../ports/index.js";
import { FencedReply } from "../fencedSender/index.js";

/** Maximum size of an answer with all that belongs to it, in bytes. */
const MAX_REPLY_BYTES = 4 * 1024 * 1024;
const MS_PER_SECOND = 1_000;
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
    private readonly chunks = new ChunkDecoder();

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
        const bytes = this.received.take();
        if (framing === "chunked") {
            this.body.append(orThrow(this.chunks.push(bytes)));
            return this.chunks.isComplete;
        }
        this.body.append(bytes);
        return framing !== "connection" && this.body.length >= framing;
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
