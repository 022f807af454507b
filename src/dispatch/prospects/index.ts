import { WorkspaceId } from "../../ids/index.js";
import { PoolOutlook } from "../outlook/index.js";
import { WaitingTicket } from "../waiting/index.js";

/** The pool's capacity when prospects are predicted. */
export interface ProspectContext {
    /** Monotonic time, in milliseconds. */
    readonly now: number;
    readonly usableSlots: number;
    readonly outlook: PoolOutlook;
}

interface Ahead {
    cost: number;
    readonly byWorkspace: Map<WorkspaceId, number>;
}

/**
 * Walks the queue from the highest tier down and predicts each ticket's wait from what is kept before it. Judging from
 * the top down makes shedding start at the bottom: a higher ticket never waits for a lower one, so only what is
 * above a ticket, or before it in its tier, can be the reason to shed it.
 *
 * @param tickets - All that wait.
 * @param isKept - Told of each ticket's predicted wait in milliseconds; says whether it stays.
 */
export function walkProspects(
    tickets: Iterable<WaitingTicket>,
    context: ProspectContext,
    isKept: (waiting: WaitingTicket, waitMs: number) => boolean,
): void {
    let aboveCost = 0;
    for (const tier of groupByTier(tickets)) {
        const weights = sumWeights(tier);
        const ahead: Ahead = { cost: 0, byWorkspace: new Map() };
        for (const waiting of tier) {
            const costAhead = aboveCost + costBefore(waiting, ahead, weights);
            const { outlook, usableSlots, now } = context;
            const waitMs = outlook.predictWaitMs(waiting.ticket.tier, costAhead, usableSlots, now);
            if (!isKept(waiting, waitMs)) continue;
            ahead.cost += waiting.cost;
            const { workspace } = waiting.ticket;
            ahead.byWorkspace.set(workspace, (ahead.byWorkspace.get(workspace) ?? 0) + waiting.cost);
        }
        aboveCost += ahead.cost;
    }
}

/** All before it by deadline, but not more than fair turns let pass before its workspace's turn. */
function costBefore(waiting: WaitingTicket, ahead: Ahead, weights: number): number {
    const own = ahead.byWorkspace.get(waiting.ticket.workspace) ?? 0;
    return Math.min(ahead.cost, own * weights / waiting.ticket.weight);
}

function groupByTier(tickets: Iterable<WaitingTicket>): WaitingTicket[][] {
    const tiers: WaitingTicket[][] = [];
    for (const waiting of tickets) (tiers[waiting.ticket.tier] ??= []).push(waiting);
    return tiers.filter(tier => tier !== undefined).map(tier => tier.sort((a, b) => a.targetAt - b.targetAt));
}

function sumWeights(tier: readonly WaitingTicket[]): number {
    const weights = new Map(tier.map(waiting => [waiting.ticket.workspace, waiting.ticket.weight]));
    return [...weights.values()].reduce((sum, weight) => sum + weight, 0);
}
