import PQueue from "p-queue";
import { Either, Left, Right } from "purify-ts";
import { HostId, RequestId, UpstreamId } from "../../ids/index.js";
import {
    BackOff,
    Choice,
    PromptPart,
    SelectionPolicy,
    StragglerPolicy,
    Upstream,
    UpstreamLoad,
} from "../../upstream/index.js";
import { makeGrant } from "../_lib/makeGrant.js";
import { PendingDecisions } from "../_lib/pendingDecisions.js";
import { AdmissionControl, makeRefusal } from "../admissionControl/index.js";
import { forecastWaits } from "../forecastWaits/index.js";
import { HeldTickets } from "../heldTickets/index.js";
import { HostBackOffs } from "../hostBackOffs/index.js";
import { OrderContext, OrderPolicy } from "../order/index.js";
import { OtherOwners, QueueState } from "../otherOwners/index.js";
import { PoolForecast } from "../poolForecast/index.js";
import { PoolQueueOptions } from "../poolQueueOptions/index.js";
import { Preempter } from "../preempter/index.js";
import { recordTokens, RunningRequest, RunningSet } from "../runningSet/index.js";
import { Completion, Grant, Refusal, Ticket } from "../ticket/index.js";
import { TicketQueue, TicketQueueOptions } from "../ticketQueue/index.js";
import { UpstreamPicker } from "../upstreamPicker/index.js";
import { costInTokens, makeWaitingTicket, WaitingTicket } from "../waitingTicket/index.js";

/** The slots of a pool, as the owner of its queue counts them. */
export interface SlotUse {
    /** Grants that have not ended, by the host of their requests. */
    readonly granted: ReadonlyMap<HostId, number>;
    /** Time since the oldest of them, in milliseconds; 0 where there is none. */
    readonly oldestMs: number;
    /** Tickets that wait. */
    readonly waiting: number;
    /** Upstreams by what keeps them from getting a request; `free` where nothing does. */
    readonly upstreams: ReadonlyMap<string, number>;
}

/** Whether an outcome counts as a failure of the upstream; undefined when it says nothing about it. */
const OUTCOME_IS_FAILURE: Readonly<Record<Completion["outcome"], boolean | undefined>> = {
    answered: false,
    failed: true,
    errored: true,
    refused: undefined,
    cancelled: undefined,
    unused: undefined,
};

/** Time in which the end of a request reaches the owner of its queue, in milliseconds. */
const END_REPORT_MS = 2_000;
/** Ticks between two reviews of the pool's upstreams for stragglers. */
const STRAGGLER_REVIEW_TICKS = 4;
/**
 * With more waiting tickets than `LONG_QUEUE_TICKETS`, they are reviewed only at every this many ticks: a review of a
 * long queue costs more, and its long waits need it less often.
 */
const LONG_QUEUE_REVIEW_TICKS = 4;
const LONG_QUEUE_TICKETS = 256;

/**
 * The queue of one pool. p-queue runs one task for each granted request, from the grant to its completion. Its
 * concurrency is the number of running requests plus the free slots of the upstreams; its queue class determines the
 * order.
 */
export class PoolQueue {
    private readonly order: OrderPolicy;
    private readonly admission: AdmissionControl;
    private readonly preempter: Preempter;
    private readonly stragglers: StragglerPolicy;
    private readonly choice: SelectionPolicy;
    private readonly picker: UpstreamPicker;
    private readonly tickets: TicketQueue;
    private readonly queue: PQueue<TicketQueue, TicketQueueOptions>;
    private readonly decisions = new PendingDecisions();
    private readonly held: HeldTickets;
    /** Tickets of streams that certain software must continue. */
    private readonly bound: HeldTickets;
    private readonly backOffs = new HostBackOffs();
    private readonly otherOwners = new OtherOwners();
    private readonly running = new RunningSet();
    private readonly forecast = new PoolForecast();
    private grantedSlots = 0;
    /** Tier from which on tickets wait, though slots are free, since these are left to more urgent requests; undefined: none. */
    private blockedTier: number | undefined;
    private ticks = 0;

    constructor(private readonly options: PoolQueueOptions) {
        const { policies, random, prefixes } = options;
        this.order = policies.createOrder();
        this.preempter = new Preempter({
            ...options,
            policy: policies.createPreemption(),
            running: this.running,
            forecast: this.forecast,
        });
        this.stragglers = policies.createStragglers();
        this.admission = new AdmissionControl({
            ...options,
            policy: policies.createAdmission(),
            order: this.order,
            forecast: this.forecast,
            preempter: this.preempter,
        });
        const { pool, capacityOf } = options;
        this.choice = policies.createChoice({ random, prefixes, capacity: () => capacityOf?.(pool) });
        this.picker = new UpstreamPicker({ ...options, choice: this.choice, backOffs: this.backOffs });
        const { picker, admission } = this;
        this.held = new HeldTickets({ ...options, picker, admission });
        this.bound = new HeldTickets({ ...options, picker, admission });
        const tickets = new TicketQueue(this.order, () => this.readOrderContext());
        this.tickets = tickets;
        // p-queue constructs its queue itself, without arguments.
        const queueClass = function(): TicketQueue {
            return tickets;
        } as unknown as new() => TicketQueue;
        options.members.setServiceTime(() => this.forecast.meanServiceMs);
        this.queue = new PQueue<TicketQueue, TicketQueueOptions>({ queueClass, autoStart: false });
        this.updateConcurrency();
    }

    /** Whether nothing waits and nothing runs. */
    get isIdle(): boolean {
        return this.decisions.size === 0 && this.running.size === 0;
    }

    /** Returns the waiting tickets in no particular order. */
    listWaiting(): WaitingTicket[] {
        return this.decisions.listTickets();
    }

    /** Returns the waiting tickets that more upstreams would serve. */
    listUnserved(): WaitingTicket[] {
        return this.decisions.listTickets().filter(waiting => !this.held.has(waiting) && !this.bound.has(waiting));
    }

    /** Whether a granted request has not been completed. */
    isRunning(request: RequestId): boolean {
        return this.running.get(request) !== undefined;
    }

    /** Returns the tickets of the running requests in no particular order. */
    listRunning(): WaitingTicket[] {
        return [...this.running.values()].map(({ waiting }) => waiting);
    }

    get waitingCount(): number {
        return this.decisions.size;
    }

    get runningCount(): number {
        return this.running.size;
    }

    /** Implements `Dispatcher.submit` for this pool. */
    submit(ticket: Ticket, signal: AbortSignal): Promise<Either<Refusal, Grant>> {
        const now = this.options.clock.monotonic();
        this.applySignals(ticket);
        const remainingTokens = Math.max(1, ticket.maxTokens - ticket.resumeOffset);
        const waiting = makeWaitingTicket(ticket, now, this.options.lengths.predictMean(ticket, remainingTokens));
        this.forecast.recordArrival(waiting, now);
        this.options.observer.queued(waiting);
        const refusal = this.checkSubmitted(waiting, signal);
        if (refusal) {
            this.options.observer.refused(waiting, refusal);
            return Promise.resolve(Left(this.withLimits(refusal)));
        }
        return new Promise(resolve => {
            const onAbort = (): void =>
                this.refuseWaiting(waiting, makeRefusal(waiting, "cancelled", 0, "the caller has gone"));
            this.decisions.add(waiting, resolve, signal, onAbort);
            if (isBound(waiting)) {
                this.grantOrHoldBound(waiting);
                return this.updateConcurrency();
            }
            this.enqueue(waiting);
            if (this.blockedTier !== undefined) this.updateConcurrency();
            if (!this.decisions.has(waiting) || this.held.has(waiting)) return;
            this.preempter.preemptForNew(waiting, this.order.costAhead(waiting));
        });
    }

    /**
     * Implements `Dispatcher.complete` for this pool.
     *
     * @returns Whether it ended a grant: a late completion of an earlier attempt at another upstream ends none.
     */
    complete(completion: Completion): boolean {
        const now = this.options.clock.monotonic();
        const running = this.running.get(completion.request);
        if (!running || running.load.upstream.id !== completion.upstream) return false;
        this.running.remove(running);
        this.choice.ended(completion.request, OUTCOME_IS_FAILURE[completion.outcome], now, completion.longestGapMs);
        running.load.markEnded(now);
        const { origin } = running.waiting.ticket;
        const isAccepted = completion.outcome === "answered" && running.tokens === 0;
        if (isAccepted) this.backOffs.recordAcceptance(origin, completion.upstream, now);
        this.backOffs.recordEnd(origin, completion.upstream, now);
        this.recordCompletion(running, completion, now);
        this.options.members.refresh(running.load);
        running.release();
        if (!this.choice.isReserved(completion.upstream)) this.blockedTier = undefined;
        this.updateConcurrency();
        return true;
    }

    /** Implements `Dispatcher.progress` for this pool. */
    progress(request: RequestId, tokens: number): void {
        const running = this.running.get(request);
        if (!running) return;
        const now = this.options.clock.monotonic();
        const { waiting: { ticket }, load: { upstream } } = running;
        if (running.tokens === 0) this.backOffs.recordAcceptance(ticket.origin, upstream.id, now);
        this.choice.progressed(request, running.tokens === 0, now);
        const tokenMs = recordTokens(running, tokens, now);
        if (tokenMs !== undefined) running.load.recordTokenMs(tokenMs);
    }

    /**
     * Counts a request that runs by a grant of another owner, so that a new owner of the queue does not use its slot
     * again.
     *
     * @param runningMs - Time since it was granted, in milliseconds.
     * @param previousOwner - The owner that counted it until now, where that is another host.
     */
    adopt(ticket: Ticket, grant: Grant, runningMs: number, previousOwner?: HostId): void {
        const load = this.options.members.get(grant.upstream);
        if (!load || this.running.get(ticket.request)) return;
        const now = this.options.clock.monotonic();
        if (previousOwner !== undefined) this.otherOwners.takeOver(previousOwner, grant.upstream);
        this.updateOthersUse(load, now);
        this.admission.recordTakeover();
        load.adopt(now - runningMs);
        this.applySignals(ticket);
        const waiting = makeWaitingTicket(ticket, now, this.options.lengths.predictMean(ticket, ticket.maxTokens));
        this.choice.adopted(load, this.picker.toChoiceRequest(waiting, now), runningMs);
        const grantedAt = now - runningMs;
        this.running.add({ waiting, load, grantedAt, tokens: 0, isPreempted: false, release: () => undefined });
        this.options.members.refresh(load);
        this.updateConcurrency();
    }

    /**
     * Ends all requests of a lost entry. It will never complete its grants: their slots would stay occupied, and the
     * pool's capacity would shrink with each failed host.
     *
     * @returns The running requests that were ended.
     */
    forgetEntry(host: HostId): readonly RequestId[] {
        this.backOffs.forgetHost(host);
        for (const waiting of this.decisions.listTickets()) {
            if (waiting.ticket.origin === host) {
                this.refuseWaiting(waiting, makeRefusal(waiting, "cancelled", 0, "the entry is lost"));
            }
        }
        const lost = [...this.running.values()].filter(({ waiting }) => waiting.ticket.origin === host);
        for (const running of lost) this.endRunning(running);
        return lost.map(({ waiting }) => waiting.ticket.request);
    }

    /**
     * Returns the number of upstreams kept busy by the prefill of the pool's prompts; undefined where that is not
     * tracked.
     */
    prefillLoad(): number | undefined {
        return this.choice.prefillLoad(this.options.clock.monotonic());
    }

    /** Returns which slots this owner counts as taken, and why upstreams get nothing. */
    describeSlots(): SlotUse {
        const now = this.options.clock.monotonic();
        const running = [...this.running.values()];
        return {
            granted: countBy(running.map(({ waiting }) => waiting.ticket.origin)),
            oldestMs: Math.max(0, ...running.map(({ grantedAt }) => now - grantedAt)),
            waiting: this.decisions.size,
            upstreams: countBy(this.options.members.all.map(load => load.describeState(now))),
        };
    }

    /** Returns what this owner has granted, and what waits here, for other owners of the queue. */
    describeState(): QueueState {
        const now = this.options.clock.monotonic();
        const uses = this.options.members.all.filter(({ ownOutstanding }) => ownOutstanding > 0);
        const waiting = new Map<number, number>();
        for (const { ticket: { tier } } of this.listUnserved()) waiting.set(tier, (waiting.get(tier) ?? 0) + 1);
        return {
            uses: uses.map(({ upstream: { id: upstream }, ownOutstanding: requests }) => ({
                upstream,
                requests,
                ...this.choice.describeUse(upstream, now),
            })),
            waiting: [...waiting].sort(([a], [b]) => a - b),
        };
    }

    /** Records what another owner of the queue has granted, and what waits there. */
    recordOtherOwner(host: HostId, state: QueueState): void {
        const now = this.options.clock.monotonic();
        this.updateOthersUses(this.otherOwners.record(host, state, now), now);
    }

    /** Records parts of prompts that an upstream reports to have cached. */
    recordHeldParts(upstream: UpstreamId, parts: readonly PromptPart[]): void {
        this.choice.recordHeldParts(upstream, parts, this.options.clock.monotonic());
    }

    /** Implements `LocalDispatcher.recordLimit` for this pool. */
    recordLimit(upstream: UpstreamId, perSecond: number | undefined, ageMs: number): void {
        const { members, clock } = this.options;
        const load = members.get(upstream);
        if (!load) return;
        const now = clock.monotonic();
        load.updateLimit(perSecond, now - ageMs, now);
        members.refresh(load);
        this.updateConcurrency();
    }

    /** Implements `LocalDispatcher.recordRejectionLimit` for this pool. */
    recordRejectionLimit(upstream: UpstreamId, perSecond: number | undefined, ageMs: number): void {
        const { members, clock } = this.options;
        const load = members.get(upstream);
        if (!load) return;
        load.updateRejectionLimit(perSecond, clock.monotonic() - ageMs);
        members.refresh(load);
        this.updateConcurrency();
    }

    /** Implements `LocalDispatcher.recordBackOff` for this pool. */
    recordBackOff(host: HostId, { upstream, leftMs }: BackOff): void {
        const now = this.options.clock.monotonic();
        this.backOffs.record(host, upstream, now + leftMs, now);
    }

    /** Discards what is known of an upstream that has ended or has restarted. */
    forgetUpstream(upstream: UpstreamId): void {
        this.choice.forget(upstream);
        this.backOffs.forgetUpstream(upstream);
        this.options.members.get(upstream)?.forgetLimits();
    }

    /** Applies a change of an upstream in the registry. */
    updateUpstream(upstream: Upstream): void {
        this.options.members.update(upstream);
        this.updateConcurrency();
    }

    /**
     * Handles everything that depends only on time: wait expiry, shedding, preemption, stragglers and the end of
     * back-offs.
     */
    tick(): void {
        const tickNumber = this.ticks++;
        const now = this.options.clock.monotonic();
        this.updateOthersUses(this.otherOwners.expire(now), now);
        this.blockedTier = undefined;
        if (tickNumber % STRAGGLER_REVIEW_TICKS === 0) this.ejectStragglers();
        else this.options.members.refreshThrottled();
        this.updateConcurrency();
        if (this.decisions.size === 0) return;
        const late = [...this.held.listLate(), ...this.bound.listLate()];
        for (const { waiting, refusal } of late) this.refuseWaiting(waiting, refusal);
        if (this.decisions.size > LONG_QUEUE_TICKETS && tickNumber % LONG_QUEUE_REVIEW_TICKS !== 0) return;
        this.refuseLateTickets();
        this.preempter.preemptForWaiting(this.order.highestTierFirst());
    }

    /**
     * Ends the grants whose requests must have ended, though their entries have not said so: an entry may live and have lost track of a
     * grant.
     *
     * @returns The requests whose grants were ended.
     */
    expireGrants(): readonly RequestId[] {
        const now = this.options.clock.monotonic();
        const expired = [...this.running.values()].filter(({ waiting }) => now > waiting.endsBy + END_REPORT_MS);
        for (const running of expired) {
            this.options.observer.grantExpired(running.waiting, running.load.upstream.id, now - running.grantedAt);
            this.endRunning(running);
        }
        return expired.map(({ waiting }) => waiting.ticket.request);
    }

    /** Refuses all waiting tickets because the process is about to stop: another entry takes over the queue. */
    drain(): void {
        for (const waiting of this.decisions.listTickets()) {
            this.refuseWaiting(waiting, makeRefusal(waiting, "draining", 0, "the entry stops"));
        }
    }

    /** Ends a grant of which its entry reports no end. */
    private endRunning({ waiting, load, tokens }: RunningRequest): void {
        const { request, promptTokens } = waiting.ticket;
        const usage = { promptTokens, cachedTokens: 0, completionTokens: tokens };
        this.complete({ request, upstream: load.upstream.id, outcome: "cancelled", ...usage });
    }

    private checkSubmitted(waiting: WaitingTicket, { aborted }: AbortSignal): Refusal | undefined {
        if (aborted) return makeRefusal(waiting, "cancelled", 0, "the caller has gone");
        return isBound(waiting) ? undefined : this.admission.checkNew(waiting);
    }

    private applySignals({ origin, limits = [], rejectionLimits = [], backOffs = [] }: Ticket): void {
        for (const { upstream, perSecond, ageMs } of limits) this.recordLimit(upstream, perSecond, ageMs);
        for (const { upstream, perSecond, ageMs } of rejectionLimits) {
            this.recordRejectionLimit(upstream, perSecond, ageMs);
        }
        for (const backOff of backOffs) this.recordBackOff(origin, backOff);
    }

    private updateOthersUses(upstreams: ReadonlySet<UpstreamId>, now: number): void {
        if (upstreams.size === 0) return;
        for (const upstream of upstreams) {
            const load = this.options.members.get(upstream);
            if (load) this.updateOthersUse(load, now);
        }
        this.updateConcurrency();
    }

    private updateOthersUse(load: UpstreamLoad, now: number): void {
        const use = this.otherOwners.useOf(load.upstream.id);
        load.setOthersOutstanding(use.requests);
        this.choice.recordOthersUse(use, now);
        this.options.members.refresh(load);
    }

    private ejectStragglers(): void {
        const { members, observer, clock } = this.options;
        const ejected = this.stragglers.review(members.all, clock.monotonic());
        members.refreshAll();
        for (const load of ejected) {
            observer.ejected(load.upstream.id);
            this.preempter.moveOffStraggler(load, members.freeSlots - this.decisions.size);
        }
    }

    private enqueue(waiting: WaitingTicket): void {
        // The promise never rejects, since `grantOrRequeue` does not throw. A withdrawn ticket leaves it pending.
        void this.queue.add(() => this.grantOrRequeue(waiting), { waiting });
    }

    private grantOrRequeue(waiting: WaitingTicket): Promise<void> {
        const choice = this.picker.pick(waiting, this.options.clock.monotonic());
        if (!choice) {
            this.order.revertTake(waiting);
            this.options.members.refreshAll();
            const { tier } = waiting.ticket;
            if (this.held.hasFreeFor(waiting)) this.blockedTier = tier;
            this.updateConcurrency(tier);
            this.holdOrEnqueue(waiting);
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const release = (): void => {
                this.grantedSlots--;
                resolve();
            };
            this.grantedSlots++;
            this.grant(waiting, choice, release);
        });
    }

    /**
     * Grants a ticket of a stream that certain software must continue as soon as such an upstream has a free slot, before the tickets in the
     * queue: these can use any upstream, and would take each slot of the few that it can use.
     */
    private grantOrHoldBound(waiting: WaitingTicket): void {
        const now = this.options.clock.monotonic();
        const choice = this.picker.pick(waiting, now);
        if (!choice) {
            const refusal = this.bound.hold(waiting);
            if (refusal) this.refuseWaiting(waiting, refusal);
            return;
        }
        this.order.chargeGrant(waiting, now);
        this.grant(waiting, choice, () => undefined);
    }

    private holdOrEnqueue(waiting: WaitingTicket): void {
        const isHeld = this.options.members.freeSlots > 0 && !this.held.hasFreeFor(waiting);
        if (!isHeld) return this.enqueue(waiting);
        const refusal = this.held.hold(waiting);
        if (refusal) this.refuseWaiting(waiting, refusal);
    }

    private grant(waiting: WaitingTicket, choice: Choice, release: () => void): void {
        const { load } = choice;
        const now = this.options.clock.monotonic();
        const { ticket } = waiting;
        const software = this.options.members.findSoftware(load);
        load.markSent(now);
        this.backOffs.recordGrant(ticket.origin, load.upstream.id, now);
        this.options.members.refresh(load);
        this.options.prefixes.record(ticket.prefixes, load.upstream.id);
        const earlier = this.running.get(ticket.request);
        // An entry submits a ticket once more only when it has given up the decision on the first.
        if (earlier) this.endRunning(earlier);
        this.running.add({ waiting, load, grantedAt: now, tokens: 0, isPreempted: false, release });
        const reason = choice.reason + this.options.members.describeLimits()
            + this.picker.describeBackOffs(ticket, now);
        const grant = makeGrant(waiting, { ...choice, reason }, now, software);
        this.options.observer.granted(waiting, grant);
        const isWanted = this.decisions.settle(waiting, Right(grant));
        if (!isWanted) this.endRunning(this.running.get(ticket.request)!);
    }

    private refuseLateTickets(): void {
        const now = this.options.clock.monotonic();
        const { forecast } = this;
        const { usableSlots } = this.options.members;
        const releaseMs = forecast.slotReleaseMs(usableSlots);
        forecastWaits(this.order.highestTierFirst(), { now, usableSlots, forecast }, (waiting, waitMs) => {
            if (now >= waiting.expiresAt) {
                this.refuseWaiting(
                    waiting,
                    makeRefusal(waiting, "wait-expired", releaseMs, "waited as long as its class may"),
                );
                return false;
            }
            if (usableSlots === 0) return true;
            const refusal = this.admission.checkWait(waiting, waitMs, "shed");
            if (!refusal) return true;
            this.refuseWaiting(waiting, refusal);
            return false;
        });
    }

    private refuseWaiting(waiting: WaitingTicket, refusal: Refusal): void {
        if (!this.decisions.has(waiting)) return;
        this.tickets.withdraw(waiting);
        this.held.remove(waiting);
        this.bound.remove(waiting);
        this.options.observer.refused(waiting, refusal);
        this.decisions.settle(waiting, Left(this.withLimits(refusal)));
    }

    private withLimits(refusal: Refusal): Refusal {
        return { ...refusal, detail: refusal.detail + this.options.members.describeLimits() };
    }

    private recordCompletion(running: RunningRequest, completion: Completion, now: number): void {
        const { waiting, load } = running;
        const cost = costInTokens(completion.promptTokens - completion.cachedTokens, completion.completionTokens);
        this.order.correctCost(waiting, completion.outcome === "unused" ? 0 : cost);
        if (completion.outcome === "failed") this.backOff(running, now);
        if (completion.mayHaveEnded) load.markPerhapsEnded(now);
        if (completion.outcome === "refused") load.markBusy(now);
        if (completion.outcome !== "answered") return;
        load.markHealthy();
        if (completion.tokenMs !== undefined) load.recordTokenMs(completion.tokenMs);
        this.forecast.recordCompletion(completion, now - running.grantedAt, cost);
        if (waiting.ticket.resumeOffset === 0) {
            this.options.lengths.record(waiting.ticket, completion.completionTokens);
        }
    }

    private backOff({ waiting, load }: RunningRequest, now: number): void {
        const backOffMs = load.markFailed(now);
        if (backOffMs !== undefined) this.options.observer.backedOff(waiting, load.upstream.id, backOffMs);
    }

    /** @param returningTier - Tier of a ticket that is about to return to the queue; undefined if there is none. */
    private updateConcurrency(returningTier?: number): void {
        this.admission.recordMembers();
        this.bound.release(waiting => this.grantOrHoldBound(waiting));
        const concurrency = this.grantedSlots + this.countGrantableSlots(returningTier);
        if (concurrency === 0) {
            this.queue.pause();
            return;
        }
        if (this.queue.concurrency !== concurrency) this.queue.concurrency = concurrency;
        this.queue.start();
        this.held.release(waiting => this.enqueue(waiting));
    }

    /** Returns the number of free slots that the first waiting ticket may use; others are left to more urgent requests, here or at other owners. */
    private countGrantableSlots(returningTier = Number.POSITIVE_INFINITY): number {
        const { freeSlots } = this.options.members;
        if (!this.otherOwners.hasWaiting && this.blockedTier === undefined) return freeSlots;
        const tier = Math.min(this.order.highestTier ?? Number.POSITIVE_INFINITY, returningTier);
        if (tier === Number.POSITIVE_INFINITY) return freeSlots;
        if (this.blockedTier !== undefined && tier >= this.blockedTier) return 0;
        return Math.max(0, freeSlots - this.otherOwners.waitingAbove(tier));
    }

    private readOrderContext(): OrderContext {
        const now = this.options.clock.monotonic();
        const { usableSlots } = this.options.members;
        return {
            now,
            slotReleaseMs: this.forecast.slotReleaseMs(usableSlots),
            firstTokenMs: this.forecast.firstTokenP90Ms,
            isSaturatedAbove: tier => this.forecast.isSaturatedAbove(tier, usableSlots, now),
        };
    }
}

function countBy<Key>(keys: readonly Key[]): ReadonlyMap<Key, number> {
    const counts = new Map<Key, number>();
    for (const key of keys) counts.set(key, (counts.get(key) ?? 0) + 1);
    return counts;
}

/** Whether a ticket is of a stream that certain software must continue. */
function isBound({ ticket }: WaitingTicket): boolean {
    return ticket.software !== undefined;
}
