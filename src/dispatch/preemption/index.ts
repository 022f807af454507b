import { RunningRequest, RunningSet } from "../running/index.js";
import { WaitingTicket } from "../waiting/index.js";

/** The state of the pool when a preemption is weighed. */
export interface PreemptionContext {
    /** Monotonic time, in milliseconds. */
    readonly now: number;
    /** How long the ticket will probably wait when nobody gives a place, in milliseconds. */
    readonly waitMs: number;
    /** From sending to the first token, as a rule, in milliseconds. */
    readonly firstTokenMs: number;
}

/** Picks running work that gives its place to a waiting ticket of a higher tier. */
export abstract class PreemptionPolicy {
    /**
     * @param waiting - The ticket that needs a slot.
     * @param running - What runs in the pool.
     * @returns What should be stopped and resumed later; undefined to let the ticket wait.
     */
    abstract pickVictim(
        waiting: WaitingTicket,
        running: RunningSet,
        context: PreemptionContext,
    ): RunningRequest | undefined;

    /** Whether running work of lower tiers counts as capacity for a higher one. */
    abstract readonly isEnabled: boolean;
}

/** Baseline: what runs, runs to its end. */
export class NoPreemption extends PreemptionPolicy {
    readonly isEnabled = false;

    pickVictim(): undefined {
        return undefined;
    }
}

/** How much of the target may pass in waiting before a place is taken. */
const RISK_SHARE = 0.8;
/** A victim is looked for among this many, to keep a decision short. */
const MOST_EXAMINED = 64;

/**
 * Stops a resumable request of the lowest tier when a higher one would else miss its target. Of that tier it takes the
 * one with the least prompt and answer so far, since that much is processed again when it resumes.
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
        if (startMs + context.firstTokenMs < RISK_SHARE * ticket.firstTokenMs) return undefined;
        let best: RunningRequest | undefined;
        let examined = 0;
        for (const candidate of running.lowestPreemptible(ticket.tier)) {
            if (examined++ >= MOST_EXAMINED) break;
            if (!best || repeatedTokens(candidate) < repeatedTokens(best)) best = candidate;
        }
        return best;
    }
}

function repeatedTokens(running: RunningRequest): number {
    return running.waiting.ticket.promptTokens + running.tokens;
}
