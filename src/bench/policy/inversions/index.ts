import { DispatchObserver, Grant, Refusal, WaitingTicket } from "../../../dispatch/index.js";
import { RequestId } from "../../../ids/index.js";

/** What must never happen between tiers, counted. */
export interface InversionTally {
    /** Passed over for a lower tier and refused in the end. */
    passedOver: number;
    /** Preempted for the same tier or a lower one. */
    preempted: number;
}

/**
 * Watches the decisions of one queue owner for inversions: a ticket that waited while a lower tier got a slot, and was
 * then refused, has paid for the lower one. A grant out of slack, after which the higher one is granted in time, is
 * none.
 */
export class InversionWatch extends DispatchObserver {
    readonly tally: InversionTally = { passedOver: 0, preempted: 0 };
    preemptions = 0;
    ejections = 0;
    private readonly waiting = new Map<RequestId, WaitingTicket>();
    private readonly passedOver = new Set<RequestId>();

    override queued(waiting: WaitingTicket): void {
        this.waiting.set(waiting.ticket.request, waiting);
    }

    override granted(granted: WaitingTicket, _grant: Grant): void {
        this.settle(granted);
        for (const waiting of this.waiting.values()) {
            if (waiting.ticket.pool !== granted.ticket.pool || waiting.ticket.tier >= granted.ticket.tier) continue;
            this.passedOver.add(waiting.ticket.request);
        }
    }

    override refused(waiting: WaitingTicket, refusal: Refusal): void {
        const hasPaid = this.passedOver.has(waiting.ticket.request);
        if (hasPaid && refusal.reason !== "cancelled" && refusal.reason !== "draining") this.tally.passedOver++;
        this.settle(waiting);
    }

    override preempted(victim: WaitingTicket, beneficiary: WaitingTicket): void {
        this.preemptions++;
        if (victim.ticket.tier <= beneficiary.ticket.tier) this.tally.preempted++;
    }

    override ejected(): void {
        this.ejections++;
    }

    private settle(waiting: WaitingTicket): void {
        this.waiting.delete(waiting.ticket.request);
        this.passedOver.delete(waiting.ticket.request);
    }
}
