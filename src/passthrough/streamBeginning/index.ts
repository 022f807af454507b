import { Attempt } from "../attempt/index.js";
import { CallContext } from "../callContext/index.js";
import { recordStart } from "../recordStart/index.js";

/** Time after an event for which a caller whose connection is lost may still come back, in milliseconds. */
const MAX_RETURN_MS = 30_000;
/** Maximum time for which the first event is held until its stream's start is durable, in milliseconds. */
const MAX_FIRST_EVENT_HOLD_MS = 100;

/**
 * Records the beginning of an attempt's part of a stream: that the request has started, and where the stream began.
 *
 * Prevents streams that nobody can continue: their callers take them up at other hosts when this one is lost, so that where they began must
 * be known elsewhere before the caller has the first event. Where all upstreams run one version, the event is not held.
 *
 * @example
 * const beginning = new StreamBeginning(ctx, attempt);
 * await beginning.awaitRecorded();
 * await answer.write(firstEvents);
 */
export class StreamBeginning {
    /** True time of its head, in milliseconds since the epoch. */
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
        this.ctx.parts.recordBegun(this.attempt.call);
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
