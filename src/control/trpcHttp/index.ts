import type { AnyTRPCRouter } from "@trpc/server";
import { fetchRequestHandler } from "@trpc/server/adapters/fetch";
import {
    Address,
    BodyError,
    formatAddress,
    HeaderList,
    Http,
    HttpError,
    HttpHandler,
    readReplyText,
} from "../../ports/index.js";
import { OUTCOME_HEADER } from "../../protocol/index.js";

/** Path prefix of tRPC procedures. */
const ENDPOINT = "/operate";
const MAX_BODY_BYTES = 4 * 1024 * 1024;
const CONNECT_TIMEOUT_MS = 2_000;
const STATUS_TOO_LARGE = 413;
const STATUS_UNAVAILABLE = 503;
const NO_ROOM_HEADERS: HeaderList = [["retry-after", "1"], [OUTCOME_HEADER, "not-run"]];

/**
 * Creates an HTTP handler that serves a tRPC router's procedures over the `Http` port.
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
        if (body.isLeft()) {
            const { reason } = body.extract() as BodyError;
            if (reason === "over-capacity") res.head(STATUS_UNAVAILABLE, NO_ROOM_HEADERS);
            else res.head(STATUS_TOO_LARGE, []);
            res.end();
            return;
        }
        const answer = await fetchRequestHandler({
            endpoint: ENDPOINT,
            req: new Request(`http://operator${req.path}`, {
                method: req.method,
                headers: req.headers.map(([name, value]): [string, string] => [name, value]),
                ...(req.method === "GET" || req.method === "HEAD" ? {} : { body: Buffer.from(body.unsafeCoerce()) }),
            }),
            router,
            createContext,
        });
        res.head(answer.status, [...answer.headers]);
        res.end(Buffer.from(await answer.arrayBuffer()));
    };
}

/** Formats the URL of a server for a tRPC link. */
export function formatTrpcUrl(address: Address): string {
    return `http://${formatAddress(address)}${ENDPOINT}`;
}

/** The part of a fetch response that a tRPC link uses. */
interface FetchReply {
    readonly ok: boolean;
    json(): Promise<unknown>;
}

/** The part of fetch's request options that a tRPC link sets. */
interface FetchInit {
    readonly method?: string;
    readonly headers?: unknown;
    readonly body?: unknown;
}

/**
 * Creates a `fetch` function with which a tRPC link sends over the `Http` port. Uses a fresh connection per request, so that an
 * operator's call doesn't hang on an unresponsive one.
 *
 * @param timeoutMs - Timeout for the response head, in milliseconds.
 * @returns A function compatible with fetch that throws HttpError when there is no response.
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
            newConnection: true,
            connectTimeoutMs: CONNECT_TIMEOUT_MS,
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
