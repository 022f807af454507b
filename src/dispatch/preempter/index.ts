import { RequestId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";
import { PoolMembers, UpstreamLoad } from "../../upstream/index.js";
import { DispatchObserver } from "../observer/index.js";
import { PoolOutlook } from "../outlook/index.js";
import { PreemptionPolicy } from "../preemption/index.js";
import { RunningSet } from "../running/index.js";
import { WaitingTicket } from "../waiting/index.js";

/** What a preempter works with. */
export interface PreempterOptions {
    readonly clock: Clock;
    readonly policy: PreemptionPolicy;
    readonly running: RunningSet;
    readonly outlook: PoolOutlook;
    readonly members: PoolMembers;
    readonly observer: DispatchObserver;
    readonly preempt: (request: RequestId) => void;
}

/** Waiting tickets looked at in one tick. */
const MOST_AT_RISK = 64;

/** Asks running requests of one pool to give their place or to go on elsewhere. */
export class Preempter {
    constructor(private readonly options: PreempterOptions) {}

    /** Whether enough lower work could give its place to a ticket and to those before it. */
    canServe(waiting: WaitingTicket, costAhead: number): boolean {
        const { policy, running } = this.options;
        if (!policy.isEnabled || this.isInVain(waiting)) return false;
        const needed = this.ticketsIn(costAhead) + 1 - running.pendingPreemptions;
        return running.countPreemptible(waiting.ticket.tier) >= Math.max(1, needed);
    }

    /** Preempts for a new ticket when it would else miss its target. */
    consider(waiting: WaitingTicket, costAhead: number): void {
        this.preemptFor(waiting, this.ticketsIn(costAhead));
    }

    /** Preempts for those of the waiting tickets that would else miss their targets. */
    considerAll(highestTierFirst: Iterable<WaitingTicket>): void {
        let ahead = 0;
        for (const waiting of highestTierFirst) {
            if (ahead >= MOST_AT_RISK || this.options.running.countPreemptible(waiting.ticket.tier) === 0) return;
            this.preemptFor(waiting, ahead++);
        }
    }

    /** Lets what runs on a straggler go on elsewhere, the highest tier first, as far as there is room. */
    moveAway(load: UpstreamLoad, room: number): void {
        let left = room;
        for (const running of this.options.running.movable()) {
            if (left <= 0) return;
            if (running.load !== load) continue;
            left--;
            this.options.running.markMoving(running);
            this.options.preempt(running.waiting.ticket.request);
        }
    }

    private preemptFor(waiting: WaitingTicket, ahead: number): void {
        const { policy, running, outlook, members, clock } = this.options;
        const { tier } = waiting.ticket;
        // Places that are about to come free are for those ahead first; only beyond these another one is needed.
        const isCovered = running.pendingPreemptions > ahead;
        if (!policy.isEnabled || isCovered || running.countPreemptible(tier) === 0) return;
        if (this.isInVain(waiting)) return;
        const waitMs = (ahead + 1) * outlook.releaseMs(members.usableSlots);
        const context = { now: clock.monotonic(), waitMs, firstTokenMs: outlook.firstTokenMs };
        const victim = policy.pickVictim(waiting, running, context);
        if (!victim) return;
        running.markPreempted(victim);
        this.options.observer.preempted(victim.waiting, waiting);
        this.options.preempt(victim.waiting.ticket.request);
    }

    /**
     * While a tier overloads the pool by itself, some of it is refused whatever gives its place. A preempted answer would
     * then wait behind that tier until its bound and be lost in its middle: one answer gained, one and a half lost. The top
     * tier is served whatever it costs below.
     */
    private isInVain(waiting: WaitingTicket): boolean {
        const { outlook, members, clock } = this.options;
        if (waiting.ticket.tier === 0) return false;
        return outlook.isOverloaded(waiting.ticket.tier, members.usableSlots, clock.monotonic());
    }

    private ticketsIn(cost: number): number {
        return cost / this.options.outlook.meanCost;
    }
}
