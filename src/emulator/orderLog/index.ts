/** An order as a stand-in takes it. */
export interface ReceivedOrder {
    readonly orderId: string;
    readonly fencingToken: number;
    readonly action: string;
    readonly target: string;
}

/**
 * What became of an order. `fresh`: obeyed; `repeat`: the id had been obeyed before; `stale`: refused for its fencing
 * token.
 */
export type OrderVerdict = "fresh" | "repeat" | "stale";

/** An order with what became of it. */
export interface LoggedOrder extends ReceivedOrder {
    /** Milliseconds on the monotonic clock. */
    readonly at: number;
    readonly verdict: OrderVerdict;
}

/**
 * All orders that one stand-in got, and its fencing check.
 *
 * @example
 * if (log.receive(order, clock.monotonic()) === "fresh") obey(order);
 */
export class OrderLog {
    /** In the order of arrival. */
    readonly orders: LoggedOrder[] = [];
    private readonly obeyed = new Set<string>();
    private highestToken = Number.NEGATIVE_INFINITY;

    /** @param checksFence - Whether old fencing tokens are refused. */
    constructor(readonly checksFence: boolean) {}

    /**
     * Takes in an order and keeps it.
     *
     * @param order - The order.
     * @param at - Milliseconds on the monotonic clock.
     * @returns What is to be done with it.
     */
    receive(order: ReceivedOrder, at: number): OrderVerdict {
        const verdict = this.judge(order);
        this.highestToken = Math.max(this.highestToken, order.fencingToken);
        if (verdict === "fresh") this.obeyed.add(order.orderId);
        this.orders.push({ ...order, at, verdict });
        return verdict;
    }

    /**
     * How often an order was obeyed although one with a newer fencing token had come before: two senders took
     * themselves to be in charge.
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

    private judge(order: ReceivedOrder): OrderVerdict {
        if (this.checksFence && order.fencingToken < this.highestToken) return "stale";
        return this.obeyed.has(order.orderId) ? "repeat" : "fresh";
    }
}
