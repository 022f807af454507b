import { Clock } from "../../ports/index.js";
import { PoolMembers } from "../../upstream/index.js";
import { AdmissionPolicy } from "../admission/index.js";
import { OrderPolicy } from "../order/index.js";
import { PoolOutlook } from "../outlook/index.js";
import { Preempter } from "../preempter/index.js";
import { Refusal, RefusalReason } from "../ticket/index.js";
import { WaitingTicket } from "../waiting/index.js";

/** What admission to one pool rests on. */
export interface AdmissionControlOptions {
    readonly clock: Clock;
    readonly members: PoolMembers;
    readonly order: OrderPolicy;
    readonly outlook: PoolOutlook;
    readonly policy: AdmissionPolicy;
    readonly preempter: Preempter;
    /** Monotonic time since when upstreams could have been heard of, in milliseconds. */
    readonly startedAt: number;
}

/** A pool without upstreams lets requests wait for this long, since upstreams announce twice a second. */
const EMPTY_GRACE_MS = 2_000;
/** How soon a preempted request gives its slot, in milliseconds. */
const PREEMPTION_MS = 50;
const RETRY_LEAST_MS = 100;
const RETRY_MOST_MS = 60_000;

/** Judges new and waiting tickets of one pool. */
export class AdmissionControl {
    private lastUsableAt: number;

    constructor(private readonly options: AdmissionControlOptions) {
        this.lastUsableAt = options.startedAt;
    }

    /** Takes note that upstreams may have come or gone. */
    noteMembers(): void {
        if (this.options.members.usableSlots > 0) this.lastUsableAt = this.options.clock.monotonic();
    }

    /** Why a new ticket is refused; undefined when it may wait. */
    judgeNew(waiting: WaitingTicket): Refusal | undefined {
        const { members, clock } = this.options;
        if (members.usableSlots > 0) return this.judgeWait(waiting, this.predictWait(waiting), "over-capacity");
        if (clock.monotonic() - this.lastUsableAt < EMPTY_GRACE_MS) return undefined;
        return makeRefusal(waiting, "no-upstream", EMPTY_GRACE_MS, "no upstream of the pool is ready");
    }

    /** Why a ticket is refused that would wait for so many milliseconds from now on; undefined when it may. */
    judgeWait(waiting: WaitingTicket, waitMs: number, reason: RefusalReason): Refusal | undefined {
        const { policy, outlook, clock } = this.options;
        const context = { now: clock.monotonic(), waitMs, firstTokenMs: outlook.firstTokenMs };
        const lateMs = policy.expectedLatenessMs(waiting, context);
        if (lateMs <= 0) return undefined;
        return makeRefusal(waiting, reason, lateMs, `predicted wait ${Math.round(waitMs)} ms`);
    }

    private predictWait(waiting: WaitingTicket): number {
        const { members, clock, order, outlook, preempter } = this.options;
        const costAhead = order.costAhead(waiting);
        if (members.freeSlots > 0 && costAhead === 0) return 0;
        if (preempter.canServe(waiting, costAhead)) return PREEMPTION_MS;
        const slots = members.usableSlots;
        const { tier } = waiting.ticket;
        return outlook.releaseMs(slots) + outlook.predictWaitMs(tier, costAhead, slots, clock.monotonic());
    }
}

/**
 * Makes a refusal with a time to come back.
 *
 * @param retryMs - When the pool will probably have room, in milliseconds; kept within bounds.
 */
export function makeRefusal(waiting: WaitingTicket, reason: RefusalReason, retryMs: number, detail: string): Refusal {
    const retryAfterMs = Math.round(Math.min(RETRY_MOST_MS, Math.max(RETRY_LEAST_MS, retryMs)));
    return { request: waiting.ticket.request, reason, retryAfterMs, detail };
}
