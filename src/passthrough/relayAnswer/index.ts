import { promisesNotRun } from "../../execution/index.js";
import { ByteBuffer, discardReply, HeaderList, HttpError, HttpReply } from "../../ports/index.js";
import { Attempt, AttemptResult, BufferedAnswer } from "../attempt/index.js";
import { CallContext } from "../callContext/index.js";
import { ReplyHead } from "../callDialect/index.js";
import { endWithHttpError } from "../endWithHttpError/index.js";
import { writeToCaller } from "../writeToCaller/index.js";

/**
 * Answers up to this size are buffered before they are forwarded, in bytes: one that breaks off can then be replaced by
 * another upstream's.
 */
const MAX_BUFFERED_BYTES = 256 * 1024;
const MIN_SERVER_ERROR_STATUS = 500;
const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;
const LENGTH_HEADER = "content-length";

/** Forwards an answer that is not a stream of events. */
export async function relayAnswer(
    ctx: CallContext,
    attempt: Attempt,
    reply: HttpReply,
    { headers }: ReplyHead,
): Promise<AttemptResult> {
    const { answer, silence } = attempt;
    if (promisesNotRun(reply.status)) return withholdPromise(ctx, reply);
    const buffered = new ByteBuffer();
    const share = ctx.heldBytes.open();
    try {
        for await (const chunk of reply.body) {
            if (answer.sentStatus !== undefined) {
                await writeToCaller(attempt, chunk);
                continue;
            }
            buffered.append(chunk);
            silence.expectBeginning();
            const isHeld = buffered.length <= MAX_BUFFERED_BYTES && share.resize(buffered.length);
            if (!isHeld) await startUnbuffered(attempt, reply, headers, buffered.take());
        }
    }
    catch (err) {
        return endWithHttpError("lost", err as HttpError);
    }
    finally {
        share.close();
    }
    if (answer.sentStatus !== undefined) {
        return { kind: "answered", status: reply.status, deliver: () => answer.end() };
    }
    const { status } = reply;
    const body = buffered.take();
    return finishBuffered(ctx, attempt, {
        status,
        headers: replaceLength(headers, attempt.call.method, status, body),
        body,
    });
}

/** Ends an attempt whose answer would tell the caller that the call has not run, though its upstream does not state that. */
function withholdPromise(ctx: CallContext, reply: HttpReply): AttemptResult {
    void discardReply(reply, ctx.clock);
    const detail = `the upstream answers ${reply.status} without a statement that it has not run the call`;
    return { kind: "ended", end: "failed", detail };
}

async function startUnbuffered(
    attempt: Attempt,
    { status }: HttpReply,
    headers: HeaderList,
    buffered: Uint8Array,
): Promise<void> {
    attempt.silence.pause();
    attempt.answer.sendHead(status, headers);
    attempt.stream.isHeadSent = true;
    attempt.run.hasAnswerBegun = true;
    await writeToCaller(attempt, buffered);
}

function finishBuffered(ctx: CallContext, { call, answer, stream }: Attempt, buffered: BufferedAnswer): AttemptResult {
    const { status } = buffered;
    const isFailure = status >= MIN_SERVER_ERROR_STATUS;
    if (isFailure) return { kind: "ended", end: "failed", detail: `the upstream answers ${status}`, failure: buffered };
    stream.firstEventMs ??= ctx.clock.monotonic() - call.arrivedAt;
    return { kind: "answered", status, deliver: () => sendBuffered(answer, buffered) };
}

/** Sends a buffered answer to the caller. */
export function sendBuffered(answer: Attempt["answer"], { status, headers, body }: BufferedAnswer): void {
    answer.sendWhole(status, headers, body);
}

/** Returns headers with the length of the body; where method or status exclude a body, the length is that of another answer, and stays. */
function replaceLength(headers: HeaderList, method: string, status: number, body: Uint8Array): HeaderList {
    const rest = headers.filter(([name]) => name !== LENGTH_HEADER);
    if (status === STATUS_NO_CONTENT) return rest;
    if (method === "HEAD" || status === STATUS_NOT_MODIFIED) return headers;
    return [...rest, [LENGTH_HEADER, String(body.length)]];
}
