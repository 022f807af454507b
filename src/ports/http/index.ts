import { Either } from "purify-ts";
import { ByteBuffer } from "../byteBuffer/index.js";
import { Address, Listener } from "../network/index.js";

/** Headers in order, with names in lower case; a name may occur more than once. */
export type HeaderList = readonly (readonly [name: string, value: string])[];

/** What a connection had carried when a request was sent on it. */
export interface ConnectionUse {
    /** Number of earlier requests; 0 for a connection that was opened for the request. */
    readonly earlierRequests: number;
    /** Whether one of them had the id of the request: a late answer to it can't be told from the request's own. */
    readonly hasCarried: boolean;
}

/** An outgoing request. */
export interface HttpCall {
    readonly address: Address;
    readonly method: string;
    readonly path: string;
    readonly headers: HeaderList;
    readonly body?: Uint8Array;
    /** The id that the answer to this request repeats, where it has one. It is sent on no connection that has carried the same id. */
    readonly id?: string;
    /** Whether to use a new connection that is closed after the response, instead of a pooled one. */
    readonly newConnection: boolean;
    /** Whether to reuse only recently used pooled connections, which the server is unlikely to have closed yet. */
    readonly recentlyUsedOnly?: boolean;
    /** Timeout for opening the connection, in milliseconds. */
    readonly connectTimeoutMs: number;
    /** Timeout for the response's headers, from when the connection is open, in milliseconds. */
    readonly headTimeoutMs: number;
    /** Resets the connection when aborted. */
    readonly signal?: AbortSignal;
    /** Called when a new connection is being opened for the request, and when it is open; not called for a pooled one. */
    readonly onConnection?: (state: "opening" | "open") => void;
}

/** The response to an outgoing request. */
export interface HttpReply {
    readonly status: number;
    readonly headers: HeaderList;
    /** The body's bytes. Iteration throws HttpError if the connection ends before the body is complete. */
    readonly body: AsyncIterable<Uint8Array>;
    /** The use of the connection on which the request was sent; undefined where it is not known. */
    readonly connection?: ConnectionUse;
    /** Resets the connection, so that it is not reused. */
    reset(): void;
}

/** An outgoing request that got no complete response. */
export class HttpError extends Error {
    /**
     * @param reason - The class of failure.
     * @param mayHaveBeenSent - Whether any byte of the request may have been sent; false only if certainly none was.
     * @param detail - Further text for logs.
     * @param connection - The use of the connection on which it was sent, where that is known.
     */
    constructor(
        readonly reason: "refused" | "timeout" | "closed" | "aborted" | "malformed",
        readonly mayHaveBeenSent: boolean,
        detail: string,
        readonly connection?: ConnectionUse,
    ) {
        super(`${reason}: ${detail}`);
    }
}

/** A failure to read the body of an incoming request. */
export class BodyError extends Error {
    /**
     * @param reason - `too-large`, `timeout`, `closed` if the caller closed the connection, or `over-capacity` if callers hold as much as the
     * process may hold for them.
     */
    constructor(readonly reason: "too-large" | "timeout" | "closed" | "over-capacity") {
        super(reason);
    }
}

/** An incoming request. */
export abstract class HttpRequest {
    abstract readonly method: string;
    /** Path and query, as sent. */
    abstract readonly path: string;
    abstract readonly headers: HeaderList;
    /** Address of the caller, for logs. */
    abstract readonly remote: string;
    /** Aborted when the caller's connection ends before the response is complete. */
    abstract readonly closed: AbortSignal;

    /**
     * Reads the whole body.
     *
     * @param limitBytes - Maximum size of the body, in bytes.
     */
    abstract body(limitBytes: number): Promise<Either<BodyError, Uint8Array>>;
}

/** The response to an incoming request. */
export abstract class HttpResponse {
    /** Sends the status line and headers. */
    abstract head(status: number, headers: HeaderList): void;
    /** Sends a part of the body; resolves when the connection accepts more data. */
    abstract write(chunk: string | Uint8Array): Promise<void>;
    /** Completes the response. */
    abstract end(chunk?: string | Uint8Array): void;
    /** Resets the connection, so that the caller can't mistake a partial response for a complete one. */
    abstract reset(): void;
}

/** Handles one incoming request. A thrown error becomes a response with status 500 and no details. */
export type HttpHandler = (req: HttpRequest, res: HttpResponse) => Promise<void>;

/** Limits that a server applies to connections and requests. */
export interface HttpLimits {
    /** Maximum total size of the headers, in bytes. */
    readonly headerBytes: number;
    /** Timeout for receiving the headers, in milliseconds. */
    readonly headerTimeoutMs: number;
    /** Timeout for receiving the whole request, in milliseconds. */
    readonly requestTimeoutMs: number;
    /** Maximum idle time of a connection between requests, in milliseconds; announced to callers in whole seconds. */
    readonly idleTimeoutMs?: number;
}

/** Answers that a server has not sent whole yet. */
export interface OpenAnswers {
    /** Number of requests without a whole answer; their bodies may still be arriving. */
    readonly requests: number;
    /** Bytes of answers that the operating system has not taken yet. */
    readonly unsentBytes: number;
}

/** A listening HTTP server. */
export interface HttpListener extends Listener {
    /** Changes the limits from now on, except `headerBytes`, which keeps its initial value. */
    setLimits(limits: HttpLimits): void;
    /** Counts the answers that have not been sent whole. */
    countOpenAnswers(): OpenAnswers;
    /** Resolves once each request has its whole answer, as far as the operating system has taken it. */
    whenAnswered(): Promise<void>;
    /** Closes each connection as soon as its running answers have been sent: idle ones now. New ones are still accepted. */
    closeConnections(): void;
    /** Stops accepting connections and closes them as `closeConnections` does; resolves once all are closed. */
    stopAccepting(): Promise<void>;
}

/**
 * HTTP/1.1 server and client, for callers, upstreams, the platform and operators.
 *
 * @example
 * const reply = await http.send(call);
 */
export abstract class Http {
    /** Starts a server that runs until its listener is closed; closing waits for running responses. */
    abstract serve(address: Address, limits: HttpLimits, handler: HttpHandler): Promise<HttpListener>;

    /** Sends a request; resolves once the response's headers have arrived. */
    abstract send(call: HttpCall): Promise<Either<HttpError, HttpReply>>;
}

/** Limits used where the settings have none. */
export const DEFAULT_HTTP_LIMITS: HttpLimits = {
    headerBytes: 16_384,
    headerTimeoutMs: 10_000,
    requestTimeoutMs: 30_000,
};

/**
 * Returns the value of a header.
 *
 * @param headers - The headers to search.
 * @param name - The header's name, in lower case.
 * @returns The first value, or undefined if the header is missing.
 * @example
 * findHeader(req.headers, "idempotency-key");
 */
export function findHeader(headers: HeaderList, name: string): string | undefined {
    return headers.find(([key]) => key === name)?.[1];
}

/**
 * Returns the values of all headers with a name, in their order.
 *
 * @param name - In lower case.
 */
export function findHeaders(headers: HeaderList, name: string): string[] {
    return headers.filter(([key]) => key === name).map(([, value]) => value);
}

/**
 * Reads the whole body of a response as text.
 *
 * @param maxBytes - Maximum size of the body, in bytes; the connection of a larger one is reset.
 * @throws HttpError if the body is incomplete or too large.
 * @example
 * const offers = JSON.parse(await readReplyText(reply, 1_000_000));
 */
export async function readReplyText(reply: HttpReply, maxBytes = Number.POSITIVE_INFINITY): Promise<string> {
    const body = new ByteBuffer();
    for await (const chunk of reply.body) {
        body.append(chunk);
        if (body.length > maxBytes) {
            reply.reset();
            throw new HttpError("malformed", true, `a body of more than ${maxBytes} bytes`);
        }
    }
    return body.take().toString();
}
