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

/** Connection and credentials of one attempt to send a request. */
export interface CallContext {
    readonly clock: Clock;
    readonly http: Http;
    readonly address: Address;
    /** API key of the workspace. */
    readonly key: string;
    /** Aborts the attempt on timeout or when the caller disconnects. */
    readonly signal: AbortSignal;
}

const CONNECT_TIMEOUT_MS = 2_000;
const HEAD_TIMEOUT_MS = 120_000;

/** Sends a request with a JSON body and the caller's credentials. */
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
        newConnection: false,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        headTimeoutMs: HEAD_TIMEOUT_MS,
        signal: ctx.signal,
    });
}

/** Reads a complete body as text; returns undefined when the connection breaks first. */
export async function readText(reply: HttpReply): Promise<string | undefined> {
    return readReplyText(reply).catch(() => undefined);
}
