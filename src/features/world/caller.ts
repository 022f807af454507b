import { Address, findHeader, Http, HttpError, HttpReply, readReplyText } from "../../ports/index.js";
import {
    CALLER_PATHS,
    CLASS_HEADER,
    ErrorBody,
    IDEMPOTENCY_HEADER,
    OUTCOME_HEADER,
    STREAM_DONE,
} from "../../protocol/index.js";

/** The response to one request, as a caller received it. */
export interface CallerResult {
    /** The HTTP status; 0 when there was no response. */
    readonly status: number;
    /** The outcome that the response states; "lost" when it ended without stating one. */
    readonly outcome: string;
    readonly text: string;
    readonly errorType?: string;
    readonly retryAfterMs?: number;
    /** Whether the response repeats that of an earlier call with the same idempotency key. */
    readonly replayed: boolean;
}

/** A chat request that a scenario sends. */
export interface ChatCall {
    readonly key: string;
    readonly model: string;
    readonly prompt: string;
    readonly className?: string;
    readonly stream?: boolean;
    readonly maxTokens?: number;
    readonly signal?: AbortSignal;
    /** Called after each event of a stream with the text received so far. */
    readonly onText?: (text: string) => void;
}

/** A service call that a scenario sends. */
export interface ServiceCall {
    readonly key: string;
    readonly service: string;
    readonly path: string;
    readonly body: string;
    readonly idempotencyKey?: string;
}

const RESPONSE_TIMEOUT_MS = 120_000;

/** Sends a chat to one entry and reads the response to its end. */
export async function sendChat(http: Http, address: Address, call: ChatCall): Promise<CallerResult> {
    const messages = [{ role: "user", content: call.prompt }];
    const body = { model: call.model, messages, stream: call.stream ?? true, max_tokens: call.maxTokens };
    const headers: [string, string][] = [["authorization", `Bearer ${call.key}`]];
    if (call.className) headers.push([CLASS_HEADER, call.className]);
    const sent = await http.send({
        address,
        method: "POST",
        path: CALLER_PATHS.chat,
        headers,
        body: Buffer.from(JSON.stringify(body)),
        newConnection: true,
        connectTimeoutMs: 1_000,
        headTimeoutMs: RESPONSE_TIMEOUT_MS,
        signal: call.signal,
    });
    if (sent.isLeft()) return makeLostResult();
    const reply = sent.unsafeCoerce();
    if (body.stream && reply.status === 200) return readStream(reply, call.onText);
    return readWhole(reply);
}

/** Sends a service call to one entry and reads the response to its end. */
export async function sendServiceCall(http: Http, address: Address, call: ServiceCall): Promise<CallerResult> {
    const headers: [string, string][] = [["authorization", `Bearer ${call.key}`], ["content-type", "application/json"]];
    if (call.idempotencyKey) headers.push([IDEMPOTENCY_HEADER, call.idempotencyKey]);
    const sent = await http.send({
        address,
        method: "POST",
        path: `${CALLER_PATHS.services}${call.service}${call.path}`,
        headers,
        body: Buffer.from(call.body),
        newConnection: true,
        connectTimeoutMs: 1_000,
        headTimeoutMs: RESPONSE_TIMEOUT_MS,
    });
    return sent.isLeft() ? makeLostResult() : readWhole(sent.unsafeCoerce());
}

async function readStream(reply: HttpReply, onText?: (text: string) => void): Promise<CallerResult> {
    let buffered = "";
    let text = "";
    let outcome = "lost";
    let errorType: string | undefined;
    try {
        for await (const bytes of reply.body) {
            buffered += Buffer.from(bytes).toString("utf8");
            const events = buffered.split("\n\n");
            buffered = events.pop()!;
            for (const event of events) {
                const data = event.slice("data: ".length);
                if (data === STREAM_DONE) {
                    outcome = "answered";
                    continue;
                }
                const value = JSON.parse(data);
                if (value.error) {
                    outcome = value.error.outcome;
                    errorType = value.error.type;
                }
                text += value.choices?.[0].delta.content ?? "";
                onText?.(text);
            }
        }
    }
    catch (err) {
        if (!(err instanceof HttpError)) throw err;
        outcome = "lost";
    }
    return { status: reply.status, outcome, text, errorType, replayed: false };
}

async function readWhole(reply: HttpReply): Promise<CallerResult> {
    const text = await readReplyText(reply).catch(() => undefined);
    if (text === undefined) return { ...makeLostResult(), status: reply.status };
    const err = reply.status >= 400 ? (JSON.parse(text) as ErrorBody).error : undefined;
    return {
        status: reply.status,
        outcome: findHeader(reply.headers, OUTCOME_HEADER) ?? "lost",
        text,
        errorType: err?.type,
        retryAfterMs: err?.retry_after_ms,
        replayed: findHeader(reply.headers, "x-sequoiamux-replayed") === "true",
    };
}

function makeLostResult(): CallerResult {
    return { status: 0, outcome: "lost", text: "", replayed: false };
}
