import type { AnyTRPCRouter } from "@trpc/server";
import { fetchRequestHandler } from "@trpc/server/adapters/fetch";
import { Address, formatAddress, HeaderList, Http, HttpError, HttpHandler, readReplyText } from "../../ports/index.js";

/** Where tRPC procedures stand below a server's root. */
const ENDPOINT = "/operate";
const MAX_BODY_BYTES = 4 * 1024 * 1024;
const CONNECT_MS = 2_000;
const STATUS_TOO_LARGE = 413;

/**
 * Answers a tRPC router's procedures over the Http port.
 *
 * @param createContext - Called for each request.
 * @example
 * await http.serve(address, DEFAULT_HTTP_LIMITS, createTrpcHandler(router, () => context));
 */
export function createTrpcHandler<Router extends AnyTRPCRouter>(
    router: Router,
    createContext: () => object,
): HttpHandler {
    return async (req, res) => {
        const body = await req.body(MAX_BODY_BYTES);
        const bytes = body.toMaybe().extract();
        if (!bytes) {
            res.head(STATUS_TOO_LARGE, []);
            res.end();
            return;
        }
        const answer = await fetchRequestHandler({
            endpoint: ENDPOINT,
            req: new Request(`http://operator${req.path}`, {
                method: req.method,
                headers: req.headers.map(([name, value]): [string, string] => [name, value]),
                ...(req.method === "GET" || req.method === "HEAD" ? {} : { body: Buffer.from(bytes) }),
            }),
            router,
            createContext,
        });
        res.head(answer.status, [...answer.headers]);
        res.end(Buffer.from(await answer.arrayBuffer()));
    };
}

/** The URL that a tRPC link takes for a server. */
export function formatTrpcUrl(address: Address): string {
    return `http://${formatAddress(address)}${ENDPOINT}`;
}

/** What a tRPC link reads of an answer. */
interface FetchReply {
    readonly ok: boolean;
    json(): Promise<unknown>;
}

/** What a tRPC link sets on a request. */
interface FetchInit {
    readonly method?: string;
    readonly headers?: unknown;
    readonly body?: unknown;
}

/**
 * Lets a tRPC link send over the Http port. Connections are fresh: an operator's call must not hang on one that has gone
 * silent.
 *
 * @param timeoutMs - How long to wait for an answer, in milliseconds.
 * @returns A function of fetch's form. It throws HttpError when there is no answer.
 */
export function createTrpcFetch(
    http: Http,
    timeoutMs: number,
): (url: URL | string, init?: FetchInit) => Promise<FetchReply> {
    return async (url, init) => {
        const { hostname, port, pathname, search } = new URL(url);
        const body = typeof init?.body === "string" ? { body: Buffer.from(init.body) } : {};
        const length = body.body ? [["content-length", String(body.body.length)] as const] : [];
        const sent = await http.send({
            address: { host: hostname, port: Number(port) },
            method: init?.method ?? "GET",
            path: pathname + search,
            headers: [["host", `${hostname}:${port}`], ...listHeaders(init?.headers), ...length],
            ...body,
            fresh: true,
            connectTimeoutMs: CONNECT_MS,
            headTimeoutMs: timeoutMs,
        });
        const reply = sent.caseOf({ Left: throwError, Right: given => given });
        const text = await readReplyText(reply);
        return { ok: reply.status < 400, json: async () => JSON.parse(text) as unknown };
    };
}

function listHeaders(headers: unknown): HeaderList {
    return Object.entries(headers ?? {}).map(([name, value]) => [name.toLowerCase(), String(value)] as const);
}

function throwError(err: HttpError): never {
    throw err;
}
