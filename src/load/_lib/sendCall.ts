import { Either } from "purify-ts";
import {
    Address,
    Clock,
    formatAddress,
    HeaderList,
    Http,
    HttpError,
    HttpReply,
    readReplyText,
} from "../../ports/index.js";
import { CLASS_HEADER } from "../../protocol/index.js";
import { TraceRequest } from "../trace/index.js";

/** What each attempt of a request needs. */
export interface CallContext {
    readonly clock: Clock;
    readonly http: Http;
    readonly address: Address;
    /** The workspace's key. */
    readonly key: string;
    /** Ends the attempt: time is up, or the caller goes away. */
    readonly signal: AbortSignal;
}

const CONNECT_TIMEOUT_MS = 2_000;
const HEAD_TIMEOUT_MS = 120_000;

/** Sends a caller's JSON. */
export function sendCall(
    ctx: CallContext,
    request: TraceRequest,
    path: string,
    body: unknown,
    headers: HeaderList = [],
): Promise<Either<HttpError, HttpReply>> {
    const bytes = Buffer.from(JSON.stringify(body));
    return ctx.http.send({
        address: ctx.address,
        method: "POST",
        path,
        headers: [
            ["host", formatAddress(ctx.address)],
            ["authorization", `Bearer ${ctx.key}`],
            ["content-type", "application/json"],
            ["content-length", String(bytes.length)],
            [CLASS_HEADER, request.class],
            ...headers,
        ],
        body: bytes,
        fresh: false,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        headTimeoutMs: HEAD_TIMEOUT_MS,
        signal: ctx.signal,
    });
}

/** Reads a body to its end as text; undefined when it breaks off. */
export async function readText(reply: HttpReply): Promise<string | undefined> {
    return readReplyText(reply).catch(() => undefined);
}
