import type { Queue, QueueAddOptions } from "p-queue";
import { OrderContext, OrderPolicy } from "../order/index.js";
import { WaitingTicket } from "../waitingTicket/index.js";

type RunFunction = () => Promise<unknown>;

/** The options that p-queue passes to `enqueue` with a task. */
export interface TicketQueueOptions extends QueueAddOptions {
    readonly waiting: WaitingTicket;
}

/** A p-queue queue class that runs tickets in the order of an `OrderPolicy`. */
export class TicketQueue implements Queue<RunFunction, TicketQueueOptions> {
    private readonly runs = new Map<WaitingTicket, RunFunction>();

    /**
     * @param order - Orders the tickets.
     * @param readContext - Returns the pool's state; called when a slot becomes free.
     */
    constructor(private readonly order: OrderPolicy, private readonly readContext: () => OrderContext) {}

    get size(): number {
        return this.order.size;
    }

    enqueue(run: RunFunction, options?: Partial<TicketQueueOptions>): void {
        const waiting = options!.waiting!;
        this.runs.set(waiting, run);
        this.order.add(waiting);
    }

    dequeue(): RunFunction | undefined {
        const waiting = this.order.takeNext(this.readContext());
        if (!waiting) return undefined;
        const run = this.runs.get(waiting);
        this.runs.delete(waiting);
        return run;
    }

    /** Removes a ticket that will not be granted; false when it is not queued. */
    withdraw(waiting: WaitingTicket): boolean {
        this.runs.delete(waiting);
        return this.order.remove(waiting);
    }

    filter(): RunFunction[] {
        return [...this.runs.values()];
    }

    /** Does nothing: only the order policy determines the order. */
    setPriority(): void {}
}
