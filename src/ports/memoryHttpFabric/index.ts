import { Either, Left, Right } from "purify-ts";
import { Mailbox } from "../_lib/mailbox.js";
import { serveRawConnection } from "../_lib/serveRawConnection.js";
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
import { MemoryFabric } from "../memoryFabric/index.js";
import { Address, formatAddress, NetworkError } from "../network/index.js";

/** HTTP servers and running exchanges of an in-memory network that all simulated hosts share. */
export class MemoryHttpFabric {
    /** Handlers by `host:port`. */
    readonly servers = new Map<string, HttpHandler>();

    /** @param fabric - The network whose latencies and cuts apply to requests. */
    constructor(readonly fabric: MemoryFabric) {}

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
    }

    readonly exchanges = new Set<Exchange>();
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
        };
        return { address: bound, setLimits: () => undefined, stopAccepting, close: stopAccepting };
    }

    async send(call: HttpCall): Promise<Either<HttpError, HttpReply>> {
        const { fabric, servers } = this.httpFabric;
        const serverHost = call.address.host;
        const target = formatAddress(call.address);
        if (call.signal?.aborted) return Left(new HttpError("aborted", false, target));
        if (fabric.isCut(this.host, serverHost) || fabric.isCut(serverHost, this.host)) {
            await fabric.clock.sleep(call.connectTimeoutMs, call.signal);
            return Left(new HttpError(call.signal?.aborted ? "aborted" : "timeout", false, target));
        }
        await fabric.clock.sleep(fabric.latency(this.host, serverHost));
        const handler = servers.get(target);
        if (!handler) return Left(new HttpError("refused", false, target));
        return new Exchange(this.httpFabric, this.host, call).run(handler);
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
    private readonly heldActions: (() => void)[] = [];
    private isFinished = false;
    private failureReason: HttpError["reason"] = "closed";

    constructor(private readonly httpFabric: MemoryHttpFabric, client: string, private readonly call: HttpCall) {
        this.client = client;
        this.server = call.address.host;
        httpFabric.exchanges.add(this);
    }

    async run(handler: HttpHandler): Promise<Either<HttpError, HttpReply>> {
        const { call } = this;
        const { clock } = this.httpFabric.fabric;
        const headTimer = clock.after(call.headTimeoutMs, () => this.abandon("timeout"));
        const abort = (): void => this.abandon("aborted");
        call.signal?.addEventListener("abort", abort);
        const res = new MemoryResponse(this);
        handler(new MemoryRequest(call, this.client, this.requestClosed.signal), res).catch(() => res.fail());
        const head = await this.head;
        headTimer.cancel();
        return head.map(({ status, headers }) => ({
            status,
            headers,
            body: this.readBody(),
            reset: () => this.abandon("closed"),
        }));
    }

    /** Runs an action on the client's side after the link's latency, in order; waits while the link is cut. */
    runAtClient(action: () => void): void {
        const { fabric } = this.httpFabric;
        if (this.heldActions.length > 0 || fabric.isCut(this.server, this.client)) {
            this.heldActions.push(action);
            this.waitUntilHealed();
            return;
        }
        fabric.clock.after(fabric.latency(this.server, this.client), action);
    }

    sendHead(head: ResponseHead): void {
        this.runAtClient(() => this.resolveHead(Right(head)));
    }

    sendPart(part: BodyPart): void {
        this.runAtClient(() => {
            this.parts.put(part);
            if (part.kind !== "chunk") this.finish();
        });
    }

    /** Ends the exchange with an error on the client's side. */
    failClient(): void {
        this.parts.put({ kind: "cut" });
        this.resolveHead(Left(new HttpError(this.failureReason, true, formatAddress(this.call.address))));
        this.finish();
    }

    private abandon(reason: HttpError["reason"]): void {
        if (this.isFinished) return;
        this.failureReason = reason;
        this.failClient();
    }

    private finish(): void {
        if (this.isFinished) return;
        this.isFinished = true;
        this.httpFabric.exchanges.delete(this);
        const { fabric } = this.httpFabric;
        fabric.clock.after(fabric.latency(this.client, this.server), () => this.requestClosed.abort());
    }

    /** Polls until the link is healed, then runs the held actions. */
    private waitUntilHealed(): void {
        const { fabric } = this.httpFabric;
        if (this.heldActions.length !== 1) return;
        const poll = (): void => {
            if (this.isFinished) return;
            if (fabric.isCut(this.server, this.client)) {
                fabric.clock.after(1, poll);
                return;
            }
            const actions = this.heldActions.splice(0);
            for (const action of actions) this.runAtClient(action);
        };
        fabric.clock.after(1, poll);
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
        this.exchange.runAtClient(() => this.exchange.failClient());
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
