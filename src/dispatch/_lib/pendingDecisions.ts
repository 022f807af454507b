import { Either } from "purify-ts";
import { Grant, Refusal } from "../ticket/index.js";
import { WaitingTicket } from "../waitingTicket/index.js";

interface PendingDecision {
    readonly settle: (decision: Either<Refusal, Grant>) => void;
    readonly removeAbortListener: () => void;
}

/** The submitted tickets whose decision is pending. Each is settled once, and its abort listener is then removed. */
export class PendingDecisions {
    private readonly pending = new Map<WaitingTicket, PendingDecision>();

    get size(): number {
        return this.pending.size;
    }

    /**
     * Returns a copy of the pending tickets in no particular order, so that callers may settle them while iterating.
     */
    listTickets(): WaitingTicket[] {
        return [...this.pending.keys()];
    }

    has(waiting: WaitingTicket): boolean {
        return this.pending.has(waiting);
    }

    /**
     * @param settle - Called with the decision.
     * @param onAbort - Called when the caller disconnects while the ticket is pending.
     */
    add(
        waiting: WaitingTicket,
        settle: (decision: Either<Refusal, Grant>) => void,
        signal: AbortSignal,
        onAbort: () => void,
    ): void {
        signal.addEventListener("abort", onAbort, { once: true });
        const removeAbortListener = (): void => signal.removeEventListener("abort", onAbort);
        this.pending.set(waiting, { settle, removeAbortListener });
    }

    /** Settles a ticket with its decision; false when it is no longer pending. */
    settle(waiting: WaitingTicket, decision: Either<Refusal, Grant>): boolean {
        const entry = this.pending.get(waiting);
        if (!entry) return false;
        this.pending.delete(waiting);
        entry.removeAbortListener();
        entry.settle(decision);
        return true;
    }
}
