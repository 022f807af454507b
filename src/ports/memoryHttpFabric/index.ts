import { validateHeaderValue } from "node:http";
import { Either, Left, Right } from "purify-ts";
import { Mailbox } from "../_lib/mailbox.js";
import { serveRawConnection } from "../_lib/serveRawConnection.js";
import { ConnectionHistory } from "../connectionHistory/index.js";
import {
    BodyError,
    ConnectionUse,
    findHeader,
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
    OpenAnswers,
} from "../http/index.js";
import { MemoryFabric } from "../memoryFabric/index.js";
import { Address, formatAddress, NetworkError } from "../network/index.js";

/** Maximum idle time of a kept connection, as with the connection pools of `NodeHttp`, in milliseconds. */
const MAX_POOL_IDLE_MS = 2_000;
const MAX_RECENT_IDLE_MS = 300;

/** A connection whose exchange is complete. */
interface KeptConnection {
    /** Monotonic time, in milliseconds. */
    readonly idleSince: number;
    /** Identifies the connection. */
    readonly ref: object;
}

/** HTTP servers, kept connections and running exchanges of an in-memory network that all simulated hosts share. */
export class MemoryHttpFabric {
    /** Handlers by `host:port`. */
    readonly servers = new Map<string, HttpHandler>();
    /** By client host and `host:port` of the server. */
    private readonly keptConnections = new Map<string, KeptConnection[]>();
    private readonly history = new ConnectionHistory<object>();

    /** @param fabric - The network whose latencies and cuts apply to requests. */
    constructor(readonly fabric: MemoryFabric) {
        fabric.onReset((client, server) => this.resetExchanges(client, server));
    }

    /** Returns the HTTP port of one host. */
    http(host: string): Http {
        return new MemoryHttp(this, host);
    }

    /** Simulates a crash of a host: stops its servers and cuts off its running exchanges, as client and as server. */
    crash(host: string): void {
        for (const name of [...this.servers.keys()]) {
            if (name.startsWith(`${host}:`)) this.servers.delete(name);
        }
        for (const exchange of [...this.exchanges]) {
            if (exchange.client === host || exchange.server === host) exchange.failClient();
        }
        for (const key of [...this.keptConnections.keys()]) {
            if (key.startsWith(`${host}>`) || key.includes(`>${host}:`)) this.keptConnections.delete(key);
        }
    }

    readonly exchanges = new Set<Exchange>();
    /** Handlers of servers that close each connection after its running answers. */
    private readonly closing = new WeakSet<HttpHandler>();
    private answerWaiters: (() => void)[] = [];

    /** Whether a server keeps a connection after an answer that was begun by this handler. */
    keepsConnections(target: string, handler: HttpHandler | undefined): boolean {
        return handler !== undefined && this.servers.get(target) === handler && !this.closing.has(handler);
    }

    /** Returns the exchanges that a handler has begun and that are not complete. */
    listServed(handler: HttpHandler): Exchange[] {
        return [...this.exchanges].filter(({ servedBy }) => servedBy === handler);
    }

    /** Resolves once no exchange of a handler is incomplete. */
    async whenAnswered(handler: HttpHandler): Promise<void> {
        while (this.listServed(handler).length > 0) {
            await new Promise<void>(resolve => this.answerWaiters.push(resolve));
        }
    }

    /** Removes an exchange that is complete or was given up. */
    removeExchange(exchange: Exchange): void {
        this.exchanges.delete(exchange);
        for (const resolve of this.answerWaiters.splice(0)) resolve();
    }

    /** Closes the idle connections of a server, as far as its clients have not used them again before they learn of it. */
    closeConnections(target: string, handler: HttpHandler): void {
        this.closing.add(handler);
        for (const key of this.keptConnections.keys()) {
            if (!key.endsWith(`>${target}`)) continue;
            const [client] = key.split(">");
            const [server] = target.split(":");
            const closing = this.keptConnections.get(key)!;
            new ExchangeDirection(this.fabric, server, client).run(() => this.dropConnections(key, closing));
        }
    }

    private dropConnections(key: string, closing: readonly KeptConnection[]): void {
        const remaining = this.keptConnections.get(key)?.filter(kept => !closing.includes(kept));
        if (remaining) this.keptConnections.set(key, remaining);
    }

    /** Adds a connection whose exchange is complete to those that later requests may use. */
    keepConnection(client: string, target: string, ref: object): void {
        if (this.history.isFull(ref)) return;
        const key = `${client}>${target}`;
        const kept = { idleSince: this.fabric.clock.monotonic(), ref };
        this.keptConnections.set(key, [...this.keptConnections.get(key) ?? [], kept]);
    }

    /** Records that a request is sent on a connection. */
    recordUse(ref: object, id: string | undefined): ConnectionUse {
        return this.history.record(ref, id);
    }

    /**
     * Takes the most recently used kept connection that has not carried a request with the same id.
     *
     * @param maxIdleMs - Maximum idle time, in milliseconds; connections that were idle for longer are closed.
     * @returns Its identity; undefined where there is none.
     */
    takeConnection(client: string, target: string, maxIdleMs: number, id: string | undefined): object | undefined {
        const key = `${client}>${target}`;
        const oldest = this.fabric.clock.monotonic() - maxIdleMs;
        const isUsable = ({ idleSince, ref }: KeptConnection): boolean =>
            idleSince >= oldest && !(id !== undefined && this.history.hasCarried(ref, id));
        const usable = (this.keptConnections.get(key) ?? []).filter(isUsable);
        const taken = usable.pop();
        this.keptConnections.set(key, usable);
        return taken?.ref;
    }

    private resetExchanges(client: string, server: string): void {
        for (const exchange of [...this.exchanges]) {
            if (exchange.client === client && exchange.server === server) exchange.failClient();
        }
        for (const key of [...this.keptConnections.keys()]) {
            if (key.startsWith(`${client}>${server}:`)) this.keptConnections.delete(key);
        }
    }
}

class MemoryHttp extends Http {
    private nextPort = 50_000;

    constructor(private readonly httpFabric: MemoryHttpFabric, private readonly host: string) {
        super();
    }

    async serve(address: Address, _limits: HttpLimits, handler: HttpHandler): Promise<HttpListener> {
        const bound = { host: address.host, port: address.port === 0 ? this.nextPort++ : address.port };
        const hostPort = formatAddress(bound);
        if (this.httpFabric.servers.has(hostPort)) throw new NetworkError("refused", `${hostPort} is in use`);
        this.httpFabric.servers.set(hostPort, handler);
        this.httpFabric.fabric.register(bound, connection => void serveRawConnection(connection, handler));
        const stopAccepting = async (): Promise<void> => {
            this.httpFabric.servers.delete(hostPort);
            this.httpFabric.fabric.unregister(bound);
            closeConnections();
        };
        const closeConnections = (): void => this.httpFabric.closeConnections(hostPort, handler);
        const countOpenAnswers = (): OpenAnswers => ({
            requests: this.httpFabric.listServed(handler).length,
            unsentBytes: 0,
        });
        return {
            address: bound,
            setLimits: () => undefined,
            countOpenAnswers,
            whenAnswered: () => this.httpFabric.whenAnswered(handler),
            closeConnections,
            stopAccepting,
            close: stopAccepting,
        };
    }

    async send(call: HttpCall): Promise<Either<HttpError, HttpReply>> {
        const { fabric, servers } = this.httpFabric;
        const serverHost = call.address.host;
        const target = formatAddress(call.address);
        if (call.signal?.aborted) return Left(new HttpError("aborted", false, target));
        const fault = findHeaderFault(call.headers);
        if (fault !== undefined) return Left(new HttpError("malformed", false, fault));
        const maxIdleMs = call.recentlyUsedOnly ? MAX_RECENT_IDLE_MS : MAX_POOL_IDLE_MS;
        const kept = call.newConnection ? undefined : this.httpFabric.takeConnection(
            this.host,
            target,
            maxIdleMs,
            call.id,
        );
        if (kept) return new Exchange(this.httpFabric, this.host, call, kept).run(false);
        call.onConnection?.("opening");
        if (fabric.isCut(this.host, serverHost) || fabric.isCut(serverHost, this.host)) {
            await fabric.clock.sleep(call.connectTimeoutMs, call.signal);
            return Left(new HttpError(call.signal?.aborted ? "aborted" : "timeout", false, target));
        }
        await fabric.clock.sleep(fabric.latency(this.host, serverHost));
        const isRefused = fabric.refuses(this.host, serverHost) || !servers.has(target);
        if (isRefused) return Left(new HttpError("refused", false, target));
        if (call.signal?.aborted) return Left(new HttpError("aborted", false, target));
        call.onConnection?.("open");
        return new Exchange(this.httpFabric, this.host, call, {}).run(true);
    }
}

/** A message from the server to the client after the response's headers. */
type BodyPart =
    | { readonly kind: "chunk"; readonly bytes: Uint8Array; }
    | { readonly kind: "end"; }
    | { readonly kind: "cut"; };

/** Status and headers of a response. */
interface ResponseHead {
    readonly status: number;
    readonly headers: HeaderList;
}

/** One direction of an exchange. Actions run in order at the receiving end, after the link's latency, or once the link is healed. */
class ExchangeDirection {
    private held: (() => void)[] = [];

    constructor(private readonly fabric: MemoryFabric, private readonly from: string, private readonly to: string) {}

    run(action: () => void): void {
        const { fabric, from, to } = this;
        if (this.held.length === 0 && !fabric.isCut(from, to)) {
            fabric.clock.after(fabric.latency(from, to), action);
            return;
        }
        this.held.push(action);
        if (this.held.length === 1) fabric.onceHealed(from, to, () => this.release());
    }

    /** Drops the actions that wait for the link to be healed. */
    drop(): void {
        this.held = [];
    }

    private release(): void {
        const held = this.held;
        this.held = [];
        for (const action of held) this.run(action);
    }
}

/** One request and its response, over links that may be cut meanwhile. */
class Exchange {
    readonly client: string;
    readonly server: string;
    private readonly parts = new Mailbox<BodyPart>();
    private readonly requestClosed = new AbortController();
    private resolveHead!: (head: Either<HttpError, ResponseHead>) => void;
    private readonly head = new Promise<Either<HttpError, ResponseHead>>(resolve => {
        this.resolveHead = resolve;
    });
    private readonly toClient: ExchangeDirection;
    private readonly toServer: ExchangeDirection;
    private isFinished = false;
    private endsConnection = false;
    private failureReason: HttpError["reason"] = "closed";
    private handler: HttpHandler | undefined;

    private readonly connection: ConnectionUse;

    /** @param ref - The connection on which the request is sent. */
    constructor(
        private readonly httpFabric: MemoryHttpFabric,
        client: string,
        private readonly call: HttpCall,
        private readonly ref: object,
    ) {
        this.connection = httpFabric.recordUse(ref, call.id);
        const { fabric } = httpFabric;
        this.client = client;
        this.server = call.address.host;
        this.toClient = new ExchangeDirection(fabric, this.server, client);
        this.toServer = new ExchangeDirection(fabric, client, this.server);
        httpFabric.exchanges.add(this);
    }

    /** The handler that has begun to serve the request; undefined while none has. */
    get servedBy(): HttpHandler | undefined {
        return this.handler;
    }

    /** @param isConnected - Whether a new connection has just been opened for the request: it arrives at once. */
    async run(isConnected: boolean): Promise<Either<HttpError, HttpReply>> {
        const { call } = this;
        const { clock } = this.httpFabric.fabric;
        const headTimer = clock.after(call.headTimeoutMs, () => this.abandon("timeout"));
        const abort = (): void => this.abandon("aborted");
        call.signal?.addEventListener("abort", abort);
        if (isConnected) this.handle();
        else this.toServer.run(() => this.handle());
        const head = await this.head;
        headTimer.cancel();
        return head.map(({ status, headers }) => ({
            status,
            headers,
            connection: this.connection,
            body: this.readBody(),
            reset: () => this.abandon("closed"),
        }));
    }

    sendHead(head: ResponseHead): void {
        this.endsConnection = findHeader(head.headers, "connection") === "close";
        this.toClient.run(() => this.resolveHead(Right(head)));
    }

    sendPart(part: BodyPart): void {
        this.toClient.run(() => {
            this.parts.put(part);
            if (part.kind === "end" && !this.isFinished) this.keepConnection();
            if (part.kind !== "chunk") this.finish();
        });
    }

    /** Ends the exchange with an error on the client's side, once the server's reset has arrived. */
    sendReset(): void {
        this.toClient.run(() => this.failClient());
    }

    /** Ends the exchange with an error on the client's side. */
    failClient(): void {
        this.parts.put({ kind: "cut" });
        const address = formatAddress(this.call.address);
        this.resolveHead(Left(new HttpError(this.failureReason, true, address, this.connection)));
        this.finish();
    }

    private handle(): void {
        const { call, httpFabric } = this;
        const handler = httpFabric.servers.get(formatAddress(call.address));
        // A request that was held back is lost if its sender has reset the connection meanwhile.
        if (this.isFinished) return;
        if (!handler) return this.failClient();
        this.handler = handler;
        const res = new MemoryResponse(this);
        handler(new MemoryRequest(call, this.client, this.requestClosed.signal), res).catch(() => res.fail());
    }

    private keepConnection(): void {
        const { call, client, handler, httpFabric } = this;
        const target = formatAddress(call.address);
        if (call.newConnection || this.endsConnection || !httpFabric.keepsConnections(target, handler)) return;
        httpFabric.keepConnection(client, target, this.ref);
    }

    private abandon(reason: HttpError["reason"]): void {
        if (this.isFinished) return;
        this.failureReason = reason;
        this.failClient();
    }

    private finish(): void {
        if (this.isFinished) return;
        this.isFinished = true;
        this.httpFabric.removeExchange(this);
        this.toClient.drop();
        this.toServer.drop();
        this.toServer.run(() => this.requestClosed.abort());
    }

    private async *readBody(): AsyncIterable<Uint8Array> {
        for (;;) {
            const part = await this.parts.take();
            if (part === undefined || part.kind === "end") return;
            if (part.kind === "cut") throw new HttpError(this.failureReason, true, formatAddress(this.call.address));
            yield part.bytes;
        }
    }
}

class MemoryRequest extends HttpRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: HeaderList;
    private readonly bytes: Uint8Array;

    constructor(call: HttpCall, readonly remote: string, readonly closed: AbortSignal) {
        super();
        this.method = call.method;
        this.path = call.path;
        this.headers = call.headers.map(([name, value]) => [name.toLowerCase(), value] as const);
        this.bytes = call.body ?? new Uint8Array();
    }

    async body(limitBytes: number): Promise<Either<BodyError, Uint8Array>> {
        return this.bytes.length > limitBytes ? Left(new BodyError("too-large")) : Right(this.bytes);
    }
}

class MemoryResponse extends HttpResponse {
    private isHeadSent = false;
    private isEnded = false;

    constructor(private readonly exchange: Exchange) {
        super();
    }

    head(status: number, headers: HeaderList): void {
        const fault = findHeaderFault(headers);
        if (fault !== undefined) throw new TypeError(fault);
        this.isHeadSent = true;
        this.exchange.sendHead({ status, headers });
    }

    write(chunk: string | Uint8Array): Promise<void> {
        if (!this.isEnded) this.exchange.sendPart({ kind: "chunk", bytes: toBytes(chunk) });
        return Promise.resolve();
    }

    end(chunk?: string | Uint8Array): void {
        if (this.isEnded) return;
        if (chunk !== undefined) void this.write(chunk);
        this.isEnded = true;
        this.exchange.sendPart({ kind: "end" });
    }

    reset(): void {
        this.isEnded = true;
        this.exchange.sendReset();
    }

    /** Handles an error thrown by the handler: sends a 500 if no headers were sent, else cuts the connection. */
    fail(): void {
        if (this.isHeadSent) {
            this.reset();
            return;
        }
        this.head(500, [["content-type", "application/json"]]);
        this.end(JSON.stringify({ error: { type: "internal", message: "internal error", outcome: "unknown" } }));
    }
}

function toBytes(chunk: string | Uint8Array): Uint8Array {
    return typeof chunk === "string" ? Buffer.from(chunk) : chunk;
}

/** Returns why Node would not send headers; undefined where it would. */
function findHeaderFault(headers: HeaderList): string | undefined {
    try {
        for (const [name, value] of headers) validateHeaderValue(name, value);
        return undefined;
    }
    catch (err) {
        return (err as Error).message;
    }
}
