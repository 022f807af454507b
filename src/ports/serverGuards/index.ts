import { randomBytes } from "node:crypto";
import { IncomingMessage, Server, ServerResponse } from "node:http";
import { Socket } from "node:net";

/** What callers are told of a request that never became one. */
interface MalformedAnswer {
    readonly status: number;
    readonly phrase: string;
    readonly type: string;
    readonly message: string;
}

const HEADERS_TOO_LARGE: MalformedAnswer = {
    status: 431,
    phrase: "Request Header Fields Too Large",
    type: "headers-too-large",
    message: "the headers are larger than this server takes",
};
const REQUEST_TIMEOUT: MalformedAnswer = {
    status: 408,
    phrase: "Request Timeout",
    type: "request-timeout",
    message: "the request did not come whole in time",
};
const MALFORMED: MalformedAnswer = {
    status: 400,
    phrase: "Bad Request",
    type: "malformed",
    message: "this is no HTTP/1.1 request",
};
const ANSWERS: Readonly<Record<string, MalformedAnswer | undefined>> = {
    HPE_HEADER_OVERFLOW: HEADERS_TOO_LARGE,
    ERR_HTTP_REQUEST_TIMEOUT: REQUEST_TIMEOUT,
};
const REQUEST_ID_BYTES = 16;
/** How long the rest of a body is read and thrown away once its request has been answered, in milliseconds. */
const DISCARD_MS = 1_000;

/**
 * Answers what Node refuses by itself (headers over the limit, a request that comes too slowly, bytes that are no HTTP) in
 * the shape of every other error.
 *
 * Guards against an answer that lies, or that lands inside another: on a connection whose last request has come whole, that
 * request may be running, and its answer may be half written. There the connection is cut without a word.
 */
export function answerMalformed(server: Server): void {
    const latest = new WeakMap<Socket, ServerResponse>();
    server.on("request", (req: IncomingMessage, res: ServerResponse) => latest.set(req.socket, res));
    server.on("clientError", (err: NodeJS.ErrnoException, stream) => {
        const socket = stream as Socket;
        const res = latest.get(socket);
        if (!socket.writable || err.code === "ECONNRESET" || (res && isSpokenFor(res))) {
            socket.destroy();
            return;
        }
        socket.end(formatAnswer(ANSWERS[err.code ?? ""] ?? MALFORMED));
        socket.destroySoon();
    });
}

/**
 * Ends the connection of a request that was answered before its body had come whole, unless the rest comes soon.
 *
 * Guards against a caller that goes on sending for minutes after it was refused: Node would read all of it to keep the
 * connection. The rest is thrown away for a moment only; a cut at once could take the answer from a caller that is still
 * sending.
 */
export function endUnreadRequests(server: Server): void {
    server.on("request", (req: IncomingMessage, res: ServerResponse) => {
        res.once("finish", () => {
            if (req.complete) return;
            const limit = setTimeout(() => req.socket.destroy(), DISCARD_MS);
            req.once("end", () => clearTimeout(limit));
            req.once("close", () => {
                if (req.complete) clearTimeout(limit);
            });
        });
    });
}

/** The request has, or will have, an answer of its own. */
function isSpokenFor(res: ServerResponse): boolean {
    const { req, headersSent, writableFinished } = res;
    return headersSent ? !writableFinished || !req.complete : req.complete;
}

function formatAnswer({ status, phrase, type, message }: MalformedAnswer): string {
    const request = randomBytes(REQUEST_ID_BYTES).toString("hex");
    const body = JSON.stringify({ error: { type, message, outcome: "not-run", request } });
    return [
        `HTTP/1.1 ${status} ${phrase}`,
        "content-type: application/json",
        `content-length: ${Buffer.byteLength(body)}`,
        `x-sequoiamux-request: ${request}`,
        "x-sequoiamux-outcome: not-run",
        "connection: close",
        "",
        body,
    ].join("\r\n");
}
