import { Address, Http, HttpReply, readReplyText } from "../../ports/index.js";
import { ENGINE_PATHS } from "../../protocol/index.js";

/** Token count and times of one stream, in milliseconds after its request was sent. */
export interface StreamTimes {
    readonly firstTokenMs: number;
    readonly totalMs: number;
    readonly tokens: number;
}

/** Destination and credentials of a stream's request. */
export interface StreamTarget {
    readonly address: Address;
    /** API key of the caller; undefined for a request sent directly to an engine. */
    readonly key: string | undefined;
    readonly model: string;
}

const TIMEOUT_MS = 60_000;

/**
 * Sends one streamed chat request and reads the stream to its end. Serves engines and entries alike, so that both paths
 * are measured with the same client.
 *
 * @param requestId - Id of the request, which also opens its prompt.
 * @param tokens - Length of the answer.
 * @param onFirstToken - Called at the first token, while the stream is still open.
 * @throws Error when the status is not 200 or the answer is incomplete.
 */
export async function sendStream(
    http: Http,
    target: StreamTarget,
    requestId: string,
    tokens: number,
    onFirstToken: () => void = () => undefined,
): Promise<StreamTimes> {
    const startedAt = performance.now();
    const sent = await http.send({
        address: target.address,
        method: "POST",
        path: ENGINE_PATHS.chat,
        headers: target.key === undefined ? [] : [["authorization", `Bearer ${target.key}`]],
        body: Buffer.from(JSON.stringify(makeChatBody(target, requestId, tokens))),
        newConnection: false,
        connectTimeoutMs: TIMEOUT_MS,
        headTimeoutMs: TIMEOUT_MS,
    });
    const reply = sent.unsafeCoerce();
    if (reply.status !== 200) throw new Error(`status ${reply.status}: ${await readReplyText(reply)}`);
    return measureStream(reply, startedAt, onFirstToken);
}

function makeChatBody({ key, model }: StreamTarget, requestId: string, tokens: number): object {
    const messages = [{ role: "user", content: `${requestId} [tokens=${tokens}]` }];
    const body = { model, messages, max_tokens: tokens, stream: true };
    return key === undefined ? { ...body, request_id: requestId, priority: 0 } : body;
}

async function measureStream(reply: HttpReply, startedAt: number, onFirstToken: () => void): Promise<StreamTimes> {
    let firstTokenMs: number | undefined;
    let tokens = 0;
    let lastText = "";
    for await (const bytes of reply.body) {
        const text = Buffer.from(bytes).toString("utf8");
        tokens += text.split("\"content\":").length - 1;
        lastText = text;
        if (firstTokenMs === undefined && tokens > 0) {
            firstTokenMs = performance.now() - startedAt;
            onFirstToken();
        }
    }
    if (firstTokenMs === undefined || !lastText.includes("[DONE]")) throw new Error("the answer is not whole");
    return { firstTokenMs, totalMs: performance.now() - startedAt, tokens };
}
