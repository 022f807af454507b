import { Either } from "purify-ts";
import { Grant, Refusal } from "../ticket/index.js";
import { WaitingTicket } from "../waiting/index.js";

interface Waiter {
    readonly settle: (decision: Either<Refusal, Grant>) => void;
    readonly stopListening: () => void;
}

/** Whoever waits for the decision on a ticket: each hears of it once, and is let go when its caller leaves. */
export class Waiters {
    private readonly waiters = new Map<WaitingTicket, Waiter>();

    get size(): number {
        return this.waiters.size;
    }

    /** The tickets that wait, in no order; a list of its own, so that it may change meanwhile. */
    list(): WaitingTicket[] {
        return [...this.waiters.keys()];
    }

    has(waiting: WaitingTicket): boolean {
        return this.waiters.has(waiting);
    }

    /** @param onAbort - Told when the caller leaves while the ticket waits. */
    add(
        waiting: WaitingTicket,
        settle: (decision: Either<Refusal, Grant>) => void,
        signal: AbortSignal,
        onAbort: () => void,
    ): void {
        signal.addEventListener("abort", onAbort, { once: true });
        const stopListening = (): void => signal.removeEventListener("abort", onAbort);
        this.waiters.set(waiting, { settle, stopListening });
    }

    /** Tells the decision to whoever waits for it. False when nobody does any more. */
    settle(waiting: WaitingTicket, decision: Either<Refusal, Grant>): boolean {
        const waiter = this.waiters.get(waiting);
        if (!waiter) return false;
        this.waiters.delete(waiting);
        waiter.stopListening();
        waiter.settle(decision);
        return true;
    }
}
