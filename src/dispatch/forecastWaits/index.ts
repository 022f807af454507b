import { WorkspaceId } from "../../ids/index.js";
import { PoolForecast } from "../poolForecast/index.js";
import { WaitingTicket } from "../waitingTicket/index.js";

/** The pool's state at the time of a forecast. */
export interface ForecastContext {
    /** Monotonic time, in milliseconds. */
    readonly now: number;
    readonly usableSlots: number;
    readonly forecast: PoolForecast;
}

/** The cost of the kept tickets queued ahead in one tier, in tokens. */
interface QueuedCost {
    cost: number;
    readonly byWorkspace: Map<WorkspaceId, number>;
}

/**
 * Predicts each ticket's wait from the kept tickets queued ahead of it, from the highest tier down. The order makes
 * shedding start at the lowest tier: a higher ticket never waits for a lower one, so a ticket can only be shed because
 * of tickets in higher tiers or ahead of it in its own.
 *
 * @param tickets - All waiting tickets.
 * @param shouldKeep - Called with each ticket and its predicted wait in milliseconds; returns whether the ticket stays
 * in the queue.
 */
export function forecastWaits(
    tickets: Iterable<WaitingTicket>,
    context: ForecastContext,
    shouldKeep: (waiting: WaitingTicket, waitMs: number) => boolean,
): void {
    let higherTiersCost = 0;
    for (const tier of groupByTierAndTarget(tickets)) {
        const totalWeight = sumWeights(tier);
        const queuedAhead: QueuedCost = { cost: 0, byWorkspace: new Map() };
        for (const waiting of tier) {
            const costAhead = higherTiersCost + costAheadInTier(waiting, queuedAhead, totalWeight);
            const { forecast, usableSlots, now } = context;
            const waitMs = forecast.predictWaitMs(waiting.ticket.tier, costAhead, usableSlots, now);
            if (!shouldKeep(waiting, waitMs)) continue;
            queuedAhead.cost += waiting.cost;
            const { workspace } = waiting.ticket;
            queuedAhead.byWorkspace.set(workspace, (queuedAhead.byWorkspace.get(workspace) ?? 0) + waiting.cost);
        }
        higherTiersCost += queuedAhead.cost;
    }
}

/**
 * Returns the cost queued ahead of a ticket by deadline, but at most what fair turns allow the tier before its
 * workspace's turn.
 */
function costAheadInTier(waiting: WaitingTicket, queuedAhead: QueuedCost, totalWeight: number): number {
    const ownCost = queuedAhead.byWorkspace.get(waiting.ticket.workspace) ?? 0;
    return Math.min(queuedAhead.cost, ownCost * totalWeight / waiting.ticket.weight);
}

function groupByTierAndTarget(tickets: Iterable<WaitingTicket>): WaitingTicket[][] {
    const tiers: WaitingTicket[][] = [];
    for (const waiting of tickets) (tiers[waiting.ticket.tier] ??= []).push(waiting);
    return tiers.filter(tier => tier !== undefined).map(tier => tier.sort((a, b) => a.targetAt - b.targetAt));
}

function sumWeights(tier: readonly WaitingTicket[]): number {
    const weights = new Map(tier.map(waiting => [waiting.ticket.workspace, waiting.ticket.weight]));
    return [...weights.values()].reduce((sum, weight) => sum + weight, 0);
}
