/** Order received by an emulated engine or the platform. */
export interface ReceivedOrder {
    readonly orderId: string;
    readonly fencingToken: number;
    readonly action: string;
    readonly target: string;
}

/**
 * Outcome of an order.
 * - `fresh`: to be executed.
 * - `repeat`: an order with this id was accepted before.
 * - `stale`: refused for its fencing token.
 */
export type OrderVerdict = "fresh" | "repeat" | "stale";

/** Received order with its outcome. */
export interface LoggedOrder extends ReceivedOrder {
    /** Arrival, in milliseconds on the monotonic clock. */
    readonly at: number;
    readonly verdict: OrderVerdict;
}

/**
 * Records all orders that one receiver got, and checks their fencing tokens.
 *
 * @example
 * if (log.receive(order, clock.monotonic()) === "fresh") execute(order);
 */
export class OrderLog {
    /** All orders, by arrival. */
    readonly orders: LoggedOrder[] = [];
    private readonly executedOrderIds = new Set<string>();
    private highestFencingToken = Number.NEGATIVE_INFINITY;

    /** @param checksFence - Whether orders with an old fencing token are refused. */
    constructor(readonly checksFence: boolean) {}

    /**
     * Records an order and determines its outcome.
     *
     * @param order - Order to record.
     * @param at - Arrival, in milliseconds on the monotonic clock.
     * @returns Outcome of the order.
     */
    receive(order: ReceivedOrder, at: number): OrderVerdict {
        const verdict = this.classify(order);
        this.highestFencingToken = Math.max(this.highestFencingToken, order.fencingToken);
        if (verdict === "fresh") this.executedOrderIds.add(order.orderId);
        this.orders.push({ ...order, at, verdict });
        return verdict;
    }

    /**
     * Counts the orders that were accepted although an earlier one had a newer fencing token, which shows that two
     * senders both assumed that they held the control lease.
     */
    countReversals(): number {
        let highest = Number.NEGATIVE_INFINITY;
        let reversals = 0;
        for (const { fencingToken, verdict } of this.orders) {
            if (verdict !== "stale" && fencingToken < highest) reversals++;
            highest = Math.max(highest, fencingToken);
        }
        return reversals;
    }

    private classify(order: ReceivedOrder): OrderVerdict {
        if (this.checksFence && order.fencingToken < this.highestFencingToken) return "stale";
        return this.executedOrderIds.has(order.orderId) ? "repeat" : "fresh";
    }
}
