import { Either } from "purify-ts";
import { Address, Listener } from "../network/index.js";

/** Header names in lower case with their values, in order; a name may stand more than once. */
export type HeaderList = readonly (readonly [name: string, value: string])[];

/** A request to send. */
export interface HttpCall {
    readonly address: Address;
    readonly method: string;
    readonly path: string;
    readonly headers: HeaderList;
    readonly body?: Uint8Array;
    /** True: a new connection that is closed after the answer. False: a pooled one may serve. */
    readonly fresh: boolean;
    /** True: of the pooled ones only a connection used a moment ago, on which the far end has hardly had time to give up. */
    readonly recentOnly?: boolean;
    /** How long to wait for the connection, in milliseconds. */
    readonly connectTimeoutMs: number;
    /** How long to wait for the answer's head once sent, in milliseconds. */
    readonly headTimeoutMs: number;
    /** Resets the connection when aborted. */
    readonly signal?: AbortSignal;
}

/** The answer to a request. */
export interface HttpReply {
    readonly status: number;
    readonly headers: HeaderList;
    /** The body's bytes. Throws HttpError when the connection ends before the body does. */
    readonly body: AsyncIterable<Uint8Array>;
    /** Resets the connection, so that no later request uses it. */
    reset(): void;
}

/** A request that got no whole answer. */
export class HttpError extends Error {
    /**
     * @param reason - What happened, in a word.
     * @param mayHaveLeft - False only when no byte of the request can have left this process.
     * @param detail - For logs.
     */
    constructor(
        readonly reason: "refused" | "timeout" | "closed" | "aborted" | "malformed",
        readonly mayHaveLeft: boolean,
        detail: string,
    ) {
        super(`${reason}: ${detail}`);
    }
}

/** A request's body that could not be read. */
export class BodyError extends Error {
    /** @param reason - Too large, too slow, or cut off by the caller. */
    constructor(readonly reason: "too-large" | "timeout" | "closed") {
        super(reason);
    }
}

/** A request as a server gets it. */
export abstract class HttpRequest {
    abstract readonly method: string;
    /** Path and query, as sent. */
    abstract readonly path: string;
    abstract readonly headers: HeaderList;
    abstract readonly remote: string;
    /** Aborted when the caller's connection ends before the answer does. */
    abstract readonly closed: AbortSignal;

    /**
     * Reads the whole body.
     *
     * @param limitBytes - The most that is accepted.
     */
    abstract body(limitBytes: number): Promise<Either<BodyError, Uint8Array>>;
}

/** The answer a server writes. */
export abstract class HttpResponse {
    /** Sends the status line and headers. */
    abstract head(status: number, headers: HeaderList): void;
    /** Sends a part of the body; settles when the caller can take more. */
    abstract write(chunk: string | Uint8Array): Promise<void>;
    /** Ends the answer. */
    abstract end(chunk?: string | Uint8Array): void;
    /** Cuts the connection, so that the caller can't take what it has for the whole. */
    abstract reset(): void;
}

/** Answers one request. An error thrown becomes a 500 without detail. */
export type HttpHandler = (req: HttpRequest, res: HttpResponse) => Promise<void>;

/** Bounds on what a server takes in. */
export interface HttpLimits {
    /** Size of all headers together, in bytes. */
    readonly headerBytes: number;
    /** How long a caller may take over the headers, and over the whole request, in milliseconds. */
    readonly headerTimeoutMs: number;
    readonly requestTimeoutMs: number;
    /** How long a connection may stay idle between two requests, in milliseconds; told to callers in whole seconds. */
    readonly idleTimeoutMs?: number;
}

/** A listening HTTP server. */
export interface HttpListener extends Listener {
    /** Changes the limits of connections from now on; the size of headers keeps its first bound. */
    setLimits(limits: HttpLimits): void;
    /** Takes no more connections and closes idle ones; answers under way go on. Settles when the last has ended. */
    stopAccepting(): Promise<void>;
}

/**
 * HTTP/1.1 to callers, upstreams, the platform and operators.
 *
 * @example
 * const reply = await http.send(call);
 */
export abstract class Http {
    /** Serves requests until the listener is closed; closing it lets running answers end. */
    abstract serve(address: Address, limits: HttpLimits, handler: HttpHandler): Promise<HttpListener>;

    /** Sends a request and gives its answer's head; the body follows. */
    abstract send(call: HttpCall): Promise<Either<HttpError, HttpReply>>;
}

/** The limits used where settings give none. */
export const DEFAULT_HTTP_LIMITS: HttpLimits = {
    headerBytes: 16_384,
    headerTimeoutMs: 10_000,
    requestTimeoutMs: 30_000,
};

/**
 * Finds a header.
 *
 * @param headers - Where to look.
 * @param name - The name, in lower case.
 * @returns The first value, or undefined.
 * @example
 * findHeader(req.headers, "idempotency-key");
 */
export function findHeader(headers: HeaderList, name: string): string | undefined {
    return headers.find(([key]) => key === name)?.[1];
}

/**
 * Reads an answer's body to its end, as text.
 *
 * @param mostBytes - A longer body is given up, and its connection reset.
 * @throws HttpError when the body is cut off or too long.
 * @example
 * const offers = JSON.parse(await readReplyText(reply, 1_000_000));
 */
export async function readReplyText(reply: HttpReply, mostBytes = Number.POSITIVE_INFINITY): Promise<string> {
    const chunks: Uint8Array[] = [];
    let size = 0;
    for await (const chunk of reply.body) {
        size += chunk.length;
        if (size > mostBytes) {
            reply.reset();
            throw new HttpError("malformed", true, `a body of more than ${mostBytes} bytes`);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString();
}
