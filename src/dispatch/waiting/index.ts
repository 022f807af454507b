import { Ticket } from "../ticket/index.js";

/** What one prompt token costs beside one token of the answer, which takes an engine far longer. */
export const PROMPT_TOKEN_COST = 0.05;

/** How many times as long an answer that was cut may wait to go on: refused, it is lost with all that was made of it. */
const RESUMED_WAIT_FACTOR = 2;

/** A ticket in a pool's queue. */
export interface WaitingTicket {
    readonly ticket: Ticket;
    /** Monotonic time at which the caller's request arrived, in milliseconds. */
    readonly arrivedAt: number;
    /** Monotonic time at which its first token is due, in milliseconds. */
    readonly targetAt: number;
    /** Monotonic time at which it is refused at the latest, in milliseconds. */
    readonly expiresAt: number;
    /** How long the answer will probably be, in tokens. */
    readonly predictedTokens: number;
    /** What it will probably cost, in tokens of an answer. */
    readonly cost: number;
}

/**
 * Sets a ticket's times. A request that was preempted has shown its first token already: its bounds start anew, or a
 * long answer would be refused for its age in the middle of its stream.
 *
 * @param ticket - As it came.
 * @param now - Monotonic time, in milliseconds.
 * @param predictedTokens - How long the rest of its answer will probably be.
 */
export function makeWaitingTicket(ticket: Ticket, now: number, predictedTokens: number): WaitingTicket {
    const isResumed = ticket.resumeOffset > 0;
    const arrivedAt = isResumed ? now : now - ticket.ageMs;
    return {
        ticket,
        arrivedAt,
        targetAt: arrivedAt + ticket.firstTokenMs,
        expiresAt: arrivedAt + (isResumed ? RESUMED_WAIT_FACTOR : 1) * ticket.maxWaitMs,
        predictedTokens,
        cost: costInTokens(ticket.promptTokens, predictedTokens),
    };
}

/** What a request costs, in tokens of an answer. */
export function costInTokens(promptTokens: number, completionTokens: number): number {
    return completionTokens + PROMPT_TOKEN_COST * promptTokens;
}
