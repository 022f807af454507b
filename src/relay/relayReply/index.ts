import { HostId } from "../../ids/index.js";
import { findHeader, HttpError, HttpReply, isResponseHead } from "../../ports/index.js";
import { PathError, UpstreamReply } from "../../upstream/index.js";
import { decodeRelayMessage, FRAME_KINDS, readRelayFrames, RelayFrame } from "../relayFrame/index.js";
import {
    BrokenBody,
    RELAY_EXCHANGE_HEADER,
    RelayAnswer,
    RelayFinding,
    RelayRefusalReason,
} from "../relayMessage/index.js";

/** Result of asking one relay to send a request: `lost` as a reason means that the relay could not be reached. */
export type RelayAttempt =
    | { readonly kind: "reply"; readonly reply: UpstreamReply; }
    | { readonly kind: "not-sent"; readonly reason: RelayRefusalReason | "lost"; readonly leftMs?: number; }
    /** The request may have been sent. */
    | { readonly kind: "lost"; readonly err: HttpError; };

const STATUS_OK = 200;
/** Statuses of servers that relay nothing: they have not sent the request. */
const STATUSES_NOT_SENT: readonly number[] = [403, 404, 413, 431];

/**
 * Reads a relay's answer up to the head of the upstream's response.
 *
 * @param relay - The relay.
 * @param exchange - Id of the request to the relay. Only an answer that repeats it says anything about this request: what became of it, or
 * what the upstream has answered.
 * @param onEnd - Called at the end of the upstream's body, or of the answer where there is no body.
 */
export async function readRelayReply(
    reply: HttpReply,
    relay: HostId,
    exchange: string,
    onEnd: () => void,
): Promise<RelayAttempt> {
    const isOwn = findHeader(reply.headers, RELAY_EXCHANGE_HEADER) === exchange;
    if (reply.status !== STATUS_OK) {
        onEnd();
        reply.reset();
        if (isOwn && STATUSES_NOT_SENT.includes(reply.status)) return { kind: "not-sent", reason: "lost" };
        return { kind: "lost", err: new PathError("malformed", true, `the relay answers ${reply.status}`) };
    }
    if (!isOwn) {
        onEnd();
        reply.reset();
        return { kind: "lost", err: new PathError("malformed", true, "the relay's answer is to another request") };
    }
    const frames = readRelayFrames(reply.body)[Symbol.asyncIterator]();
    const answer = await readAnswer(frames);
    if (!(answer instanceof HttpError) && answer.kind === "reply") {
        const reset = (): void => {
            onEnd();
            reply.reset();
        };
        const { status, headers, connection } = answer;
        const body = readBody(frames, onEnd);
        return { kind: "reply", reply: { status, headers, connection, relay, reset, body } };
    }
    onEnd();
    if (answer instanceof HttpError) reply.reset();
    else void finish(frames);
    return toFailedAttempt(answer);
}

/**
 * Reads a relay's answer to a probe.
 *
 * @returns What it found; "unknown" where the answer is none.
 */
export async function readRelayFinding(reply: HttpReply): Promise<RelayFinding> {
    if (reply.status !== STATUS_OK) {
        reply.reset();
        return "unknown";
    }
    const frames = readRelayFrames(reply.body)[Symbol.asyncIterator]();
    const answer = await readAnswer(frames);
    await finish(frames);
    return !(answer instanceof HttpError) && answer.kind === "probed" ? answer.finding : "unknown";
}

function toFailedAttempt(answer: Exclude<RelayAnswer, { kind: "reply"; }> | HttpError): RelayAttempt {
    if (answer instanceof HttpError) return { kind: "lost", err: answer };
    if (answer.kind === "not-sent") return { kind: "not-sent", reason: answer.reason, leftMs: answer.leftMs };
    if (answer.kind === "lost") return { kind: "lost", err: new HttpError(answer.reason, true, answer.detail) };
    return { kind: "lost", err: new PathError("malformed", true, "the relay's answer is none to a call") };
}

async function readAnswer(frames: AsyncIterator<RelayFrame>): Promise<RelayAnswer | HttpError> {
    try {
        const frame = await readFrame(frames);
        if (frame.kind === FRAME_KINDS.message) return toAnswer(decodeRelayMessage(frame));
        return new PathError("malformed", true, "the relay's answer has no beginning");
    }
    catch (err) {
        return err instanceof HttpError ? err : new PathError("malformed", true, (err as Error).message);
    }
}

function toAnswer(message: unknown): RelayAnswer | HttpError {
    const isAnswer = typeof message === "object" && Boolean(message);
    if (!isAnswer) return new PathError("malformed", true, "the relay's message is no answer");
    const answer = message as RelayAnswer;
    if (answer.kind !== "reply" || isResponseHead(answer)) return answer;
    return new HttpError("malformed", true, "an invalid head of the upstream, by way of a relay");
}

/** Reads the upstream's body. Without its last frame it is not complete. */
async function* readBody(frames: AsyncIterator<RelayFrame>, onEnd: () => void): AsyncIterable<Uint8Array> {
    try {
        let frame = await readFrame(frames);
        while (frame.kind === FRAME_KINDS.data) {
            yield frame.payload;
            frame = await readFrame(frames);
        }
        if (frame.kind !== FRAME_KINDS.end) throw toBodyError(frame);
        await finish(frames);
    }
    finally {
        onEnd();
        // Closes the connection to the relay where the reader stops early.
        await frames.return?.();
    }
}

function toBodyError(frame: RelayFrame): HttpError {
    if (frame.kind !== FRAME_KINDS.broken) return new PathError("malformed", true, `a frame of kind ${frame.kind}`);
    const { reason, detail } = decodeRelayMessage(frame) as BrokenBody;
    return new HttpError(reason, true, detail);
}

/** @throws PathError when the answer ends here; HttpError when this host has ended it. */
async function readFrame(frames: AsyncIterator<RelayFrame>): Promise<RelayFrame> {
    let next: IteratorResult<RelayFrame>;
    try {
        next = await frames.next();
    }
    catch (err) {
        if (err instanceof HttpError && err.reason === "aborted") throw err;
        const reason = err instanceof HttpError ? err.reason : "closed";
        throw new PathError(reason, true, `the relay: ${(err as Error).message}`);
    }
    if (next.done) throw new PathError("closed", true, "the relay's answer was cut off");
    return next.value;
}

/** Reads the end of an answer, so that the connection to the relay can be used again, or closes it where more frames follow. */
async function finish(frames: AsyncIterator<RelayFrame>): Promise<void> {
    try {
        const next = await frames.next();
        if (!next.done) await frames.return?.();
    }
    catch {
        // The connection ended, so it cannot be used again.
    }
}
