import { RequestId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";
import { PoolMembers, UpstreamLoad } from "../../upstream/index.js";
import { DispatchObserver } from "../dispatchObserver/index.js";
import { PoolForecast } from "../poolForecast/index.js";
import { PreemptionPolicy } from "../preemptionPolicy/index.js";
import { RunningRequest, RunningSet } from "../runningSet/index.js";
import { WaitingTicket } from "../waitingTicket/index.js";

/** Options of `Preempter`. */
export interface PreempterOptions {
    readonly clock: Clock;
    readonly policy: PreemptionPolicy;
    readonly running: RunningSet;
    readonly forecast: PoolForecast;
    readonly members: PoolMembers;
    readonly observer: DispatchObserver;
    /** Asks the sender of a running request to cancel it and to submit it again. */
    readonly preempt: (request: RequestId) => void;
}

/** Number of waiting tickets considered for preemption in one tick. */
const MAX_EXAMINED = 64;

/** Asks running requests of one pool to give up their slot to a higher tier, or to move off a straggler. */
export class Preempter {
    constructor(private readonly options: PreempterOptions) {}

    /**
     * Whether enough requests of lower tiers can be preempted for a ticket and for those ahead of it.
     *
     * @param costAhead - The predicted cost queued ahead of the ticket, in tokens.
     */
    canPreemptFor(waiting: WaitingTicket, costAhead: number): boolean {
        const { policy, running } = this.options;
        if (!policy.isEnabled || this.isFutile(waiting)) return false;
        const needed = this.toTicketCount(costAhead) + 1 - running.pendingPreemptions;
        return running.countPreemptible(waiting.ticket.tier) >= Math.max(1, needed);
    }

    /**
     * Preempts a request when a new ticket would otherwise miss its target.
     *
     * @param costAhead - The predicted cost queued ahead of the ticket, in tokens.
     */
    preemptForNew(waiting: WaitingTicket, costAhead: number): void {
        this.preemptFor(waiting, this.toTicketCount(costAhead));
    }

    /** Preempts requests for the waiting tickets that would otherwise miss their targets. */
    preemptForWaiting(highestTierFirst: Iterable<WaitingTicket>): void {
        let ahead = 0;
        for (const waiting of highestTierFirst) {
            if (ahead >= MAX_EXAMINED || this.options.running.countPreemptible(waiting.ticket.tier) === 0) return;
            this.preemptFor(waiting, ahead++);
        }
    }

    /**
     * Moves requests from a straggler to other upstreams, the highest tier first.
     *
     * @param load - The straggler.
     * @param room - Maximum number of requests to move.
     */
    moveOffStraggler(load: UpstreamLoad, room: number): void {
        let remaining = room;
        for (const running of this.options.running.listMovable()) {
            if (remaining <= 0) return;
            if (running.load !== load || !this.canContinueElsewhere(running)) continue;
            remaining--;
            this.options.running.markMoving(running);
            this.options.preempt(running.waiting.ticket.request);
        }
    }

    /** Whether an upstream of the software that began the answer has a free slot; any will do for one that has not begun. */
    private canContinueElsewhere({ load, tokens, waiting: { ticket } }: RunningRequest): boolean {
        if (tokens === 0 && ticket.software === undefined) return true;
        const { software } = load.upstream;
        return this.options.members.hasFree(other => other !== load && other.upstream.software === software);
    }

    private preemptFor(waiting: WaitingTicket, ticketsAhead: number): void {
        const { policy, running, forecast, members, clock } = this.options;
        const { tier } = waiting.ticket;
        // Slots of requests already asked to stop go to the tickets ahead first; another one is only needed beyond
        // these.
        const isCovered = running.pendingPreemptions > ticketsAhead;
        if (!policy.isEnabled || isCovered || running.countPreemptible(tier) === 0) return;
        if (this.isFutile(waiting)) return;
        const waitMs = (ticketsAhead + 1) * forecast.slotReleaseMs(members.usableSlots);
        const context = { now: clock.monotonic(), waitMs, firstTokenMs: forecast.firstTokenP90Ms };
        const victim = policy.pickVictim(waiting, running, context);
        if (!victim) return;
        running.markPreempted(victim);
        this.options.observer.preempted(victim.waiting, waiting);
        this.options.preempt(victim.waiting.ticket.request);
    }

    /**
     * Whether a preemption would not increase the number of answers. While a tier and those above it overload the pool,
     * part of that tier is refused whatever is preempted. A preempted answer would then wait behind that tier until its
     * wait limit and be lost halfway: one answer gained for one and a half lost. The top tier is served at any cost to
     * lower ones.
     */
    private isFutile(waiting: WaitingTicket): boolean {
        const { forecast, members, clock } = this.options;
        if (waiting.ticket.tier === 0) return false;
        return forecast.isOverloaded(waiting.ticket.tier, members.usableSlots, clock.monotonic());
    }

    private toTicketCount(cost: number): number {
        return cost / this.options.forecast.meanCost;
    }
}
