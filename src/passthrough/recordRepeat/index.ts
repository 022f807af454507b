import { Grant } from "../../dispatch/index.js";
import { CallTask, PendingRepeat } from "../callTask/index.js";
import { AttemptEnd } from "../nextStep/index.js";
import { RepeatBudgetState } from "../repeatBudget/index.js";

/** What a repeat waited for longest between its decision and its send. */
export type RepeatWait = "none" | "slot" | "owner" | "pause";

/** Waits that are shorter count as none, in milliseconds. */
const MIN_WAIT_MS = 50;

/** Returns the state of the budget for a call's pool. */
export function readBudget({ ctx, call }: CallTask): RepeatBudgetState {
    return ctx.repeats.describe(call.pool);
}

/**
 * Makes log fields of the state of a budget; an infinite number of entries is left out.
 *
 * @param moment - The first word of each field's name.
 */
export function describeBudget(state: RepeatBudgetState, moment: string): Record<string, number> {
    const counts = Object.entries(state) as [string, number][];
    const known = counts.filter(([, count]) => Number.isFinite(count));
    return Object.fromEntries(known.map(([name, count]) => [moment + name[0].toUpperCase() + name.slice(1), count]));
}

/** Records that a call will be sent again. */
export function recordRepeatDecided(task: CallTask, reason: PendingRepeat["reason"]): void {
    const { ctx, progress } = task;
    const budget = readBudget(task);
    progress.pendingRepeat = { reason, decidedAt: ctx.clock.monotonic(), budget, pausedMs: 0 };
}

/** Records that a call was not sent again because the budget was spent. */
export function recordRepeatDenied({ ctx, call }: CallTask, reason: AttemptEnd): void {
    ctx.metrics.count("repeats_denied", 1, { pool: call.pool, reason });
}

/**
 * Logs a repeat right before it is sent, with what it waited for since its decision.
 *
 * @param grant - The grant for which it is sent.
 */
export function recordRepeatSent(task: CallTask, grant: Grant): void {
    const { ctx, call, progress } = task;
    const pending = progress.pendingRepeat;
    if (!pending) return;
    progress.pendingRepeat = undefined;
    const { reason, pausedMs } = pending;
    const waitedMs = Math.round(ctx.clock.monotonic() - pending.decidedAt);
    const queuedMs = Math.round(grant.waitedMs);
    const wait = findLongestWait(waitedMs, queuedMs, pausedMs);
    ctx.metrics.count("repeats_made", 1, { pool: call.pool, reason, wait });
    ctx.metrics.histogram("repeat_wait_ms", waitedMs, { pool: call.pool });
    ctx.logger.info("repeat-sent", {
        request: call.head.request,
        pool: call.pool,
        upstream: grant.upstream,
        reason,
        wait,
        waitedMs,
        queuedMs,
        pausedMs: Math.round(pausedMs),
        tries: progress.tries,
        ...describeBudget(pending.budget, "decided"),
        ...describeBudget(readBudget(task), "sent"),
    });
}

/** What is neither spent in a queue nor paused went by while no owner of the queue answered. */
function findLongestWait(waitedMs: number, queuedMs: number, pausedMs: number): RepeatWait {
    if (waitedMs < MIN_WAIT_MS) return "none";
    const ownerMs = waitedMs - queuedMs - pausedMs;
    if (ownerMs >= Math.max(queuedMs, pausedMs)) return "owner";
    return queuedMs >= pausedMs ? "slot" : "pause";
}
