import { RunningRequest, RunningSet } from "../runningSet/index.js";
import { WaitingTicket } from "../waitingTicket/index.js";

/** The pool's state when a preemption is considered. */
export interface PreemptionContext {
    /** Monotonic time, in milliseconds. */
    readonly now: number;
    /** Predicted wait without a preemption, in milliseconds. */
    readonly waitMs: number;
    /** Typical time from sending a request to its first token, in milliseconds. */
    readonly firstTokenMs: number;
}

/** Chooses which running request to preempt for a waiting ticket of a higher tier. */
export abstract class PreemptionPolicy {
    /**
     * @param waiting - The ticket that needs a slot.
     * @param running - The running requests of the pool.
     * @returns The request to stop and resume later; undefined to let the ticket wait.
     */
    abstract pickVictim(
        waiting: WaitingTicket,
        running: RunningSet,
        context: PreemptionContext,
    ): RunningRequest | undefined;

    /** Whether running requests of lower tiers count as capacity for a higher one. */
    abstract readonly isEnabled: boolean;
}

/** Baseline: never preempts. */
export class NoPreemption extends PreemptionPolicy {
    readonly isEnabled = false;

    pickVictim(): undefined {
        return undefined;
    }
}

/** A ticket is at risk once its predicted first token takes this share of its target. */
const AT_RISK_RATIO = 0.8;
/** Number of candidates examined for a victim, which bounds the time of a decision. */
const MAX_EXAMINED = 64;

/**
 * Preempts a resumable request of the lowest tier when a ticket of a higher tier would otherwise miss its target.
 * Within that tier it picks the request with the fewest prompt and answer tokens so far, since those are computed again
 * when it resumes.
 */
export class TierPreemption extends PreemptionPolicy {
    readonly isEnabled = true;

    pickVictim(
        waiting: WaitingTicket,
        running: RunningSet,
        context: PreemptionContext,
    ): RunningRequest | undefined {
        const { ticket } = waiting;
        const startMs = context.now - waiting.arrivedAt + context.waitMs;
        if (startMs + context.firstTokenMs < AT_RISK_RATIO * ticket.firstTokenMs) return undefined;
        let victim: RunningRequest | undefined;
        let examined = 0;
        for (const candidate of running.preemptibleOfLowestTier(ticket.tier)) {
            if (examined++ >= MAX_EXAMINED) break;
            if (!victim || recomputedTokens(candidate) < recomputedTokens(victim)) victim = candidate;
        }
        return victim;
    }
}

function recomputedTokens(running: RunningRequest): number {
    return running.waiting.ticket.promptTokens + running.tokens;
}
