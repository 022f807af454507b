import { Either, Left } from "purify-ts";
import { Grant, MAX_PACE_GAP_MS, toTarget } from "../../dispatch/index.js";
import { SoftwareVersion } from "../../ids/index.js";
import { ENGINE_PATHS, EngineRequest } from "../../protocol/index.js";
import { RunningRequest } from "../../request/index.js";
import { PathError } from "../../upstream/index.js";
import { ChatSink } from "../chatSink/index.js";
import { EngineStreamEnd, EngineStreamError, readEngineStream } from "../engineStream/index.js";
import { EntryContext } from "../entryContext/index.js";
import { PreparedChat } from "../prepareChat/index.js";
import { reportSignals } from "../reportSignals/index.js";
import { StallTimer } from "../stallTimer/index.js";

/** Statuses of time-outs, conflicts and overload, after which the same request may succeed elsewhere. */
const TRANSIENT_STATUSES: readonly number[] = [408, 409, 425, 429];

/** Result of one attempt to run a chat. */
export interface ChatAttempt {
    readonly result: Either<EngineStreamError, EngineStreamEnd>;
    /** False only when no byte of the request can have been sent. */
    readonly mayHaveRun: boolean;
    /** Time from sending to the first token, in milliseconds. */
    readonly firstTokenMs?: number;
    /** Mean time between tokens without the longest pause, in milliseconds. */
    readonly tokenMs?: number;
    /** Number of tokens received in this attempt. */
    readonly tokens: number;
    /** Version of the software of the engine that sent the first token; undefined where none came, or the version is unknown. */
    readonly software?: SoftwareVersion;
    /** Whether the engine turned the chat away and asked this host to back off. */
    readonly isTurnedAway?: boolean;
    /** Monotonic time at which it was sent, in milliseconds. */
    readonly sentAt: number;
    /** Whether another host sent it on behalf of this one. */
    readonly isRelayed: boolean;
}

/**
 * Sends a chat to the granted engine and streams its tokens to the sink.
 *
 * Handles an engine or a connection that becomes unresponsive: when the next token does not arrive within its limit, the stream is
 * abandoned if the chat can go on elsewhere, and otherwise as late as one without a first token. The connection is reset so that no late
 * data on it reaches another request.
 *
 * @param sink - Receives the tokens; the engine must continue after the tokens that the sink already has.
 * @param onSilence - Called when the next token is late, with the software that began the answer; returns whether the chat goes on
 * elsewhere.
 * @param required - Version of the software that must run the chat, since it began the answer; undefined: any.
 */
export async function sendChat(
    ctx: EntryContext,
    prepared: PreparedChat,
    run: RunningRequest,
    grant: Grant,
    sink: ChatSink,
    onSilence: (software: SoftwareVersion | undefined) => boolean,
    required?: SoftwareVersion,
): Promise<ChatAttempt> {
    const { clock, limits } = ctx;
    const offset = sink.tokens;
    const sentAt = clock.monotonic();
    let isRelayed = false;
    let firstAt: number | undefined;
    let software: SoftwareVersion | undefined;
    let lastAt = sentAt;
    let pausedMs = 0;
    const sent = await ctx.upstreamHttp.send({
        target: toTarget(prepared.pool, grant, required),
        method: "POST",
        path: ENGINE_PATHS.chat,
        id: run.identity.id,
        headers: [["content-type", "application/json"], ["accept", "text/event-stream"]],
        body: encodeRequest(prepared, run, grant, offset),
        newConnection: false,
        connectTimeoutMs: limits.connectMs,
        headTimeoutMs: limits.firstTokenStallMs,
        signal: run.signal,
        onRelay: () => isRelayed = true,
    });
    if (sent.isLeft()) {
        const err = sent.extract();
        const isPathFailure = err instanceof PathError;
        const connectionEnded = err.reason === "closed" && !isPathFailure;
        const failure = new EngineStreamError("unreachable", err.message, connectionEnded, isPathFailure);
        return { ...failedAttempt(failure, err.mayHaveBeenSent), sentAt, isRelayed };
    }
    const reply = sent.unsafeCoerce();
    const { backOffMs } = reportSignals(ctx, prepared.pool, grant, reply, isRelayed);
    if (reply.status !== 200) {
        reply.reset();
        const reason = isRejection(reply.status) ? "rejected" : "refused";
        const failed = failedAttempt(new EngineStreamError(reason, `status ${reply.status}`), true);
        return { ...failed, sentAt, isRelayed, isTurnedAway: backOffMs !== undefined };
    }
    // Another incarnation may have announced itself while the chat was on its way.
    if (required !== undefined && ctx.software.find(grant) !== required) {
        reply.reset();
        const failed = failedAttempt(new EngineStreamError("refused", "the engine runs other software now"), true);
        return { ...failed, sentAt, isRelayed };
    }
    const stallTimer = new StallTimer(clock, silentMs => {
        const isGivenUp = silentMs >= limits.firstTokenStallMs;
        if (onSilence(required ?? software) || isGivenUp) run.cancel("stalled");
    });
    stallTimer.expectWithin(limits.firstTokenStallMs);
    const result = await readEngineStream(reply, run.identity.id, offset, ({ text, tokens }) => {
        const gapMs = clock.monotonic() - lastAt;
        lastAt = clock.monotonic();
        if (firstAt !== undefined && gapMs > MAX_PACE_GAP_MS) pausedMs = Math.max(pausedMs, gapMs);
        if (firstAt === undefined) {
            firstAt = lastAt;
            software = ctx.software.find(grant);
            stallTimer.expectWithin(limits.tokenStallMs);
        }
        stallTimer.touch();
        ctx.dispatcher.progress(run.identity.id, tokens);
        const written = sink.write(text, tokens);
        run.hasAnswerBegun ||= sink.delivered > 0;
        return awaitCaller(written, stallTimer);
    }, clock);
    stallTimer.stop();
    if (result.isLeft()) reply.reset();
    const tokens = sink.tokens - offset;
    return {
        result,
        mayHaveRun: true,
        sentAt,
        isRelayed,
        tokens,
        software,
        firstTokenMs: firstAt === undefined ? undefined : firstAt - sentAt,
        tokenMs: firstAt === undefined || tokens < 2 ? undefined : (lastAt - firstAt - pausedMs) / (tokens - 1),
    };
}

/** Lets a caller take its time, which is no silence of the engine. */
function awaitCaller(written: Promise<void> | void, stallTimer: StallTimer): Promise<void> | void {
    if (!written) return;
    stallTimer.pause();
    return written.then(() => stallTimer.touch());
}

/** Whether a status means that the request itself is invalid; time-outs, conflicts and overload (408, 409, 425, 429) are transient. */
function isRejection(status: number): boolean {
    return status >= 400 && status < 500 && !TRANSIENT_STATUSES.includes(status);
}

function failedAttempt(
    err: EngineStreamError,
    mayHaveRun: boolean,
): Pick<ChatAttempt, "result" | "mayHaveRun" | "tokens"> {
    return { result: Left(err), mayHaveRun, tokens: 0 };
}

function encodeRequest(prepared: PreparedChat, run: RunningRequest, grant: Grant, offset: number): Uint8Array {
    const { model, messages } = prepared.chat;
    const request: EngineRequest = {
        ...prepared.chat,
        model,
        messages,
        max_tokens: prepared.maxTokens,
        stream: true,
        request_id: run.identity.id,
        priority: grant.priority,
        resume: offset > 0 ? { offset } : undefined,
    };
    return Buffer.from(JSON.stringify(request));
}
