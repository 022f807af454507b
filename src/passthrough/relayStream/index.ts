import { findHeader, HttpError, HttpReply } from "../../ports/index.js";
import { Attempt, AttemptResult } from "../attempt/index.js";
import { CallContext } from "../callContext/index.js";
import { ReplyHead } from "../callDialect/index.js";
import { endWithHttpError } from "../endWithHttpError/index.js";
import { EventScanner, ScannedEvents } from "../eventScanner/index.js";
import { recordStart } from "../recordStart/index.js";

/** A resumable stream without events for this many times its longest allowed pause is resumed at another upstream. */
const STALL_GAP_FACTOR = 3;
/** Minimum pause that counts as a stall, in milliseconds: upstreams that work may be silent for a second or so. */
export const MIN_STALL_MS = 1_600;

/**
 * Forwards a stream of events as they arrive, complete events only.
 *
 * Prevents truncated streams that look complete: the answer to the caller ends only when the upstream's answer has
 * ended correctly by HTTP; a stream that breaks off is resumed at another upstream, or its connection is reset. Its
 * head is sent with the first event, so that a stream that never begins can still get an error answer.
 */
export async function relayStream(
    ctx: CallContext,
    attempt: Attempt,
    reply: HttpReply,
    head: ReplyHead,
): Promise<AttemptResult> {
    const { answer, stream } = attempt;
    const scanner = new EventScanner();
    const stall = new StallTimer(ctx, attempt);
    const start = new StreamBeginning(ctx, attempt);
    try {
        for await (const chunk of reply.body) {
            const events = scanner.push(chunk);
            if (events.count === 0) continue;
            stall.restart();
            recordEvents(ctx, attempt, events);
            await start.awaitRecorded();
            ctx.dispatcher.progress(attempt.ticketId, events.count * attempt.tokensPerEvent);
            if (!stream.isHeadSent) sendStreamHead(attempt, reply, head);
            await answer.write(events.bytes);
        }
    }
    catch (err) {
        return endWithHttpError(attemptEndOf(attempt), err as HttpError);
    }
    finally {
        stall.stop();
        start.record();
    }
    if (scanner.hasPartialEvent && !hasHttpFraming(reply)) {
        const detail = "the stream ends within an event";
        return { kind: "ended", end: attemptEndOf(attempt), detail, connectionEnded: true };
    }
    if (!stream.isHeadSent) sendStreamHead(attempt, reply, head);
    return { kind: "answered", status: reply.status, deliver: () => answer.end(scanner.takePartialEvent()) };
}

/** Time after an event for which a caller whose connection is lost may still come back, in milliseconds. */
const MAX_RETURN_MS = 30_000;
/** Maximum time for which the first event is held until its stream's start is durable, in milliseconds. */
const MAX_FIRST_EVENT_HOLD_MS = 100;

/**
 * Records the beginning of an attempt's part of a stream: that the request has started, and where the stream began.
 *
 * Prevents streams that nobody can continue: their callers take them up at other hosts when this one is lost, so that where they began must
 * be known elsewhere before the caller has the first event. Where all upstreams run one version, the event is not held.
 */
class StreamBeginning {
    private readonly at: number;
    private isRecorded = false;

    constructor(private readonly ctx: CallContext, private readonly attempt: Attempt) {
        this.at = ctx.time.now();
    }

    /** Records it once; called with the first event, or at the end of a stream without any. */
    record(): void {
        if (this.isRecorded) return;
        this.isRecorded = true;
        const { ctx, attempt } = this;
        const position = this.recordOrigin();
        recordStart(ctx, attempt, this.at);
        if (position !== undefined && attempt.call.workspace === undefined) ctx.streams.report();
        attempt.stream.startPosition ??= position;
    }

    /** Records it with the first event, and holds that until hosts that outlive this one know it. */
    async awaitRecorded(): Promise<void> {
        if (this.isRecorded) return;
        this.record();
        const { ctx, attempt: { call: { pool, route, arrivedAt, deadlineAt }, stream } } = this;
        if (stream.startPosition === undefined || stream.isHeadSent || !ctx.software.isMixed(pool)) return;
        const now = ctx.clock.monotonic();
        const objectiveLeftMs = Math.min(MAX_FIRST_EVENT_HOLD_MS, arrivedAt + route.targetMs - now);
        await ctx.durability.waitDurable(stream.startPosition, { objectiveLeftMs, deadlineLeftMs: deadlineAt - now });
    }

    /** @returns The record's position; undefined where the stream can't be taken up, or is continued within the same answer. */
    private recordOrigin(): number | undefined {
        const { call: { head, route, pool, workspace, resumption }, stream } = this.attempt;
        const { startedBy: software, isHeadSent } = stream;
        if (isHeadSent || !route.resumable || software === undefined) return undefined;
        return this.ctx.streams.record({
            attempt: resumption?.attempt ?? head.request,
            ...(workspace === undefined ? {} : { workspace }),
            pool,
            software,
            keepMs: route.timeoutMs + MAX_RETURN_MS,
        });
    }
}

function sendStreamHead({ answer, stream }: Attempt, { status }: HttpReply, { headers }: ReplyHead): void {
    stream.isHeadSent = true;
    // If another upstream continues the stream, the length is only that of this upstream's part.
    answer.sendHead(status, headers.filter(([name]) => name !== "content-length"));
}

function recordEvents(ctx: CallContext, { call, grant, stream }: Attempt, { count, lastId }: ScannedEvents): void {
    const now = ctx.clock.monotonic();
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

/** Cancels an attempt whose stream has stalled, when another upstream can resume it. */
class StallTimer {
    private timer: { cancel(): void; } | undefined;
    private readonly timeoutMs: number;

    constructor(private readonly ctx: CallContext, private readonly attempt: Attempt) {
        const { gapMs = 0, attempts } = attempt.call.route;
        const canResumeElsewhere = attempt.call.route.resumable && attempts > 1;
        this.timeoutMs = canResumeElsewhere
            ? Math.max(MIN_STALL_MS, STALL_GAP_FACTOR * gapMs)
            : Number.POSITIVE_INFINITY;
    }

    restart(): void {
        this.stop();
        if (this.timeoutMs === Number.POSITIVE_INFINITY) return;
        this.timer = this.ctx.clock.after(this.timeoutMs, () => this.cancelOrWait());
    }

    /** Waits on where no other upstream could continue the stream: an upstream may recover from its pause. */
    private cancelOrWait(): void {
        const { call: { pool }, grant: { upstream }, run, stream: { startedBy } } = this.attempt;
        const isMovable = startedBy !== undefined && this.ctx.software.hasOther(pool, upstream, startedBy);
        if (isMovable) run.cancel("stalled");
        else this.restart();
    }

    stop(): void {
        this.timer?.cancel();
    }
}
