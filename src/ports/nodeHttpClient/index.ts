import { Agent, IncomingMessage, request } from "node:http";
import { Socket } from "node:net";
import { Either, Left, Right } from "purify-ts";
import { startTimer } from "../_lib/startTimer.js";
import { toHeaderList } from "../_lib/toHeaderList.js";
import { BodyFraming, readBodyFraming } from "../bodyFraming/index.js";
import { ChunkDecoder } from "../chunkDecoder/index.js";
import { ConnectionHistory } from "../connectionHistory/index.js";
import { ConnectionPool } from "../connectionPool/index.js";
import { ConnectionUse, HeaderList, HttpCall, HttpError, HttpReply } from "../http/index.js";
import { formatAddress } from "../network/index.js";
import { RawHeadReader } from "../rawHeadReader/index.js";
import { ReceivedGarbage } from "../receivedGarbage/index.js";
import { isFieldLine, ResponseHead } from "../responseHead/index.js";

/** Maximum idle time of a pooled connection: a middlebox may have dropped its state for one that was idle for longer. */
const MAX_POOL_IDLE_MS = 2_000;
/**
 * Maximum idle time of a pooled connection for `recentlyUsedOnly` requests, which must not be lost on a connection that the
 * server has closed.
 */
const MAX_RECENT_IDLE_MS = 300;
const STATUS_NO_CONTENT = 204;
/** Matches a line that states transfer codings; Node's parser skips those without a value. */
const CODING_FIELD = /^transfer-encoding:[ \t]*[^ \t]/i;
const CODING_DECODED_BY_NODE = /chunked *$/i;

/**
 * HTTP client on `node:http` with a pool of kept connections.
 *
 * @example
 * const client = new NodeHttpClient();
 * const reply = await client.send(call);
 */
export class NodeHttpClient {
    private readonly history = new ConnectionHistory<Socket>();
    private readonly pool = new ConnectionPool(MAX_POOL_IDLE_MS, this.history);
    private readonly recentPool = new ConnectionPool(MAX_RECENT_IDLE_MS, this.history);

    /** @param garbage - Collects the bytes of responses that nobody needs any more. */
    constructor(private readonly garbage = new ReceivedGarbage()) {}

    /** Sends a request; resolves once the response's headers have arrived. Never rejects. */
    async send(call: HttpCall): Promise<Either<HttpError, HttpReply>> {
        if (call.signal?.aborted) return Left(new HttpError("aborted", false, "before sending"));
        try {
            return await this.sendRequest(call);
        }
        catch (err) {
            // Node throws before it opens a connection: on a header, a path or a method that it can't send.
            return Left(new HttpError("malformed", false, (err as Error).message));
        }
    }

    private sendRequest(call: HttpCall): Promise<Either<HttpError, HttpReply>> {
        return new Promise(resolve => {
            let isConnected = false;
            let hasReply = false;
            let hasFailed = false;
            let reason: HttpError["reason"] = "closed";
            let connection: ConnectionUse | undefined;
            let headReader: RawHeadReader | undefined;
            const req = request({
                host: call.address.host,
                port: call.address.port,
                method: call.method,
                path: call.path,
                headers: addRequiredHeaders(call).flat() as unknown as string[],
                agent: this.chooseAgent(call),
            });
            const cancel = (failureReason: HttpError["reason"], detail: string = failureReason): void => {
                reason = failureReason;
                req.destroy(new Error(detail));
            };
            let timer = startTimer(call.connectTimeoutMs, () => cancel("timeout"));
            const abort = (): void => cancel("aborted");
            call.signal?.addEventListener("abort", abort);
            req.on("socket", socket => {
                connection = this.history.record(socket, call.id);
                headReader = new RawHeadReader(socket, detail => cancel("malformed", detail));
                const startHeadTimeout = (): void => {
                    isConnected = true;
                    timer.cancel();
                    timer = startTimer(call.headTimeoutMs, () => cancel("timeout"));
                };
                if (!socket.connecting) return startHeadTimeout();
                call.onConnection?.("opening");
                socket.once("connect", () => {
                    startHeadTimeout();
                    call.onConnection?.("open");
                });
            });
            const fail = (detail: string): void => {
                hasFailed = true;
                timer.cancel();
                call.signal?.removeEventListener("abort", abort);
                const failureReason = isConnected || reason !== "closed" ? reason : "refused";
                const text = `${formatAddress(call.address)} ${detail}`;
                resolve(Left(new HttpError(failureReason, isConnected, text, connection)));
            };
            req.on("error", err => fail(err.message));
            req.on("upgrade", (_, socket) => {
                socket.destroy();
                reason = "malformed";
                fail("a change of protocol that was not requested");
            });
            // Node may close a request that has neither a response nor an error.
            req.on("close", () => {
                if (!hasReply && !hasFailed) fail("no response");
            });
            req.on("response", message => {
                const checked = checkResponse(message, headReader?.head, call.method);
                if (checked.isLeft()) return cancel("malformed", checked.extract() as string);
                const { head, framing } = checked.unsafeCoerce();
                hasReply = true;
                timer.cancel();
                closeAfterInvalidTrailers(message);
                message.once("close", () => call.signal?.removeEventListener("abort", abort));
                const endProbe = framing === "connection" ? new ConnectionEndProbe(message.socket) : undefined;
                const isExcess = declaresExcessBody(message);
                // The parser reads such a body, whose bytes belong to no request.
                if (isExcess) req.destroy();
                const body = isExcess ? readNothing() : readReplyBody(
                    message,
                    this.garbage,
                    async () => hasFailed || (await endProbe?.wasReset() ?? false),
                    () => reason,
                );
                const isEncoded = framing === "chunked" && !isDecodedByNode(head);
                resolve(Right({
                    status: head.status,
                    headers: head.headers,
                    connection,
                    body: isEncoded ? decodeChunks(body) : body,
                    reset: () => req.destroy(),
                }));
            });
            req.end(call.body);
        });
    }

    private chooseAgent({ address, id, newConnection, recentlyUsedOnly }: HttpCall): Agent {
        if (newConnection) return new Agent({ keepAlive: false });
        const pool = recentlyUsedOnly ? this.recentPool : this.pool;
        pool.closeUnfit(address, id);
        return pool;
    }
}

/** A valid head, and where its body ends. */
interface CheckedResponse {
    readonly head: ResponseHead;
    readonly framing: BodyFraming;
}

/**
 * Compares a response that Node reports with what its bytes say.
 *
 * @param head - The head that was read from the bytes; undefined where they hold none.
 * @returns Left: why the response is malformed.
 */
function checkResponse(
    { statusCode }: IncomingMessage,
    head: ResponseHead | undefined,
    method: string,
): Either<string, CheckedResponse> {
    // Node's parser ended the head at another place, or has taken an interim one for final.
    if (!head || head.status !== statusCode) return Left("a head that Node's parser reads differently");
    return readBodyFraming(head, method).map(framing => ({ head, framing }));
}

/** Whether Node's parser decodes the chunks of a response: it does not where a tab or a comma follows the name of the coding. */
function isDecodedByNode({ lines }: ResponseHead): boolean {
    const codings = lines.filter(line => CODING_FIELD.test(line));
    return CODING_DECODED_BY_NODE.test(codings.at(-1)!);
}

/** Closes the connection of a response with invalid trailers at its end, before Node's own listener returns it to the pool. */
function closeAfterInvalidTrailers(message: IncomingMessage): void {
    message.prependOnceListener("end", () => {
        if (!areTrailersValid(message)) message.socket.destroy();
    });
}

function areTrailersValid({ rawTrailers }: IncomingMessage): boolean {
    return toHeaderList(rawTrailers).every(([name, value]) => isFieldLine(`${name}:${value}`));
}

/** Whether a response's headers state a body that its status excludes. */
function declaresExcessBody({ statusCode, headers }: IncomingMessage): boolean {
    if (statusCode !== STATUS_NO_CONTENT) return false;
    return headers["transfer-encoding"] !== undefined || Number(headers["content-length"] ?? 0) > 0;
}

async function* readNothing(): AsyncIterable<Uint8Array> {}

/**
 * Detects whether a connection that has ended was reset instead of closed.
 *
 * A reset right behind the last bytes is read together with them, and the event loop then reports the end of the stream
 * instead of the error. The error stays pending on the socket, so that a write fails with it; on a connection that the
 * server has merely closed, a write succeeds. The probe writes an empty line, which HTTP allows between messages.
 */
class ConnectionEndProbe {
    private probe: Promise<boolean> | undefined;

    constructor(socket: Socket) {
        // Must run before Node's own listener, which ends the writable side.
        socket.prependOnceListener("end", () => {
            this.probe = new Promise(resolve => socket.write("\r\n", err => resolve(Boolean(err))));
        });
    }

    async wasReset(): Promise<boolean> {
        return await this.probe ?? false;
    }
}

/** Adds `host` and `content-length`: Node adds neither to headers given as a list, and sends no body without a length. */
function addRequiredHeaders(call: HttpCall): HeaderList {
    const added: [string, string][] = [];
    const has = (name: string): boolean => call.headers.some(([existing]) => existing.toLowerCase() === name);
    if (!has("host")) added.push(["host", formatAddress(call.address)]);
    if (call.body && !has("content-length")) added.push(["content-length", String(call.body.length)]);
    return [...call.headers, ...added];
}

/**
 * Reads the body of a response to its end.
 *
 * Prevents a truncated body from passing as complete: a response without a length ends with its connection, and Node
 * reports it as complete even if that connection was reset.
 *
 * @param garbage - Told of each part of the body.
 * @param endedAbnormally - Returns whether the connection failed or was reset.
 * @param reason - Returns the reason for an error that the stream reports.
 */
async function* readReplyBody(
    message: IncomingMessage,
    garbage: ReceivedGarbage,
    endedAbnormally: () => Promise<boolean>,
    reason: () => HttpError["reason"],
): AsyncIterable<Uint8Array> {
    try {
        for await (const chunk of message as AsyncIterable<Uint8Array>) {
            garbage.add(chunk.length);
            yield chunk;
        }
    }
    catch (err) {
        throw new HttpError(reason(), true, (err as Error).message);
    }
    if (!message.complete || await endedAbnormally()) throw new HttpError("closed", true, "the body was cut off");
    if (!areTrailersValid(message)) throw new HttpError("malformed", true, "an invalid trailer field");
}

/**
 * Decodes the chunks of a body that Node's parser has left as they came. For Node such a body ends with its connection, which is closed
 * behind the last chunk.
 *
 * @throws HttpError where the chunks are malformed, or end before the last one.
 */
async function* decodeChunks(body: AsyncIterable<Uint8Array>): AsyncIterable<Uint8Array> {
    const decoder = new ChunkDecoder();
    for await (const bytes of body) {
        const data = decoder.push(bytes).mapLeft(detail => new HttpError("malformed", true, detail)).unsafeCoerce();
        if (data.length > 0) yield data;
        if (decoder.isComplete) return;
    }
    throw new HttpError("closed", true, "the body was cut off");
}
