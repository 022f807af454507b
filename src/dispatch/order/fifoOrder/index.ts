import { WaitingTicket } from "../../waitingTicket/index.js";
import { OrderPolicy } from "../orderPolicy/index.js";

/** Baseline: first in, first out, regardless of tier and workspace. */
export class FifoOrder extends OrderPolicy {
    private readonly tickets = new Set<WaitingTicket>();
    private totalCost = 0;

    get size(): number {
        return this.tickets.size;
    }

    get highestTier(): number | undefined {
        return this.size === 0 ? undefined : Math.min(...[...this.tickets].map(({ ticket }) => ticket.tier));
    }

    add(waiting: WaitingTicket): void {
        this.tickets.add(waiting);
        this.totalCost += waiting.cost;
    }

    remove(waiting: WaitingTicket): boolean {
        if (!this.tickets.delete(waiting)) return false;
        this.totalCost -= waiting.cost;
        return true;
    }

    takeNext(): WaitingTicket | undefined {
        const first = this.tickets.values().next().value;
        if (first) this.remove(first);
        return first;
    }

    costAhead(waiting: WaitingTicket): number {
        return this.tickets.has(waiting) ? this.totalCost - waiting.cost : this.totalCost;
    }

    correctCost(): void {}

    revertTake(): void {}

    chargeGrant(): void {}

    lowestTierFirst(): Iterable<WaitingTicket> {
        return [...this.tickets].reverse();
    }

    highestTierFirst(): Iterable<WaitingTicket> {
        return this.tickets;
    }
}
