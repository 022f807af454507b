import { CALL_HEADERS } from "../../passthrough/index.js";
import { Address, Clock, HeaderList, MemoryWeb } from "../../ports/index.js";

const CALLER_HOST = "10.0.8.1";
/** How long an answer may take, in milliseconds. */
export const CALL_LIMIT_MS = 30_000;

/** A call as a test sends it. */
export interface TestCall {
    readonly entry: number;
    readonly path: string;
    readonly method?: string;
    readonly body?: string;
    readonly key?: string;
    readonly request?: string;
    readonly headers?: HeaderList;
    readonly signal?: AbortSignal;
}

/** What its caller got. */
export interface TestReply {
    readonly status: number;
    readonly headers: HeaderList;
    readonly body: string;
    /** False: the connection ended before the answer did. */
    readonly isWhole: boolean;
    readonly tookMs: number;
}

/**
 * Sends calls as a caller does, each on a connection of its own.
 *
 * @example
 * const reply = await caller.send(entryAddress, { entry: 0, path: "/orders/1" });
 */
export class TestCaller {
    private calls = 0;

    constructor(private readonly clock: Clock, private readonly web: MemoryWeb) {}

    /**
     * Sends a call and reads its answer to the end.
     *
     * @param address - The entry's.
     */
    async send(
        address: Address,
        { path, method = "POST", body = "", key, headers = [], ...rest }: TestCall,
    ): Promise<TestReply> {
        const startedAt = this.clock.monotonic();
        const request = rest.request ?? `call-${++this.calls}`;
        const sent = await this.web.http(CALLER_HOST).send({
            address,
            method,
            path,
            headers: [
                ["host", "shop.example"],
                [CALL_HEADERS.request, request],
                ...(key === undefined ? [] : [["authorization", `Bearer ${key}`] as const]),
                ...headers,
            ],
            body: Buffer.from(body),
            fresh: true,
            connectTimeoutMs: 1_000,
            headTimeoutMs: CALL_LIMIT_MS,
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
