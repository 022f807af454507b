import { Grant } from "../../dispatch/index.js";
import { RequestId } from "../../ids/index.js";
import { Timer } from "../../ports/index.js";
import { SilenceWatch } from "../attempt/index.js";
import { CallTask, makeTicket, MoveGrant, requiredSoftware, returnGrant } from "../callTask/index.js";
import { chooseNextStep } from "../nextStep/index.js";
import { checkQuarantine, recheckKey } from "../prepareCall/index.js";
import { recordInternalError } from "../recordInternalError/index.js";
import { RepeatPermit } from "../repeatPermit/index.js";

/** Without a first byte for this many targets, another upstream is sought. */
const FIRST_BYTE_TARGET_FACTOR = 2;
const MIN_FIRST_BYTE_TIMEOUT_MS = 400;
/** A stream without events for this many times its longest allowed pause has stalled. */
const STALL_GAP_FACTOR = 3;
/** Minimum pause that counts as a stall, in milliseconds: upstreams that work may be silent for a second or so. */
const MIN_STALL_MS = 1_600;

/**
 * Moves a call off an upstream that has fallen silent, as soon as another one is granted.
 *
 * Prevents silence from ending an answer: a silent upstream may go on at any time, so the attempt is cancelled only once the call may run
 * elsewhere and holds a grant for it. If data arrives before that, or nothing is granted, the attempt goes on.
 *
 * @example
 * const move = new StallMove(task, grant);
 * move.expectBeginning();
 * const next = move.end();
 */
export class StallMove extends SilenceWatch {
    private timer: Timer | undefined;
    private limitMs = Number.POSITIVE_INFINITY;
    /** Withdraws the ticket for another upstream; undefined while there is none. */
    private ticket: AbortController | undefined;
    /** The repeat that the ticket would take; undefined while there is no ticket. */
    private repeat: RepeatPermit | undefined;
    private next: MoveGrant | undefined;

    /** @param grant - The grant of the attempt. */
    constructor(private readonly task: CallTask, private readonly grant: Grant) {
        super();
    }

    expectBeginning(): void {
        const { kind, targetMs } = this.task.call.route;
        const minMs = kind === "stream" ? MIN_STALL_MS : MIN_FIRST_BYTE_TIMEOUT_MS;
        this.expectWithin(Math.max(minMs, FIRST_BYTE_TARGET_FACTOR * targetMs));
    }

    expectMore(): void {
        this.expectWithin(Math.max(MIN_STALL_MS, STALL_GAP_FACTOR * (this.task.call.route.gapMs ?? 0)));
    }

    pause(): void {
        this.timer?.cancel();
        this.timer = undefined;
        this.ticket?.abort();
        this.ticket = undefined;
        // At once: the attempt may have ended, and its call may need the repeat to go on.
        this.repeat?.release();
        this.repeat = undefined;
    }

    /**
     * Ends the watch with its attempt.
     *
     * @returns The grant for which the attempt was cancelled; undefined if it was not. It must be used or returned.
     */
    end(): MoveGrant | undefined {
        this.pause();
        return this.next;
    }

    private expectWithin(limitMs: number): void {
        this.pause();
        if (!this.isMovable()) return;
        this.limitMs = limitMs;
        this.arm();
    }

    /** Whether the call may run at another upstream at all. */
    private isMovable(): boolean {
        const { kind, resumable, attempts } = this.task.call.route;
        return attempts > 1 && (kind === "idempotent" || resumable);
    }

    private arm(): void {
        this.timer = this.task.ctx.clock.after(
            this.limitMs,
            () => void this.seekGrant().catch(err => this.giveUp(err)),
        );
    }

    private async seekGrant(): Promise<void> {
        const repeat = this.reserveRepeat();
        if (!repeat) return this.arm();
        const { ctx, progress, run } = this.task;
        this.repeat = repeat;
        const ticket = new AbortController();
        this.ticket = ticket;
        const ticketId = ctx.random.id() as RequestId;
        const avoid = [...progress.avoid, this.grant.upstream];
        const decision = await ctx.dispatcher.submit(makeTicket(this.task, ticketId, avoid), ticket.signal);
        const grant = decision.toMaybe().extract();
        const isWithdrawn = ticket.signal.aborted;
        if (grant && !isWithdrawn && this.isUsable(grant) && repeat.claim()) {
            this.repeat = undefined;
            this.next = { ticketId, grant, repeat };
            run.cancel("stalled");
            return;
        }
        if (grant) returnGrant(this.task, { ticketId, grant });
        if (isWithdrawn) return;
        this.pause();
        this.arm();
    }

    /** Leaves the attempt as it is after an internal error. */
    private giveUp(err: unknown): void {
        this.pause();
        recordInternalError(this.task.ctx, this.task.call.head.request, err);
    }

    /** Takes a repeat from the budget if the call may run at another upstream now, and one is known. */
    private reserveRepeat(): RepeatPermit | undefined {
        const { ctx, call, answer, progress: { stream, begun, tries } } = this.task;
        const { kind, resumable, attempts } = call.route;
        const hasEvents = stream.eventCount > 0;
        const required = requiredSoftware(this.task);
        const isHeldByAnswer = answer.sentStatus !== undefined && !hasEvents;
        const isLast = required !== undefined && !ctx.software.hasOther(call.pool, this.grant.upstream, required);
        if (isHeldByAnswer || isLast) return undefined;
        let repeat: RepeatPermit | undefined;
        chooseNextStep({
            end: hasEvents ? "broken" : "lost",
            kind,
            resumable,
            attempts,
            tries,
            isSoftwareKnown: !hasEvents || stream.startedBy !== undefined,
            begun: begun + 1,
            mayWait: false,
            tryTakeRepeat: () => {
                repeat = ctx.repeats.tryReserve(call.pool);
                return repeat !== undefined;
            },
        });
        return repeat;
    }

    private isUsable(grant: Grant): boolean {
        const { ctx, call, run, progress } = this.task;
        if (run.isCancelled || grant.upstream === this.grant.upstream) return false;
        if (progress.avoid.includes(grant.upstream)) return false;
        if (ctx.sendGuard.findBlock(grant, requiredSoftware(this.task))) return false;
        return recheckKey(ctx, call) === undefined && checkQuarantine(ctx, call) === undefined;
    }
}
