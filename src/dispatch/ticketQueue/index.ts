import type { Queue, QueueAddOptions } from "p-queue";
import { OrderContext, OrderPolicy } from "../order/index.js";
import { WaitingTicket } from "../waiting/index.js";

type RunFunction = () => Promise<unknown>;

/** What p-queue hands over with a task. */
export interface TicketQueueOptions extends QueueAddOptions {
    readonly waiting: WaitingTicket;
}

/** Lets p-queue run tickets in the order that an `OrderPolicy` says. */
export class TicketQueue implements Queue<RunFunction, TicketQueueOptions> {
    private readonly runs = new Map<WaitingTicket, RunFunction>();

    /**
     * @param order - The pool's order.
     * @param readContext - The pool's state, read when a slot comes free.
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

    /** Takes a ticket out that will not be granted. */
    withdraw(waiting: WaitingTicket): boolean {
        this.runs.delete(waiting);
        return this.order.remove(waiting);
    }

    filter(): RunFunction[] {
        return [...this.runs.values()];
    }

    /** The order policy alone decides. */
    setPriority(): void {}
}
