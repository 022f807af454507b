import { Address, findHeader, Http, HttpError, HttpReply, readReplyText } from "../../ports/index.js";
import {
    CALLER_PATHS,
    CLASS_HEADER,
    ErrorBody,
    IDEMPOTENCY_HEADER,
    OUTCOME_HEADER,
    STREAM_DONE,
} from "../../protocol/index.js";

/** What a caller got. */
export interface CallerResult {
    /** 0 when there was no answer at all. */
    readonly status: number;
    /** What the answer says became of the request; "lost" when it ended without saying so. */
    readonly outcome: string;
    readonly text: string;
    readonly errorType?: string;
    readonly retryAfterMs?: number;
    readonly replayed: boolean;
}

/** A chat as a scenario sends it. */
export interface ChatCall {
    readonly key: string;
    readonly model: string;
    readonly prompt: string;
    readonly className?: string;
    readonly stream?: boolean;
    readonly maxTokens?: number;
    readonly signal?: AbortSignal;
    /** Told of the text that has come so far. */
    readonly onText?: (text: string) => void;
}

/** A service call as a scenario sends it. */
export interface ServiceCall {
    readonly key: string;
    readonly service: string;
    readonly path: string;
    readonly body: string;
    readonly idempotencyKey?: string;
}

const LONG_MS = 120_000;

/** Sends a chat to one entry and reads the answer to its end. */
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
        fresh: true,
        connectTimeoutMs: 1_000,
        headTimeoutMs: LONG_MS,
        signal: call.signal,
    });
    if (sent.isLeft()) return noAnswer();
    const reply = sent.unsafeCoerce();
    if (body.stream && reply.status === 200) return readStream(reply, call.onText);
    return readWhole(reply);
}

/** Sends a service call to one entry and reads the answer to its end. */
export async function sendService(http: Http, address: Address, call: ServiceCall): Promise<CallerResult> {
    const headers: [string, string][] = [["authorization", `Bearer ${call.key}`], ["content-type", "application/json"]];
    if (call.idempotencyKey) headers.push([IDEMPOTENCY_HEADER, call.idempotencyKey]);
    const sent = await http.send({
        address,
        method: "POST",
        path: `${CALLER_PATHS.services}${call.service}${call.path}`,
        headers,
        body: Buffer.from(call.body),
        fresh: true,
        connectTimeoutMs: 1_000,
        headTimeoutMs: LONG_MS,
    });
    return sent.isLeft() ? noAnswer() : readWhole(sent.unsafeCoerce());
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
    if (text === undefined) return { ...noAnswer(), status: reply.status };
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

function noAnswer(): CallerResult {
    return { status: 0, outcome: "lost", text: "", replayed: false };
}
