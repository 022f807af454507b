import { EventError, EventReader, EventSequence, ReadEvents } from "../../eventStream/index.js";
import { findHeader, HttpError, HttpReply } from "../../ports/index.js";
import { Attempt, AttemptResult } from "../attempt/index.js";
import { CallContext } from "../callContext/index.js";
import { ReplyHead } from "../callDialect/index.js";
import { endWithHttpError } from "../endWithHttpError/index.js";
import { recordUnproven } from "../recordUnproven/index.js";
import { findLastEventId } from "../resolveResumption/index.js";
import { StreamBeginning } from "../streamBeginning/index.js";
import { writeToCaller } from "../writeToCaller/index.js";

/**
 * Forwards a stream of events as they arrive: each one only once it proves to be the next event of the stream.
 *
 * Prevents truncated streams that look complete: the answer to the caller ends only when the upstream's answer has
 * ended correctly by HTTP, and behind a whole event; a stream that breaks off is resumed at another upstream, or its connection is reset.
 * Its head is sent with the first event, so that a stream that never begins can still get an error answer.
 */
export async function relayStream(
    ctx: CallContext,
    attempt: Attempt,
    reply: HttpReply,
    head: ReplyHead,
): Promise<AttemptResult> {
    const { answer, stream, silence } = attempt;
    const sequence = makeSequence(ctx, attempt);
    const share = ctx.heldBytes.open();
    const reader = new EventReader(sequence, stream.isHeadSent, share);
    const { eventCount: earlierEvents } = stream;
    const beginning = new StreamBeginning(ctx, attempt);
    try {
        for await (const chunk of reply.body) {
            const events = reader.push(chunk);
            stream.idStep = sequence.step;
            if (events.count > 0) {
                await forward(ctx, attempt, events, beginning, () => sendStreamHead(attempt, reply, head));
            }
            else if (events.bytes.length > 0) {
                await forwardPadding(attempt, events.bytes);
            }
            if (events.error) return endAsUnproven(ctx, attempt, reply, events.error.kind, events.error.message);
        }
    }
    catch (err) {
        return endWithHttpError(attemptEndOf(attempt), err as HttpError);
    }
    finally {
        silence.pause();
        beginning.record();
        share.close();
    }
    const rest = reader.end();
    if (rest.isLeft()) {
        const { kind, message } = rest.extract() as EventError;
        return endAsIncomplete(ctx, attempt, reply, kind, message);
    }
    if (stream.eventCount === earlierEvents && !mayBeEmpty(ctx, attempt)) {
        return endAsIncomplete(ctx, attempt, reply, "empty", "the stream ends without an event");
    }
    if (!stream.isHeadSent) sendStreamHead(attempt, reply, head);
    return { kind: "answered", status: reply.status, deliver: () => answer.end(rest.unsafeCoerce()) };
}

function makeSequence(ctx: CallContext, { call, stream }: Attempt): EventSequence {
    const { route: { resumable }, pool } = call;
    const known = { step: stream.idStep, history: ctx.numberings.of(pool) };
    return new EventSequence(ctx.dialect.eventRules(resumable), stream.lastEventId ?? findLastEventId(call), known);
}

/** Forwards complete events to the caller, and waits until it can receive more. */
async function forward(
    ctx: CallContext,
    attempt: Attempt,
    events: ReadEvents,
    beginning: StreamBeginning,
    sendHead: () => void,
): Promise<void> {
    const { run, stream, silence } = attempt;
    silence.pause();
    // Events of a cancelled attempt are not written, so they must not count as delivered.
    if (run.signal.aborted) throw new HttpError("aborted", true, "before an event was forwarded");
    recordEvents(ctx, attempt, events);
    await beginning.awaitRecorded();
    ctx.dispatcher.progress(attempt.ticketId, events.count * attempt.tokensPerEvent);
    if (!stream.isHeadSent) sendHead();
    await writeToCaller(attempt, events.bytes);
    silence.expectMore();
}

/** Forwards bytes that are part of no event: a comment may keep the caller's connection alive. */
async function forwardPadding(attempt: Attempt, bytes: Uint8Array): Promise<void> {
    const { silence } = attempt;
    silence.pause();
    await writeToCaller(attempt, bytes);
    silence.expectMore();
}

/** Ends an attempt whose upstream sent what is no part of the stream. Its connection is not used again. */
function endAsUnproven(
    ctx: CallContext,
    attempt: Attempt,
    reply: HttpReply,
    kind: string,
    detail: string,
): Extract<AttemptResult, { kind: "ended"; }> {
    recordUnproven(ctx, attempt, { kind, detail });
    reply.reset();
    const isOwnLimit = kind === "no-room";
    return {
        kind: "ended",
        end: attemptEndOf(attempt),
        detail,
        isUpstreamFault: !isOwnLimit,
        isPathFailure: isOwnLimit,
    };
}

/** Ends an attempt whose answer ended, although its body does not prove to be whole. */
function endAsIncomplete(
    ctx: CallContext,
    attempt: Attempt,
    reply: HttpReply,
    kind: string,
    detail: string,
): AttemptResult {
    const isFramed = hasHttpFraming(reply);
    const ended = endAsUnproven(ctx, attempt, reply, kind, detail);
    // Where the connection ended the body, upstream or path may have failed.
    return { ...ended, isUpstreamFault: isFramed, connectionEnded: !isFramed };
}

/** Whether a stream may consist of no event: none of it is known to exist, and no id would tell whether one is missing. */
function mayBeEmpty(ctx: CallContext, { call, stream }: Attempt): boolean {
    return stream.eventCount === 0 && ctx.dialect.eventRules(call.route.resumable).mayOmitIds;
}

function sendStreamHead({ answer, run, stream }: Attempt, { status }: HttpReply, { headers }: ReplyHead): void {
    stream.isHeadSent = true;
    run.hasAnswerBegun = true;
    // If another upstream continues the stream, the length is only that of this upstream's part.
    answer.sendHead(status, headers.filter(([name]) => name !== "content-length"));
}

function recordEvents(
    ctx: CallContext,
    { call, grant, run, stream }: Attempt,
    { count, lastId }: ReadEvents,
): void {
    const now = ctx.clock.monotonic();
    run.waitFor("more");
    if (stream.eventCount === 0) {
        stream.startedBy = ctx.software.find(grant);
        stream.firstEventMs = now - call.arrivedAt;
        stream.firstEventAt = now;
    }
    else {
        stream.longestGapMs = Math.max(stream.longestGapMs, now - stream.lastEventAt);
    }
    stream.eventCount += count;
    stream.lastEventId = lastId ?? stream.lastEventId;
    stream.lastEventAt = now;
}

function attemptEndOf({ stream }: Attempt): "broken" | "lost" {
    return stream.eventCount > 0 ? "broken" : "lost";
}

/** Whether HTTP framing marks the end of the answer, rather than the end of the connection. */
function hasHttpFraming({ headers }: HttpReply): boolean {
    return findHeader(headers, "transfer-encoding") !== undefined
        || findHeader(headers, "content-length") !== undefined;
}
