import { Agent, ClientRequest, createServer, IncomingMessage, request, Server, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { Either, Left, Right } from "purify-ts";
import {
    BodyError,
    HeaderList,
    Http,
    HttpCall,
    HttpError,
    HttpHandler,
    HttpLimits,
    HttpListener,
    HttpReply,
    HttpRequest,
    HttpResponse,
} from "../http/index.js";
import { Address, formatAddress, NetworkError } from "../network/index.js";
import { answerMalformed, endUnreadRequests } from "../serverGuards/index.js";

/** A pooled connection idle for longer than this is not used again: something between may have forgotten it. */
const POOL_IDLE_MS = 2_000;
/** As above, for requests that must not be lost between two ends that disagree on whether the connection is open. */
const RECENT_IDLE_MS = 300;
const POOL_SOCKETS_PER_ADDRESS = 256;
/** A caller's connection that is idle for longer is closed where no limit says otherwise: Node's own default. */
const DEFAULT_IDLE_MS = 5_000;
/** Connections are looked through for requests that come too slowly so many times within the time that one may take. */
const CHECKS_PER_LIMIT = 6;

/**
 * HTTP by Node's own library on both sides.
 *
 * @example
 * const http = new NodeHttp();
 */
export class NodeHttp extends Http {
    private readonly pool = makePool(POOL_IDLE_MS);
    private readonly recentPool = makePool(RECENT_IDLE_MS);

    serve(address: Address, limits: HttpLimits, handler: HttpHandler): Promise<HttpListener> {
        const server = createServer({
            maxHeaderSize: limits.headerBytes,
            headersTimeout: limits.headerTimeoutMs,
            requestTimeout: limits.requestTimeoutMs,
            connectionsCheckingInterval: Math.ceil(
                Math.min(limits.headerTimeoutMs, limits.requestTimeoutMs) / CHECKS_PER_LIMIT,
            ),
            keepAliveTimeout: limits.idleTimeoutMs ?? DEFAULT_IDLE_MS,
            noDelay: true,
        }, (req, res) => void answer(new NodeRequest(req, res), new NodeResponse(res), handler));
        answerMalformed(server);
        endUnreadRequests(server);
        return new Promise((resolve, reject) => {
            server.once("error", err => reject(new NetworkError("refused", err.message)));
            server.listen(address.port, address.host, () => {
                const bound = server.address() as { port: number; };
                const stopAccepting = (): Promise<void> =>
                    new Promise<void>(done => {
                        server.close(() => done());
                        server.closeIdleConnections();
                    });
                resolve({
                    address: { host: address.host, port: bound.port },
                    setLimits: changed => applyLimits(server, changed),
                    stopAccepting,
                    close: stopAccepting,
                });
            });
        });
    }

    private chooseAgent({ fresh, recentOnly }: HttpCall): Agent {
        if (fresh) return new Agent({ keepAlive: false });
        return recentOnly ? this.recentPool : this.pool;
    }

    send(call: HttpCall): Promise<Either<HttpError, HttpReply>> {
        if (call.signal?.aborted) return Promise.resolve(Left(new HttpError("aborted", false, "before sending")));
        return new Promise(resolve => {
            let connected = false;
            let hasFailed = false;
            let reason: HttpError["reason"] = "closed";
            const req = request({
                host: call.address.host,
                port: call.address.port,
                method: call.method,
                path: call.path,
                headers: completeHeaders(call).flat() as unknown as string[],
                agent: this.chooseAgent(call),
            });
            const giveUp = (why: HttpError["reason"]): void => {
                reason = why;
                req.destroy(new Error(why));
            };
            let limit = setTimeout(() => giveUp("timeout"), call.connectTimeoutMs);
            const abort = (): void => giveUp("aborted");
            call.signal?.addEventListener("abort", abort);
            req.on("socket", socket => {
                const startHeadLimit = (): void => {
                    connected = true;
                    clearTimeout(limit);
                    limit = setTimeout(() => giveUp("timeout"), call.headTimeoutMs);
                };
                if (socket.connecting) socket.once("connect", startHeadLimit);
                else startHeadLimit();
            });
            req.on("error", err => {
                hasFailed = true;
                clearTimeout(limit);
                call.signal?.removeEventListener("abort", abort);
                const why = connected || reason !== "closed" ? reason : "refused";
                resolve(Left(new HttpError(why, connected, `${formatAddress(call.address)} ${err.message}`)));
            });
            req.on("response", message => {
                clearTimeout(limit);
                const end = hasOwnEnd(message) ? undefined : new ConnectionEnd(message.socket);
                message.once("close", () => call.signal?.removeEventListener("abort", abort));
                resolve(Right({
                    status: message.statusCode!,
                    headers: pairHeaders(message.rawHeaders),
                    body: readReplyBody(
                        message,
                        async () => hasFailed || (await end?.wasReset() ?? false),
                        () => reason,
                    ),
                    reset: () => req.destroy(),
                }));
            });
            req.end(call.body);
        });
    }
}

function makePool(idleMs: number): Agent {
    return new GuardedAgent({ keepAlive: true, timeout: idleMs, maxFreeSockets: POOL_SOCKETS_PER_ADDRESS });
}

/**
 * A pool that drops connections on which something comes while they are idle.
 *
 * Guards against the second answer to a request that was answered already: it would be read as the answer to the next request on
 * that connection.
 */
class GuardedAgent extends Agent {
    private readonly guards = new WeakMap<Socket, () => void>();

    // Called by Node as a request's end gives its connection back, and as the next request takes it.
    override keepSocketAlive(socket: Socket): boolean {
        const guard = (): void => void socket.destroy();
        this.guards.set(socket, guard);
        socket.once("data", guard);
        return super.keepSocketAlive(socket) as unknown as boolean;
    }

    override reuseSocket(socket: Socket, req: ClientRequest): void {
        const guard = this.guards.get(socket);
        if (guard) socket.removeListener("data", guard);
        super.reuseSocket(socket, req);
    }
}

function applyLimits(server: Server, limits: HttpLimits): void {
    server.headersTimeout = limits.headerTimeoutMs;
    server.requestTimeout = limits.requestTimeoutMs;
    server.keepAliveTimeout = limits.idleTimeoutMs ?? DEFAULT_IDLE_MS;
}

/** Whether HTTP itself says where an answer ends, and not the end of its connection. */
function hasOwnEnd({ headers }: IncomingMessage): boolean {
    return headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
}

/**
 * Tells a connection that was closed from one that was reset.
 *
 * Guards against a reset that comes right behind the last bytes: the two are then read in one step, and the event loop reports the end
 * of the stream in place of the error. The error stays with the socket, and a write gets it; on a connection that the other side has
 * merely closed, a write succeeds. The two bytes are an empty line, which HTTP allows between messages, and nobody reads them.
 */
class ConnectionEnd {
    private probe: Promise<boolean> | undefined;

    constructor(socket: Socket) {
        // Ahead of Node's own listener, which ends the writing side.
        socket.prependOnceListener("end", () => {
            this.probe = new Promise(resolve => socket.write("\r\n", err => resolve(Boolean(err))));
        });
    }

    async wasReset(): Promise<boolean> {
        return await this.probe ?? false;
    }
}

/** Node adds neither of these to a list of headers; without a length it would send no body at all. */
function completeHeaders(call: HttpCall): HeaderList {
    const added: [string, string][] = [];
    const has = (name: string): boolean => call.headers.some(([given]) => given.toLowerCase() === name);
    if (!has("host")) added.push(["host", formatAddress(call.address)]);
    if (call.body && !has("content-length")) added.push(["content-length", String(call.body.length)]);
    return [...call.headers, ...added];
}

/**
 * Reads a body to its end.
 *
 * Guards against a part that passes for the whole: an answer without a length ends with its connection, and Node calls it complete
 * when that connection is reset too.
 *
 * @param hasFailed - Says whether the connection ended in another way than in good order.
 */
async function* readReplyBody(
    message: IncomingMessage,
    hasFailed: () => Promise<boolean>,
    reason: () => HttpError["reason"],
): AsyncIterable<Uint8Array> {
    try {
        for await (const chunk of message) yield chunk as Uint8Array;
    }
    catch (err) {
        throw new HttpError(reason(), true, (err as Error).message);
    }
    if (!message.complete || await hasFailed()) throw new HttpError("closed", true, "the body was cut off");
}

async function answer(req: NodeRequest, res: NodeResponse, handler: HttpHandler): Promise<void> {
    try {
        await handler(req, res);
    }
    catch {
        res.fail();
    }
}

function pairHeaders(raw: readonly string[]): HeaderList {
    const pairs: [string, string][] = [];
    for (let i = 0; i < raw.length; i += 2) pairs.push([raw[i].toLowerCase(), raw[i + 1]]);
    return pairs;
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
        this.headers = pairHeaders(message.rawHeaders);
        this.remote = `${message.socket.remoteAddress}:${message.socket.remotePort}`;
        res.once("close", () => {
            if (!res.writableFinished) this.abort.abort();
        });
    }

    body(limitBytes: number): Promise<Either<BodyError, Uint8Array>> {
        return new Promise(resolve => {
            const chunks: Buffer[] = [];
            let size = 0;
            // A stated length over the limit is refused before the first byte of the body is read.
            if (Number(this.message.headers["content-length"] ?? 0) > limitBytes) {
                resolve(Left(new BodyError("too-large")));
                return;
            }
            this.message.on("data", (chunk: Buffer) => {
                size += chunk.length;
                if (size <= limitBytes) {
                    chunks.push(chunk);
                    return;
                }
                chunks.length = 0;
                resolve(Left(new BodyError("too-large")));
            });
            this.message.on("end", () => resolve(Right(Buffer.concat(chunks))));
            this.message.on("close", () => {
                if (!this.message.complete) resolve(Left(new BodyError("closed")));
            });
        });
    }
}

class NodeResponse extends HttpResponse {
    constructor(private readonly res: ServerResponse) {
        super();
    }

    head(status: number, headers: HeaderList): void {
        this.res.writeHead(status, headers.flat() as unknown as string[]);
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

    /** A handler that threw: a plain 500 if nothing went out, else a cut connection. */
    fail(): void {
        if (this.res.headersSent) {
            this.res.destroy();
            return;
        }
        this.res.writeHead(500, { "content-type": "application/json" });
        this.res.end(JSON.stringify({ error: { type: "internal", message: "internal error", outcome: "unknown" } }));
    }
}
