import { WaitingTicket } from "../../waiting/index.js";
import { OrderContext, OrderPolicy } from "../orderPolicy/index.js";
import { TierQueue } from "../tierQueue/index.js";

/** How fast the account of what each tier got forgets, in milliseconds. */
const SHARE_MEMORY_MS = 10_000;
/** A lower tier is let in only while each higher target is this many times as far away as its predicted time. */
const SLACK_FACTOR = 3;

/**
 * Tier first, then fair shares between the workspaces of a tier, then the earliest deadline.
 *
 * A tier below with a guaranteed share gets its turn ahead of a higher one only out of slack: when every higher target
 * would be met with time to spare all the same. So a steady stream above cannot starve it, and it costs no target.
 */
export class TierFairOrder extends OrderPolicy {
    private readonly tiers: TierQueue[] = [];
    private readonly granted: number[] = [];
    private grantedTotal = 0;
    private accountedAt = 0;

    get size(): number {
        return this.tiers.reduce((sum, tier) => sum + (tier?.size ?? 0), 0);
    }

    add(waiting: WaitingTicket): void {
        this.tierOf(waiting).add(waiting);
    }

    remove(waiting: WaitingTicket): boolean {
        return this.tierOf(waiting).remove(waiting);
    }

    takeNext(context: OrderContext): WaitingTicket | undefined {
        const first = this.tiers.findIndex(tier => tier.size > 0);
        if (first < 0) return undefined;
        const tier = this.findTierInDebt(first, context) ?? first;
        const waiting = this.tiers[tier].takeNext();
        if (waiting) this.account(tier, waiting.cost, context.now);
        return waiting;
    }

    costAhead(waiting: WaitingTicket): number {
        const { tier } = waiting.ticket;
        const above = this.tiers.slice(0, tier).reduce((sum, queue) => sum + queue.cost, 0);
        return above + this.tierOf(waiting).costAhead(waiting);
    }

    correctCost(waiting: WaitingTicket, realCost: number): void {
        this.tierOf(waiting).correctCost(waiting, realCost);
    }

    *lowestTierFirst(): Iterable<WaitingTicket> {
        for (const tier of [...this.tiers].reverse()) yield* [...tier.values()].reverse();
    }

    *highestTierFirst(): Iterable<WaitingTicket> {
        for (const tier of this.tiers) yield* [...tier.values()];
    }

    private tierOf(waiting: WaitingTicket): TierQueue {
        const { tier } = waiting.ticket;
        while (this.tiers.length <= tier) {
            this.tiers.push(new TierQueue());
            this.granted.push(0);
        }
        return this.tiers[tier];
    }

    private findTierInDebt(first: number, context: OrderContext): number | undefined {
        for (let tier = first + 1; tier < this.tiers.length; tier++) {
            const queue = this.tiers[tier];
            if (queue.size === 0 || this.shareOf(tier) >= queue.guaranteedShare) continue;
            if (this.hasSlackAbove(tier, context)) return tier;
        }
        return undefined;
    }

    private shareOf(tier: number): number {
        return this.grantedTotal === 0 ? 0 : this.granted[tier] / this.grantedTotal;
    }

    private hasSlackAbove(tier: number, context: OrderContext): boolean {
        // In a burst what will come from above next needs the slot, even if all that waits now can spare it.
        if (context.isFilledAbove(tier)) return false;
        let ahead = 1;
        for (const queue of this.tiers.slice(0, tier)) {
            ahead += queue.size;
            const neededMs = ahead * context.releaseMs + context.firstTokenMs;
            if (queue.size > 0 && queue.tightestTargetAt - context.now < SLACK_FACTOR * neededMs) return false;
        }
        return true;
    }

    private account(tier: number, cost: number, now: number): void {
        const kept = Math.exp((this.accountedAt - now) / SHARE_MEMORY_MS);
        this.accountedAt = now;
        for (let index = 0; index < this.granted.length; index++) this.granted[index] *= kept;
        this.granted[tier] += cost;
        this.grantedTotal = this.grantedTotal * kept + cost;
    }
}
