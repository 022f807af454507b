import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { Either, Left, Right } from "purify-ts";
import { toHeaderList } from "../_lib/toHeaderList.js";
import { ByteBuffer } from "../byteBuffer/index.js";
import {
    BodyError,
    HeaderList,
    HttpHandler,
    HttpLimits,
    HttpListener,
    HttpRequest,
    HttpResponse,
} from "../http/index.js";
import { Address, NetworkError } from "../network/index.js";
import { ServerConnections } from "../serverConnections/index.js";
import { answerClientErrors, limitBodyDiscard } from "../serverGuards/index.js";

/** Maximum idle time of a caller's connection where the limits have none: Node's default. */
const DEFAULT_KEEP_ALIVE_MS = 5_000;
/** Number of checks for timed-out requests within the shortest request timeout. */
const CHECKS_PER_TIMEOUT = 6;
/** Time that a new connection has for its first request once the server has stopped accepting, in milliseconds. */
const FIRST_REQUEST_MS = 1_000;
/** Turns of the event loop in which arrived requests are read: the rest of the present one, one to accept connections, one to read from them. */
const TURNS_TO_READ = 3;

/**
 * Starts an HTTP server on `node:http`.
 *
 * @returns Its listener, once the address is bound.
 * @throws NetworkError when the address is in use.
 * @example
 * const listener = await serveNodeHttp(address, limits, handler);
 */
export function serveNodeHttp(address: Address, limits: HttpLimits, handler: HttpHandler): Promise<HttpListener> {
    const server = createServer({
        maxHeaderSize: limits.headerBytes,
        headersTimeout: limits.headerTimeoutMs,
        requestTimeout: limits.requestTimeoutMs,
        connectionsCheckingInterval: Math.ceil(
            Math.min(limits.headerTimeoutMs, limits.requestTimeoutMs) / CHECKS_PER_TIMEOUT,
        ),
        keepAliveTimeout: limits.idleTimeoutMs ?? DEFAULT_KEEP_ALIVE_MS,
        noDelay: true,
    });
    const connections = new ServerConnections(server);
    answerClientErrors(server);
    limitBodyDiscard(server);
    // With a listener, Node does not destroy idle connections itself.
    server.on("timeout", (socket: Socket) => void readArrived().then(() => connections.endIfIdle(socket)));
    server.on("request", (req, res) => {
        if (!connections.isServed(req, res)) return;
        void runHandler(new NodeRequest(req, res), new NodeResponse(res, connections), handler);
    });
    return new Promise((resolve, reject) => {
        server.once("error", err => reject(new NetworkError("refused", err.message)));
        server.listen(address.port, address.host, () => {
            const bound = server.address() as { port: number; };
            const closeConnections = async (): Promise<void> => {
                connections.announceClose();
                await readArrived();
                connections.endIdle();
                void endUnusedLater(connections);
            };
            const stopAccepting = async (): Promise<void> => {
                await closeConnections();
                await new Promise<void>(done => void server.close(() => done()));
            };
            const whenAnswered = async (): Promise<void> => {
                await readArrived();
                await connections.whenAnswered();
            };
            resolve({
                address: { host: address.host, port: bound.port },
                setLimits: changed => applyLimits(server, changed),
                countOpenAnswers: () => connections.countOpen(),
                whenAnswered,
                closeConnections: () => void closeConnections(),
                stopAccepting,
                close: stopAccepting,
            });
        });
    });
}

/**
 * Resolves once the event loop has accepted the connections, and read the requests, that the operating system holds: after a stall, timers
 * run before either.
 */
async function readArrived(): Promise<void> {
    for (let turn = 0; turn < TURNS_TO_READ; turn++) await nextTurn();
}

/** Ends connections that have sent nothing once their callers have had time for a first request. */
async function endUnusedLater(connections: ServerConnections): Promise<void> {
    await new Promise<void>(resolve => setTimeout(resolve, FIRST_REQUEST_MS));
    await readArrived();
    connections.endUnused();
}

/** Resolves in the event loop's check phase, right after it has polled for input. */
function nextTurn(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}

function applyLimits(server: Server, limits: HttpLimits): void {
    server.headersTimeout = limits.headerTimeoutMs;
    server.requestTimeout = limits.requestTimeoutMs;
    server.keepAliveTimeout = limits.idleTimeoutMs ?? DEFAULT_KEEP_ALIVE_MS;
}

async function runHandler(req: NodeRequest, res: NodeResponse, handler: HttpHandler): Promise<void> {
    try {
        await handler(req, res);
    }
    catch {
        res.fail();
    }
}

class NodeRequest extends HttpRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: HeaderList;
    readonly remote: string;
    private readonly abort = new AbortController();
    readonly closed = this.abort.signal;

    constructor(private readonly message: IncomingMessage, res: ServerResponse) {
        super();
        this.method = message.method!;
        this.path = message.url!;
        this.headers = toHeaderList(message.rawHeaders);
        this.remote = `${message.socket.remoteAddress}:${message.socket.remotePort}`;
        res.once("close", () => {
            if (!res.writableFinished) this.abort.abort();
        });
    }

    body(limitBytes: number): Promise<Either<BodyError, Uint8Array>> {
        return new Promise(resolve => {
            const received = new ByteBuffer();
            let size = 0;
            // A content length over the limit is refused before any of the body is read.
            if (Number(this.message.headers["content-length"] ?? 0) > limitBytes) {
                resolve(Left(new BodyError("too-large")));
                return;
            }
            this.message.on("data", (chunk: Buffer) => {
                size += chunk.length;
                if (size <= limitBytes) {
                    received.append(chunk);
                    return;
                }
                received.take();
                resolve(Left(new BodyError("too-large")));
            });
            this.message.on("end", () => resolve(Right(received.take())));
            this.message.on("close", () => {
                if (!this.message.complete) resolve(Left(new BodyError("closed")));
            });
        });
    }
}

class NodeResponse extends HttpResponse {
    constructor(private readonly res: ServerResponse, private readonly connections: ServerConnections) {
        super();
    }

    head(status: number, headers: HeaderList): void {
        const isEndWanted = headers.some(([name, value]) => name === "connection" && value === "close");
        // Node writes the header itself.
        if (this.connections.decideEnd(this.res, isEndWanted)) this.res.shouldKeepAlive = false;
        const kept = headers.filter(([name]) => name !== "connection");
        this.res.writeHead(status, kept.flat() as unknown as string[]);
        this.res.flushHeaders();
    }

    write(chunk: string | Uint8Array): Promise<void> {
        if (this.res.destroyed || this.res.write(chunk)) return Promise.resolve();
        return new Promise(resolve => {
            const finish = (): void => {
                this.res.removeListener("drain", finish);
                this.res.removeListener("close", finish);
                resolve();
            };
            this.res.once("drain", finish);
            this.res.once("close", finish);
        });
    }

    end(chunk?: string | Uint8Array): void {
        this.res.end(chunk);
    }

    reset(): void {
        this.res.destroy();
    }

    /** Handles an error thrown by the handler: sends a 500 if no headers were sent, else cuts the connection. */
    fail(): void {
        if (this.res.headersSent) {
            this.res.destroy();
            return;
        }
        this.res.writeHead(500, { "content-type": "application/json" });
        this.res.end(JSON.stringify({ error: { type: "internal", message: "internal error", outcome: "unknown" } }));
    }
}
