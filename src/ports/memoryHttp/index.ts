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
import { MemoryFabric } from "../memoryNetwork/index.js";
import { Address, formatAddress, NetworkError } from "../network/index.js";

/** The servers of one process-wide in-memory network. */
export class MemoryWeb {
    readonly servers = new Map<string, HttpHandler>();

    /** @param fabric - Whose latencies and cuts hold for requests too. */
    constructor(readonly fabric: MemoryFabric) {}

    /** HTTP as one host sees it. */
    http(host: string): Http {
        return new MemoryHttp(this, host);
    }

    /** Stops all servers of a host, as its crash does; answers under way are cut off. */
    crash(host: string): void {
        for (const name of [...this.servers.keys()]) {
            if (name.startsWith(`${host}:`)) this.servers.delete(name);
        }
        for (const exchange of [...this.exchanges]) {
            if (exchange.client === host || exchange.server === host) exchange.cutOff();
        }
    }

    readonly exchanges = new Set<Exchange>();
}

class MemoryHttp extends Http {
    private nextPort = 50_000;

    constructor(private readonly web: MemoryWeb, private readonly host: string) {
        super();
    }

    async serve(address: Address, _limits: HttpLimits, handler: HttpHandler): Promise<HttpListener> {
        const bound = { host: address.host, port: address.port === 0 ? this.nextPort++ : address.port };
        const name = formatAddress(bound);
        if (this.web.servers.has(name)) throw new NetworkError("refused", `${name} is in use`);
        this.web.servers.set(name, handler);
        this.web.fabric.register(bound, connection => void serveRawConnection(connection, handler));
        const stopAccepting = async (): Promise<void> => {
            this.web.servers.delete(name);
            this.web.fabric.unregister(bound);
        };
        return { address: bound, setLimits: () => undefined, stopAccepting, close: stopAccepting };
    }

    async send(call: HttpCall): Promise<Either<HttpError, HttpReply>> {
        const { fabric, servers } = this.web;
        const there = call.address.host;
        const target = formatAddress(call.address);
        if (call.signal?.aborted) return Left(new HttpError("aborted", false, target));
        if (fabric.isCut(this.host, there) || fabric.isCut(there, this.host)) {
            await fabric.clock.sleep(call.connectTimeoutMs, call.signal);
            return Left(new HttpError(call.signal?.aborted ? "aborted" : "timeout", false, target));
        }
        await fabric.clock.sleep(fabric.latency(this.host, there));
        const handler = servers.get(target);
        if (!handler) return Left(new HttpError("refused", false, target));
        return new Exchange(this.web, this.host, call).run(handler);
    }
}

type Part =
    | { readonly kind: "chunk"; readonly bytes: Uint8Array; }
    | { readonly kind: "end"; }
    | { readonly kind: "cut"; };

interface Head {
    readonly status: number;
    readonly headers: HeaderList;
}

/** One request and its answer, over links that may be cut while it runs. */
class Exchange {
    readonly client: string;
    readonly server: string;
    private readonly parts = new Mailbox<Part>();
    private readonly closed = new AbortController();
    private resolveHead!: (head: Either<HttpError, Head>) => void;
    private readonly head = new Promise<Either<HttpError, Head>>(resolve => {
        this.resolveHead = resolve;
    });
    private readonly held: (() => void)[] = [];
    private over = false;
    private cause: HttpError["reason"] = "closed";

    constructor(private readonly web: MemoryWeb, client: string, private readonly call: HttpCall) {
        this.client = client;
        this.server = call.address.host;
        web.exchanges.add(this);
    }

    async run(handler: HttpHandler): Promise<Either<HttpError, HttpReply>> {
        const { call } = this;
        const { clock } = this.web.fabric;
        const limit = clock.after(call.headTimeoutMs, () => this.abandon("timeout"));
        const abort = (): void => this.abandon("aborted");
        call.signal?.addEventListener("abort", abort);
        const res = new MemoryResponse(this);
        handler(new MemoryRequest(call, this.client, this.closed.signal), res).catch(() => res.fail());
        const head = await this.head;
        limit.cancel();
        return head.map(({ status, headers }) => ({
            status,
            headers,
            body: this.readBody(),
            reset: () => this.abandon("closed"),
        }));
    }

    /** Runs an action at the client's end once the link lets it through. */
    toClient(action: () => void): void {
        const { fabric } = this.web;
        if (this.held.length > 0 || fabric.isCut(this.server, this.client)) {
            this.held.push(action);
            this.waitForHeal();
            return;
        }
        fabric.clock.after(fabric.latency(this.server, this.client), action);
    }

    giveHead(head: Head): void {
        this.toClient(() => this.resolveHead(Right(head)));
    }

    givePart(part: Part): void {
        this.toClient(() => {
            this.parts.put(part);
            if (part.kind !== "chunk") this.finish();
        });
    }

    cutOff(): void {
        this.parts.put({ kind: "cut" });
        this.resolveHead(Left(new HttpError(this.cause, true, formatAddress(this.call.address))));
        this.finish();
    }

    private abandon(cause: HttpError["reason"]): void {
        if (this.over) return;
        this.cause = cause;
        this.cutOff();
    }

    private finish(): void {
        if (this.over) return;
        this.over = true;
        this.web.exchanges.delete(this);
        const { fabric } = this.web;
        fabric.clock.after(fabric.latency(this.client, this.server), () => this.closed.abort());
    }

    private waitForHeal(): void {
        const { fabric } = this.web;
        if (this.held.length !== 1) return;
        const poll = (): void => {
            if (this.over) return;
            if (fabric.isCut(this.server, this.client)) {
                fabric.clock.after(1, poll);
                return;
            }
            const actions = this.held.splice(0);
            for (const action of actions) this.toClient(action);
        };
        fabric.clock.after(1, poll);
    }

    private async *readBody(): AsyncIterable<Uint8Array> {
        for (;;) {
            const part = await this.parts.take();
            if (part === undefined || part.kind === "end") return;
            if (part.kind === "cut") throw new HttpError(this.cause, true, formatAddress(this.call.address));
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
    private headSent = false;
    private ended = false;

    constructor(private readonly exchange: Exchange) {
        super();
    }

    head(status: number, headers: HeaderList): void {
        this.headSent = true;
        this.exchange.giveHead({ status, headers });
    }

    write(chunk: string | Uint8Array): Promise<void> {
        if (!this.ended) this.exchange.givePart({ kind: "chunk", bytes: toBytes(chunk) });
        return Promise.resolve();
    }

    end(chunk?: string | Uint8Array): void {
        if (this.ended) return;
        if (chunk !== undefined) void this.write(chunk);
        this.ended = true;
        this.exchange.givePart({ kind: "end" });
    }

    reset(): void {
        this.ended = true;
        this.exchange.toClient(() => this.exchange.cutOff());
    }

    /** A handler that threw: a plain 500 if nothing went out, else a cut connection. */
    fail(): void {
        if (this.headSent) {
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
