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
/** How long after a takeover waits are not predicted. */
const SETTLE_MS = 600;
/** How soon a preempted request gives its slot, in milliseconds. */
const PREEMPTION_MS = 50;
const RETRY_LEAST_MS = 100;
const RETRY_MOST_MS = 60_000;

/** Judges new and waiting tickets of one pool. */
export class AdmissionControl {
    private lastUsableAt: number;
    /** Monotonic time until when waits are not predicted, in milliseconds. */
    private settledAt = 0;

    constructor(private readonly options: AdmissionControlOptions) {
        this.lastUsableAt = options.startedAt;
    }

    /** Takes note that upstreams may have come or gone. */
    noteMembers(): void {
        if (this.options.members.hasReady()) this.lastUsableAt = this.options.clock.monotonic();
    }

    /**
     * Takes note that the queue takes over from an owner before.
     *
     * Guards against requests refused for nothing: until every entry has told what of its own runs, full engines seem to be
     * others' for good, and the wait is predicted many times too long. An entry tells within 200 ms of learning who owns
     * the queue.
     */
    noteTakeover(): void {
        this.settledAt = Math.max(this.settledAt, this.options.clock.monotonic() + SETTLE_MS);
    }

    /** Why a new ticket is refused; undefined when it may wait. */
    judgeNew(waiting: WaitingTicket): Refusal | undefined {
        const { members, clock } = this.options;
        if (members.usableSlots > 0) return this.judgeWait(waiting, this.predictWait(waiting), "over-capacity");
        // A new owner has heard of the upstreams, but not yet that their load is its own: they are full, not gone.
        if (members.hasReady()) return undefined;
        if (clock.monotonic() - this.lastUsableAt < EMPTY_GRACE_MS) return undefined;
        return makeRefusal(waiting, "no-upstream", EMPTY_GRACE_MS, "no upstream of the pool is ready");
    }

    /** Why a ticket is refused that would wait for so many milliseconds from now on; undefined when it may. */
    judgeWait(waiting: WaitingTicket, waitMs: number, reason: RefusalReason): Refusal | undefined {
        const { policy, outlook, clock } = this.options;
        if (clock.monotonic() < this.settledAt) return undefined;
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
