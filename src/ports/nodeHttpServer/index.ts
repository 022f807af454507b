import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { Either, Left, Right } from "purify-ts";
import { toHeaderList } from "../_lib/toHeaderList.js";
import { BodyStorage } from "../bodyStorage/index.js";
import { ServerResources } from "../connectionIntake/index.js";
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
import { OpenRequest, ServerConnections } from "../serverConnections/index.js";
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
 * @param resources - What all servers of the process share.
 * @returns Its listener, once the address is bound.
 * @throws NetworkError when the address is in use.
 * @example
 * const listener = await serveNodeHttp(address, limits, handler, resources);
 */
export function serveNodeHttp(
    address: Address,
    limits: HttpLimits,
    handler: HttpHandler,
    resources: ServerResources,
): Promise<HttpListener> {
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
    const connections = new ServerConnections(server, resources);
    answerClientErrors(server);
    limitBodyDiscard(server, connections);
    // With a listener, Node does not destroy idle connections itself.
    server.on("timeout", (socket: Socket) => void readArrived().then(() => connections.endIfIdle(socket)));
    server.on("request", (req, res) => {
        const request = connections.find(req, res);
        if (!request) return;
        void runHandler(new NodeRequest(req, res, request), new NodeResponse(res, connections), handler);
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

    constructor(
        private readonly message: IncomingMessage,
        private readonly res: ServerResponse,
        private readonly request: OpenRequest,
    ) {
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
        const { message, res } = this;
        const { holding, hasRoom } = this.request;
        if (!hasRoom) return Promise.resolve(Left(new BodyError("over-capacity")));
        const storage = new BodyStorage(holding, limitBytes);
        res.once("close", () => storage.drop());
        return new Promise(resolve => {
            let isRefused = false;
            const refuse = (reason: BodyError["reason"]): void => {
                isRefused = true;
                holding.awaitNothing();
                storage.drop();
                resolve(Left(new BodyError(reason)));
            };
            const refusal = storage.reserve(Number(message.headers["content-length"] ?? 0));
            if (refusal) return refuse(refusal);
            const awaitMore = (): void => holding.awaitBody(() => refuse("over-capacity"));
            awaitMore();
            message.on("data", (chunk: Buffer) => {
                if (isRefused) return;
                const overflow = storage.append(chunk);
                if (overflow) return refuse(overflow);
                awaitMore();
            });
            message.on("end", () => {
                if (isRefused) return;
                holding.awaitNothing();
                resolve(Right(storage.view()));
            });
            message.on("close", () => {
                if (!message.complete && !isRefused) refuse("closed");
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
