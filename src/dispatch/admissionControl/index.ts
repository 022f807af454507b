import { Clock } from "../../ports/index.js";
import { PoolMembers } from "../../upstream/index.js";
import { AdmissionPolicy } from "../admissionPolicy/index.js";
import { OrderPolicy } from "../order/index.js";
import { PoolForecast } from "../poolForecast/index.js";
import { Preempter } from "../preempter/index.js";
import { Refusal, RefusalReason } from "../ticket/index.js";
import { WaitingTicket } from "../waitingTicket/index.js";

/** Options of `AdmissionControl`. */
export interface AdmissionControlOptions {
    readonly clock: Clock;
    readonly members: PoolMembers;
    readonly order: OrderPolicy;
    readonly forecast: PoolForecast;
    readonly policy: AdmissionPolicy;
    readonly preempter: Preempter;
    /** Monotonic time from which upstreams could be discovered, in milliseconds. */
    readonly startedAt: number;
}

/** Maximum wait in a pool without upstreams, in milliseconds; upstreams announce twice a second. */
const EMPTY_POOL_GRACE_MS = 2_000;
/** Time after a takeover in which waits are not predicted, in milliseconds. */
const TAKEOVER_SETTLE_MS = 600;
/** Time for a preempted request to free its slot, in milliseconds. */
const PREEMPTION_WAIT_MS = 50;
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 60_000;

/** Decides whether new tickets of one pool may wait, and whether waiting ones may keep waiting. */
export class AdmissionControl {
    private lastReadyAt: number;
    /** Monotonic time from which waits are predicted, in milliseconds. */
    private predictsFrom = 0;

    constructor(private readonly options: AdmissionControlOptions) {
        this.lastReadyAt = options.startedAt;
    }

    /** Updates the time at which the pool last had a ready upstream. Called when its members may have changed. */
    recordMembers(): void {
        if (this.options.members.hasReady()) this.lastReadyAt = this.options.clock.monotonic();
    }

    /**
     * Suspends wait predictions after this process has taken over the queue from another owner.
     *
     * Prevents refusals without reason: until every entry has reported its running requests, full upstreams seem to be
     * occupied permanently by others, and the predicted wait is many times too long. An entry reports within 200 ms of
     * learning the new owner.
     */
    recordTakeover(): void {
        this.predictsFrom = Math.max(this.predictsFrom, this.options.clock.monotonic() + TAKEOVER_SETTLE_MS);
    }

    /** Whether this process started too recently to have discovered all upstreams. */
    mayUpstreamsBeUnknown(): boolean {
        const { clock, startedAt } = this.options;
        return clock.monotonic() - startedAt < EMPTY_POOL_GRACE_MS;
    }

    /** Returns the refusal of a new ticket; undefined when it may wait. */
    checkNew(waiting: WaitingTicket): Refusal | undefined {
        const { members, clock } = this.options;
        if (members.usableSlots > 0) return this.checkWait(waiting, this.predictWait(waiting), "over-capacity");
        // A new owner has discovered the upstreams but does not yet count their load as its own: they are full, not
        // gone.
        if (members.hasReady()) return undefined;
        if (clock.monotonic() - this.lastReadyAt < EMPTY_POOL_GRACE_MS) return undefined;
        return makeRefusal(waiting, "no-upstream", EMPTY_POOL_GRACE_MS, "no upstream of the pool is ready");
    }

    /**
     * Returns the refusal of a ticket with a predicted wait; undefined when it may keep waiting.
     *
     * @param waitMs - The predicted wait from now on, in milliseconds.
     * @param reason - The reason given with a refusal.
     */
    checkWait(waiting: WaitingTicket, waitMs: number, reason: RefusalReason): Refusal | undefined {
        const { policy, forecast, clock } = this.options;
        if (clock.monotonic() < this.predictsFrom) return undefined;
        const context = { now: clock.monotonic(), waitMs, firstTokenMs: forecast.firstTokenP90Ms };
        const lateMs = policy.expectedLatenessMs(waiting, context);
        if (lateMs <= 0) return undefined;
        return makeRefusal(waiting, reason, lateMs, `predicted wait ${Math.round(waitMs)} ms`);
    }

    /**
     * Returns the refusal of a ticket that no upstream accepts for some time; undefined when it may wait for that long.
     *
     * @param delayMs - Time until an upstream accepts it, in milliseconds; 0 when it waits only for a slot.
     * @param detail - Explanation for `sequoiamux explain`.
     */
    checkDelay(waiting: WaitingTicket, delayMs: number, detail: string): Refusal | undefined {
        const { policy, forecast, clock } = this.options;
        const now = clock.monotonic() + delayMs;
        const lateMs = policy.expectedLatenessMs(waiting, { now, waitMs: 0, firstTokenMs: forecast.firstTokenP90Ms });
        if (lateMs <= 0 && now < waiting.expiresAt) return undefined;
        return makeRefusal(waiting, "over-capacity", delayMs, detail);
    }

    private predictWait(waiting: WaitingTicket): number {
        const { members, clock, order, forecast, preempter } = this.options;
        const costAhead = order.costAhead(waiting);
        if (members.freeSlots > 0 && costAhead === 0) return 0;
        if (preempter.canPreemptFor(waiting, costAhead)) return PREEMPTION_WAIT_MS;
        const slots = members.usableSlots;
        const { tier } = waiting.ticket;
        return forecast.slotReleaseMs(slots) + forecast.predictWaitMs(tier, costAhead, slots, clock.monotonic());
    }
}

/**
 * Creates a refusal with a retry delay.
 *
 * @param retryMs - Predicted time until the pool has room, in milliseconds; limited to the allowed range.
 */
export function makeRefusal(waiting: WaitingTicket, reason: RefusalReason, retryMs: number, detail: string): Refusal {
    const retryAfterMs = Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, retryMs)));
    return { request: waiting.ticket.request, reason, retryAfterMs, detail };
}
