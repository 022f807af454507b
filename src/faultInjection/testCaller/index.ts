import { CALL_HEADERS } from "../../passthrough/index.js";
import { Address, Clock, encodeHeaderText, HeaderList, MemoryHttpFabric } from "../../ports/index.js";

const CALLER_HOST = "10.0.8.1";
/** Time limit of a call: for the head of its response, and where a test waits for it, for its end. */
export const CALL_TIMEOUT_MS = 30_000;

/** A call that a test sends. */
export interface TestCall {
    /** Index of the entry process. */
    readonly entry: number;
    readonly path: string;
    /** The `Host` header; by default that of all routes of tests. */
    readonly host?: string;
    readonly method?: string;
    readonly body?: string;
    /** The caller's API key, sent as a bearer token. */
    readonly key?: string;
    /** The request id; by default one is generated. */
    readonly request?: string;
    readonly headers?: HeaderList;
    readonly signal?: AbortSignal;
}

/** The response that a test call received. */
export interface TestReply {
    /** The HTTP status; 0 when there was no response. */
    readonly status: number;
    readonly headers: HeaderList;
    readonly body: string;
    /** False when the connection ended before the response body was complete. */
    readonly isWhole: boolean;
    readonly tookMs: number;
}

/**
 * Sends calls as an external caller does, each on a new connection.
 *
 * @example
 * const reply = await caller.send(entryAddress, { entry: 0, path: "/orders/1" });
 */
export class TestCaller {
    private generatedIds = 0;

    constructor(private readonly clock: Clock, private readonly web: MemoryHttpFabric) {}

    /**
     * Sends a call and reads its response to the end.
     *
     * @param address - Address of the entry process.
     */
    async send(
        address: Address,
        { path, host = "shop.example", method = "POST", body = "", key, headers = [], ...rest }: TestCall,
    ): Promise<TestReply> {
        const startedAt = this.clock.monotonic();
        const request = rest.request ?? `call-${++this.generatedIds}`;
        const sent = await this.web.http(CALLER_HOST).send({
            address,
            method,
            path,
            headers: [
                ["host", encodeHeaderText(host)],
                [CALL_HEADERS.request, request],
                ...(key === undefined ? [] : [["authorization", encodeHeaderText(`Bearer ${key}`)] as const]),
                ...headers,
            ],
            body: Buffer.from(body),
            newConnection: true,
            connectTimeoutMs: 1_000,
            headTimeoutMs: CALL_TIMEOUT_MS,
            signal: rest.signal,
        });
        const tookMs = (): number => this.clock.monotonic() - startedAt;
        const reply = sent.toMaybe().extract();
        if (!reply) return { status: 0, headers: [], body: "", isWhole: false, tookMs: tookMs() };
        let text = "";
        let isWhole = true;
        try {
            for await (const chunk of reply.body) text += Buffer.from(chunk).toString();
        }
        catch {
            isWhole = false;
        }
        return { status: reply.status, headers: reply.headers, body: text, isWhole, tookMs: tookMs() };
    }
}
