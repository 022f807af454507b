import { DispatchObserver, Grant, Refusal, WaitingTicket } from "../../../dispatch/index.js";
import { RequestId } from "../../../ids/index.js";

/** Counts of decisions that violate the order of tiers, none of which may happen. */
export interface InversionTally {
    /** Tickets that a lower tier overtook and that were then refused. */
    passedOver: number;
    /** Requests preempted in favor of the same tier or a lower one. */
    preempted: number;
}

/**
 * Counts priority inversions in dispatch decisions: tickets that waited while a lower tier got a slot and were then
 * refused, and preemptions in favor of the same or a lower tier. A grant to a lower tier is no inversion when
 * the higher tier had slack and is granted in time afterwards.
 */
export class InversionCounter extends DispatchObserver {
    readonly tally: InversionTally = { passedOver: 0, preempted: 0 };
    preemptions = 0;
    ejections = 0;
    private readonly waiting = new Map<RequestId, WaitingTicket>();
    private readonly passedOver = new Set<RequestId>();

    override queued(waiting: WaitingTicket): void {
        this.waiting.set(waiting.ticket.request, waiting);
    }

    override granted(granted: WaitingTicket, _grant: Grant): void {
        this.forget(granted);
        for (const waiting of this.waiting.values()) {
            if (waiting.ticket.pool !== granted.ticket.pool || waiting.ticket.tier >= granted.ticket.tier) continue;
            this.passedOver.add(waiting.ticket.request);
        }
    }

    override refused(waiting: WaitingTicket, refusal: Refusal): void {
        const wasPassedOver = this.passedOver.has(waiting.ticket.request);
        if (wasPassedOver && refusal.reason !== "cancelled" && refusal.reason !== "draining") this.tally.passedOver++;
        this.forget(waiting);
    }

    override preempted(victim: WaitingTicket, beneficiary: WaitingTicket): void {
        this.preemptions++;
        if (victim.ticket.tier <= beneficiary.ticket.tier) this.tally.preempted++;
    }

    override ejected(): void {
        this.ejections++;
    }

    private forget(waiting: WaitingTicket): void {
        this.waiting.delete(waiting.ticket.request);
        this.passedOver.delete(waiting.ticket.request);
    }
}
