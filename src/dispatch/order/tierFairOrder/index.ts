import { WaitingTicket } from "../../waitingTicket/index.js";
import { OrderContext, OrderPolicy } from "../orderPolicy/index.js";
import { TierQueue } from "../tierQueue/index.js";

/** Time constant with which granted cost decays when the shares of the tiers are computed, in milliseconds. */
const GRANTED_SHARE_DECAY_MS = 10_000;
/** A lower tier may go ahead only while the time left to each higher target is at least this many times the time needed to meet it. */
const SLACK_FACTOR = 3;

/**
 * Orders tickets by tier, then by fair shares between the workspaces of a tier, then by earliest deadline.
 *
 * A lower tier with a guaranteed share goes ahead of a higher one only while there is slack: when all higher targets
 * would be met with time to spare. A steady load of higher tiers then cannot starve it, and it makes no higher ticket
 * miss its target.
 */
export class TierFairOrder extends OrderPolicy {
    private readonly tierQueues: TierQueue[] = [];
    private readonly grantedCost: number[] = [];
    private totalGrantedCost = 0;
    private decayedAt = 0;

    get size(): number {
        return this.tierQueues.reduce((sum, tier) => sum + (tier?.size ?? 0), 0);
    }

    get highestTier(): number | undefined {
        const tier = this.tierQueues.findIndex(({ size }) => size > 0);
        return tier < 0 ? undefined : tier;
    }

    add(waiting: WaitingTicket): void {
        this.queueOf(waiting).add(waiting);
    }

    remove(waiting: WaitingTicket): boolean {
        return this.queueOf(waiting).remove(waiting);
    }

    takeNext(context: OrderContext): WaitingTicket | undefined {
        const first = this.tierQueues.findIndex(tier => tier.size > 0);
        if (first < 0) return undefined;
        const tier = this.findTierBelowShare(first, context) ?? first;
        const waiting = this.tierQueues[tier].takeNext();
        if (waiting) this.recordGrant(tier, waiting.cost, context.now);
        return waiting;
    }

    revertTake(waiting: WaitingTicket): void {
        const { ticket: { tier }, cost } = waiting;
        this.queueOf(waiting).correctCost(waiting, 0);
        this.grantedCost[tier] = Math.max(0, this.grantedCost[tier] - cost);
        this.totalGrantedCost = Math.max(0, this.totalGrantedCost - cost);
    }

    chargeGrant(waiting: WaitingTicket, now: number): void {
        this.queueOf(waiting).chargeGrant(waiting);
        this.recordGrant(waiting.ticket.tier, waiting.cost, now);
    }

    costAhead(waiting: WaitingTicket): number {
        const { tier } = waiting.ticket;
        const above = this.tierQueues.slice(0, tier).reduce((sum, queue) => sum + queue.cost, 0);
        return above + this.queueOf(waiting).costAhead(waiting);
    }

    correctCost(waiting: WaitingTicket, actualCost: number): void {
        this.queueOf(waiting).correctCost(waiting, actualCost);
    }

    *lowestTierFirst(): Iterable<WaitingTicket> {
        for (const tier of [...this.tierQueues].reverse()) yield* [...tier.values()].reverse();
    }

    *highestTierFirst(): Iterable<WaitingTicket> {
        for (const tier of this.tierQueues) yield* [...tier.values()];
    }

    private queueOf(waiting: WaitingTicket): TierQueue {
        const { tier } = waiting.ticket;
        while (this.tierQueues.length <= tier) {
            this.tierQueues.push(new TierQueue());
            this.grantedCost.push(0);
        }
        return this.tierQueues[tier];
    }

    private findTierBelowShare(first: number, context: OrderContext): number | undefined {
        for (let tier = first + 1; tier < this.tierQueues.length; tier++) {
            const queue = this.tierQueues[tier];
            if (queue.size === 0 || this.grantedShareOf(tier) >= queue.guaranteedShare) continue;
            if (this.haveSlackAbove(tier, context)) return tier;
        }
        return undefined;
    }

    private grantedShareOf(tier: number): number {
        return this.totalGrantedCost === 0 ? 0 : this.grantedCost[tier] / this.totalGrantedCost;
    }

    private haveSlackAbove(tier: number, context: OrderContext): boolean {
        // In a burst, tickets of higher tiers that arrive next need the slot, even if all waiting ones can spare it.
        if (context.isSaturatedAbove(tier)) return false;
        let ticketsAhead = 1;
        for (const queue of this.tierQueues.slice(0, tier)) {
            ticketsAhead += queue.size;
            const neededMs = ticketsAhead * context.slotReleaseMs + context.firstTokenMs;
            if (queue.size > 0 && queue.earliestTargetAt - context.now < SLACK_FACTOR * neededMs) return false;
        }
        return true;
    }

    private recordGrant(tier: number, cost: number, now: number): void {
        const factor = Math.exp((this.decayedAt - now) / GRANTED_SHARE_DECAY_MS);
        this.decayedAt = now;
        for (let index = 0; index < this.grantedCost.length; index++) this.grantedCost[index] *= factor;
        this.grantedCost[tier] += cost;
        this.totalGrantedCost = this.totalGrantedCost * factor + cost;
    }
}
