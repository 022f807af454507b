import { Ticket } from "../ticket/index.js";

/** The cost of a prompt token relative to one token of the answer, which takes an engine far longer. */
export const PROMPT_TOKEN_COST = 0.05;

/** Multiplies the maximum wait of an interrupted answer: if it is refused, everything generated so far is lost. */
const RESUMED_MAX_WAIT_FACTOR = 2;

/** A ticket in a pool's queue, with its deadlines and predicted cost. */
export interface WaitingTicket {
    readonly ticket: Ticket;
    /** Monotonic time at which the caller's request arrived, in milliseconds. */
    readonly arrivedAt: number;
    /** Monotonic time at which its first token is due, in milliseconds. */
    readonly targetAt: number;
    /** Monotonic time at which its wait expires, in milliseconds. */
    readonly expiresAt: number;
    /** Monotonic time at which the request has ended in any case, in milliseconds; infinite where it has no time limit. */
    readonly endsBy: number;
    /** The predicted length of the answer, in tokens. */
    readonly predictedTokens: number;
    /** The predicted cost, in answer tokens. */
    readonly cost: number;
}

/**
 * Computes a ticket's deadlines and cost. A resumed request has already shown its first token, so its deadlines start
 * again: otherwise a long answer would be refused for its age in the middle of its stream.
 *
 * @param ticket - The ticket as received.
 * @param now - Monotonic time, in milliseconds.
 * @param predictedTokens - The predicted length of the rest of its answer, in tokens.
 */
export function makeWaitingTicket(ticket: Ticket, now: number, predictedTokens: number): WaitingTicket {
    const arrivedAt = isResumed(ticket) ? now : now - ticket.ageMs;
    return {
        ticket,
        arrivedAt,
        targetAt: arrivedAt + ticket.firstTokenMs,
        expiresAt: now + findWaitLeftMs(ticket),
        endsBy: now + (ticket.lifeMs ?? Number.POSITIVE_INFINITY),
        predictedTokens,
        cost: costInTokens(ticket.promptTokens, predictedTokens),
    };
}

/** Returns the time for which a ticket may wait from its submission on, in milliseconds; negative where that is over. */
export function findWaitLeftMs(ticket: Ticket): number {
    const { maxWaitMs, ageMs } = ticket;
    return isResumed(ticket) ? RESUMED_MAX_WAIT_FACTOR * maxWaitMs : maxWaitMs - ageMs;
}

function isResumed({ resumeOffset }: Ticket): boolean {
    return resumeOffset > 0;
}

/** Returns the cost of a request, in answer tokens. */
export function costInTokens(promptTokens: number, completionTokens: number): number {
    return completionTokens + PROMPT_TOKEN_COST * promptTokens;
}
