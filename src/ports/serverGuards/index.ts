import { randomBytes } from "node:crypto";
import { IncomingMessage, Server, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { ServerConnections } from "../serverConnections/index.js";

/** Response to a request that could not be received or parsed. */
interface ClientErrorResponse {
    readonly status: number;
    readonly phrase: string;
    readonly type: string;
    readonly message: string;
}

const HEADERS_TOO_LARGE: ClientErrorResponse = {
    status: 431,
    phrase: "Request Header Fields Too Large",
    type: "headers-too-large",
    message: "the headers are larger than this server takes",
};
const REQUEST_TIMEOUT: ClientErrorResponse = {
    status: 408,
    phrase: "Request Timeout",
    type: "request-timeout",
    message: "the request did not come whole in time",
};
const MALFORMED: ClientErrorResponse = {
    status: 400,
    phrase: "Bad Request",
    type: "malformed",
    message: "this is no HTTP/1.1 request",
};
const RESPONSE_BY_ERROR_CODE: Readonly<Record<string, ClientErrorResponse | undefined>> = {
    HPE_HEADER_OVERFLOW: HEADERS_TOO_LARGE,
    ERR_HTTP_REQUEST_TIMEOUT: REQUEST_TIMEOUT,
};
const REQUEST_ID_BYTES = 16;
/** Time for which the rest of a body is read and discarded after its request was answered, and maximum size of what is read. */
const BODY_DISCARD_MS = 1_000;
const MAX_DISCARDED_BYTES = 256 * 1_024;

/**
 * Answers requests that Node itself refuses (headers too large, request too slow, invalid HTTP) with the system's usual
 * error body.
 *
 * On a connection on which a request has arrived completely, that request may be running and its response partly written: an error
 * response would state the wrong outcome or end up inside the other response. Such a connection is destroyed without a response.
 */
export function answerClientErrors(server: Server): void {
    const openResponses = new WeakMap<Socket, readonly ServerResponse[]>();
    server.on("request", ({ socket }: IncomingMessage, res: ServerResponse) => {
        openResponses.set(socket, [...(openResponses.get(socket) ?? []).filter(isOpen), res]);
    });
    server.on("clientError", (err: NodeJS.ErrnoException, stream) => {
        const socket = stream as Socket;
        const isAnswered = [...openResponses.get(socket) ?? []].some(hasOwnResponse);
        if (!socket.writable || err.code === "ECONNRESET" || isAnswered) {
            socket.destroy();
            return;
        }
        socket.end(formatResponse(RESPONSE_BY_ERROR_CODE[err.code ?? ""] ?? MALFORMED));
        socket.destroySoon();
    });
}

/**
 * Closes the connection of a request that was answered before its body had arrived, unless the rest arrives soon.
 *
 * Otherwise a caller could go on sending for minutes after its request was refused, since Node reads the whole body to keep
 * the connection. The rest is discarded for a short time first: closing at once could lose the response to a caller that is
 * still sending. Of a large body only a part is read, since what is discarded takes memory until it is collected.
 */
export function limitBodyDiscard(server: Server, connections: ServerConnections): void {
    server.on("request", (req: IncomingMessage, res: ServerResponse) => {
        res.once("finish", () => {
            if (req.complete) return;
            connections.limitRest(req, MAX_DISCARDED_BYTES);
            const timer = setTimeout(() => req.socket.destroy(), BODY_DISCARD_MS);
            req.once("end", () => clearTimeout(timer));
            req.once("close", () => {
                if (req.complete) clearTimeout(timer);
            });
        });
    });
}

/** Whether the request's handler has sent or will send a response. */
function hasOwnResponse(res: ServerResponse): boolean {
    return res.headersSent ? isOpen(res) : res.req.complete;
}

/** Whether the response has not been sent whole, or the request has not arrived whole. */
function isOpen({ req, writableFinished }: ServerResponse): boolean {
    return !writableFinished || !req.complete;
}

function formatResponse({ status, phrase, type, message }: ClientErrorResponse): string {
    const requestId = randomBytes(REQUEST_ID_BYTES).toString("hex");
    const body = JSON.stringify({ error: { type, message, outcome: "not-run", request: requestId } });
    return [
        `HTTP/1.1 ${status} ${phrase}`,
        "content-type: application/json",
        `content-length: ${Buffer.byteLength(body)}`,
        `x-sequoiamux-request: ${requestId}`,
        "x-sequoiamux-outcome: not-run",
        "connection: close",
        "",
        body,
    ].join("\r\n");
}
