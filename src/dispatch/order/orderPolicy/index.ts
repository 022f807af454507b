import { WaitingTicket } from "../../waiting/index.js";

/** The state of the pool when a slot is given out. */
export interface OrderContext {
    /** Monotonic time, in milliseconds. */
    readonly now: number;
    /** Mean time until the next slot comes free, in milliseconds. */
    readonly releaseMs: number;
    /** From sending to the first token, as a rule, in milliseconds. */
    readonly firstTokenMs: number;
    /** Whether the tiers above one bring about as much as the pool can do, or more. */
    readonly isFilledAbove: (tier: number) => boolean;
}

/** The order of one pool's queue. */
export abstract class OrderPolicy {
    abstract readonly size: number;

    abstract add(waiting: WaitingTicket): void;

    /** Takes a ticket out that will not be granted. */
    abstract remove(waiting: WaitingTicket): boolean;

    /** Takes out the ticket that gets the next slot. */
    abstract takeNext(context: OrderContext): WaitingTicket | undefined;

    /** The predicted cost of what will be granted before this ticket, in tokens. */
    abstract costAhead(waiting: WaitingTicket): number;

    /** A granted ticket has ended: puts its real cost in place of the predicted one. Called once for each. */
    abstract correctCost(waiting: WaitingTicket, realCost: number): void;

    /** All waiting tickets, those of the lowest tier first. */
    abstract lowestTierFirst(): Iterable<WaitingTicket>;

    /** The waiting tickets of one tier and above, the highest tier first. */
    abstract highestTierFirst(): Iterable<WaitingTicket>;
}
