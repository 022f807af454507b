import { WaitingTicket } from "../../waitingTicket/index.js";

/** The pool's state when a slot becomes free. */
export interface OrderContext {
    /** Monotonic time, in milliseconds. */
    readonly now: number;
    /** Mean time until the next slot becomes free, in milliseconds. */
    readonly slotReleaseMs: number;
    /** Typical time from sending a request to its first token, in milliseconds. */
    readonly firstTokenMs: number;
    /** Whether the tiers above the given one bring about the pool's whole capacity or more. */
    readonly isSaturatedAbove: (tier: number) => boolean;
}

/** Determines the order of one pool's queue. */
export abstract class OrderPolicy {
    abstract readonly size: number;

    /** The highest tier of which a ticket waits; undefined where none waits. */
    abstract readonly highestTier: number | undefined;

    abstract add(waiting: WaitingTicket): void;

    /** Removes a ticket that will not be granted; false when it is not queued. */
    abstract remove(waiting: WaitingTicket): boolean;

    /** Removes and returns the ticket that gets the next slot. */
    abstract takeNext(context: OrderContext): WaitingTicket | undefined;

    /** Reverts what `takeNext` recorded for a ticket that was not granted after all. The ticket stays removed. */
    abstract revertTake(waiting: WaitingTicket): void;

    /** Records that a ticket that was never queued is granted now, in milliseconds on the monotonic clock. */
    abstract chargeGrant(waiting: WaitingTicket, now: number): void;

    /** Returns the predicted cost of the tickets that will be granted before this one, in tokens. */
    abstract costAhead(waiting: WaitingTicket): number;

    /**
     * Replaces the predicted cost of a granted ticket by its actual cost, in tokens. Called once for each granted
     * ticket, when it ends.
     */
    abstract correctCost(waiting: WaitingTicket, actualCost: number): void;

    /** Returns all waiting tickets, the lowest tier first. */
    abstract lowestTierFirst(): Iterable<WaitingTicket>;

    /** Returns all waiting tickets, the highest tier first. */
    abstract highestTierFirst(): Iterable<WaitingTicket>;
}
