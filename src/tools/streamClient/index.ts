import { Address, Http, HttpReply, readReplyText } from "../../ports/index.js";
import { ENGINE_PATHS } from "../../protocol/index.js";

/** When a stream's tokens came, in milliseconds after its request left. */
export interface StreamTimes {
    readonly firstTokenMs: number;
    readonly totalMs: number;
    readonly tokens: number;
}

/** Where to send a stream, and as whom. */
export interface StreamTarget {
    readonly address: Address;
    /** A caller's key; undefined when the stream goes straight to an engine. */
    readonly key: string | undefined;
    readonly model: string;
}

const TIMEOUT_MS = 60_000;

/**
 * Sends one streamed chat and reads it to its end. Engines and entries take the same request, so that both paths are
 * measured with the same client.
 *
 * @param tokens - How long the answer is.
 * @param onFirst - Called at the first token, for streams that are to stay open.
 * @throws Error when the answer is not whole.
 */
export async function sendStream(
    http: Http,
    target: StreamTarget,
    request: string,
    tokens: number,
    onFirst: () => void = () => undefined,
): Promise<StreamTimes> {
    const startedAt = performance.now();
    const sent = await http.send({
        address: target.address,
        method: "POST",
        path: ENGINE_PATHS.chat,
        headers: target.key === undefined ? [] : [["authorization", `Bearer ${target.key}`]],
        body: Buffer.from(JSON.stringify(makeBody(target, request, tokens))),
        fresh: false,
        connectTimeoutMs: TIMEOUT_MS,
        headTimeoutMs: TIMEOUT_MS,
    });
    const reply = sent.unsafeCoerce();
    if (reply.status !== 200) throw new Error(`status ${reply.status}: ${await readReplyText(reply)}`);
    return readTimes(reply, startedAt, onFirst);
}

function makeBody({ key, model }: StreamTarget, request: string, tokens: number): object {
    const messages = [{ role: "user", content: `${request} [tokens=${tokens}]` }];
    const body = { model, messages, max_tokens: tokens, stream: true };
    return key === undefined ? { ...body, request_id: request, priority: 0 } : body;
}

async function readTimes(reply: HttpReply, startedAt: number, onFirst: () => void): Promise<StreamTimes> {
    let firstTokenMs: number | undefined;
    let tokens = 0;
    let last = "";
    for await (const bytes of reply.body) {
        const text = Buffer.from(bytes).toString("utf8");
        tokens += text.split("\"content\":").length - 1;
        last = text;
        if (firstTokenMs === undefined && tokens > 0) {
            firstTokenMs = performance.now() - startedAt;
            onFirst();
        }
    }
    if (firstTokenMs === undefined || !last.includes("[DONE]")) throw new Error("the answer is not whole");
    return { firstTokenMs, totalMs: performance.now() - startedAt, tokens };
}
