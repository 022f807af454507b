import { Completion, Grant, Ticket, toTarget } from "../../dispatch/index.js";
import { ClassName, HostId, RequestId, SoftwareVersion, UpstreamId, WorkspaceId } from "../../ids/index.js";
import { RunningRequest } from "../../request/index.js";
import { BufferedAnswer } from "../attempt/index.js";
import { CallAnswer } from "../callAnswer/index.js";
import { CallContext } from "../callContext/index.js";
import { AttemptEnd } from "../nextStep/index.js";
import { PreparedCall } from "../prepareCall/index.js";
import { RepeatBudgetState } from "../repeatBudget/index.js";
import { RepeatPermit } from "../repeatPermit/index.js";
import { createStreamState, StreamState } from "../streamState/index.js";

/**
 * Maximum share of a call's time limit that it may wait for an upstream: after that too little time remains to run it.
 */
const MAX_WAIT_RATIO = 0.6;
/** Maximum answer length assumed when the caller states none, in tokens. */
const DEFAULT_MAX_TOKENS = 1;
const DEFAULT_TOKEN_MS = 50;

/** A grant and the ticket that it was made for. */
export interface HeldGrant {
    /** Id of the ticket at the queue's owner; unlike the caller's id, it is never used twice. */
    readonly ticketId: RequestId;
    readonly grant: Grant;
}

/** A grant for another upstream at which a call goes on, and the repeat that this takes from the budget. */
export interface MoveGrant extends HeldGrant {
    readonly repeat: RepeatPermit;
}

/** A repeat that was decided and not yet sent, for logs. */
export interface PendingRepeat {
    /** The end of the attempt that is repeated; `stalled` for one that is cancelled for it. */
    readonly reason: AttemptEnd | "stalled";
    /** Monotonic time of the decision, in milliseconds. */
    readonly decidedAt: number;
    /** The budget at the decision. */
    readonly budget: RepeatBudgetState;
    /** Time for which the call has paused since the decision, in milliseconds. */
    pausedMs: number;
}

/** The progress of a call over all its attempts. */
export interface CallProgress {
    readonly avoid: UpstreamId[];
    readonly stream: StreamState;
    tries: number;
    /** Upstreams to which the call was sent, one for each send. */
    readonly sentTo: UpstreamId[];
    /** Number of tries that ended with a refusal of the upstream. */
    refusals: number;
    /** Number of upstreams that have, or may have, begun to work on it. */
    begun: number;
    /** Whether it has left a silent upstream, which may have been sound. */
    hasMoved: boolean;
    /** The last failure answer of an upstream. */
    upstreamFailure: BufferedAnswer | undefined;
    /** Version of the software of the upstream tried last. */
    software: SoftwareVersion | undefined;
    /** The host that sent the call on behalf of this one, in the last attempt that had one. */
    relay: HostId | undefined;
    /** How the last attempt ended that may have reached its upstream; "not-sent" while none has. */
    lastSentEnd: AttemptEnd;
    lastDetail: string;
    /** Undefined while no repeat is decided. */
    pendingRepeat: PendingRepeat | undefined;
    /** The permit for the next send, or that of the last one. */
    permit: RepeatPermit | undefined;
    /** The grant with which the call leaves a silent upstream; undefined while there is none, and once it is used or returned. */
    move: MoveGrant | undefined;
    /** Settles once the end of the last attempt has been reported; it never rejects. */
    reported: Promise<void>;
}

/** A call that has not received its final answer. */
export interface CallTask {
    readonly ctx: CallContext;
    readonly call: PreparedCall;
    readonly run: RunningRequest;
    readonly answer: CallAnswer;
    readonly progress: CallProgress;
}

/** The parts of a `Completion` that tell how an attempt ended. */
export type GrantEnd = Pick<Completion, "outcome" | "mayHaveEnded">;

/** Creates the progress of a call before its first attempt. */
export function createProgress(): CallProgress {
    return {
        avoid: [],
        stream: createStreamState(),
        tries: 0,
        sentTo: [],
        refusals: 0,
        begun: 0,
        hasMoved: false,
        upstreamFailure: undefined,
        software: undefined,
        relay: undefined,
        lastSentEnd: "not-sent",
        lastDetail: "",
        pendingRepeat: undefined,
        permit: undefined,
        move: undefined,
        reported: Promise.resolve(),
    };
}

/**
 * Makes the ticket of a call's next attempt.
 *
 * @param request - Id of the ticket.
 * @param avoid - Upstreams at which the call should not run.
 */
export function makeTicket(
    { ctx, call, progress }: CallTask,
    request: RequestId,
    avoid: readonly UpstreamId[] = progress.avoid,
): Ticket {
    const { route, head } = call;
    const now = ctx.clock.monotonic();
    const tokensPerEvent = tokensPerEventOf(ctx, call);
    return {
        request,
        origin: ctx.self,
        workspace: call.workspace ?? "" as WorkspaceId,
        className: route.name as ClassName,
        tier: call.tier,
        weight: 1,
        pool: call.pool,
        promptTokens: head.promptTokens,
        maxTokens: Math.max(DEFAULT_MAX_TOKENS, head.maxTokens),
        firstTokenMs: route.targetMs,
        tokenMs: route.gapMs === undefined ? DEFAULT_TOKEN_MS : route.gapMs / tokensPerEvent,
        maxWaitMs: MAX_WAIT_RATIO * (call.deadlineAt - call.arrivedAt),
        guaranteedShare: 0,
        ageMs: now - call.arrivedAt,
        lifeMs: call.deadlineAt - now,
        prefixes: [],
        parts: head.parts,
        gapMs: route.kind === "stream" ? route.gapMs : undefined,
        bodyBytes: call.body.length,
        canFetch: ctx.view.routes()?.findPool(call.pool)?.engine?.canMove,
        zone: ctx.zone,
        resumable: false,
        repeatable: route.kind === "idempotent",
        avoid,
        software: requiredSoftware({ call, progress }),
        resumeOffset: progress.stream.eventCount * tokensPerEvent,
    };
}

/** Reports the end of a grant that was not used to the owner of the queue. */
export function returnGrant({ ctx, call }: CallTask, { ticketId: request, grant }: HeldGrant): void {
    ctx.dispatcher.complete({
        request,
        upstream: grant.upstream,
        outcome: "unused",
        promptTokens: call.head.promptTokens,
        cachedTokens: 0,
        completionTokens: 0,
    });
}

/**
 * Reports the end of a granted attempt to the owner of the queue.
 *
 * @param progress - Progress of the call at the end of the attempt.
 * @param sentAt - Monotonic time at which the call was sent, in milliseconds.
 */
export function completeGrant(
    { ctx, call }: CallTask,
    { ticketId: request, grant }: HeldGrant,
    end: GrantEnd,
    { stream, tries }: Pick<CallProgress, "stream" | "tries">,
    sentAt: number,
): void {
    const { upstream } = grant;
    const tokensPerEvent = tokensPerEventOf(ctx, call);
    // The pace of a stream whose path was lost meanwhile is not that of its upstream.
    const isPaceKnown = !ctx.upstreamHttp.hadLostPath(toTarget(call.pool, grant), sentAt);
    const gaps = isPaceKnown ? stream.eventCount - 1 : 0;
    const tokenMs = gaps > 0 ? (stream.lastEventAt - stream.firstEventAt) / gaps / tokensPerEvent : undefined;
    ctx.dispatcher.complete({
        request,
        upstream,
        outcome: end.outcome,
        ...(end.mayHaveEnded ? { mayHaveEnded: true } : {}),
        firstTokenMs: stream.firstEventMs,
        tokenMs,
        longestGapMs: gaps > 0 && tries === 1 ? stream.longestGapMs : undefined,
        promptTokens: call.head.promptTokens,
        cachedTokens: 0,
        completionTokens: stream.eventCount * tokensPerEvent,
    });
}

/** Returns the version of the software that must run the call, since it began the stream; undefined: any. */
export function requiredSoftware({ call, progress }: Pick<CallTask, "call" | "progress">): SoftwareVersion | undefined {
    return progress.stream.startedBy ?? call.resumption?.software;
}

/** Returns the number of tokens that one event of a call's stream stands for. */
export function tokensPerEventOf(ctx: CallContext, { pool }: PreparedCall): number {
    return ctx.view.routes()?.findPool(pool)?.engine?.tokensPerEvent ?? 1;
}
