import { Either } from "purify-ts";
import { HostId, PoolId, RequestId, UpstreamId, ZoneId } from "../../ids/index.js";
import { Clock, Random, Timer } from "../../ports/index.js";
import { BackOff, PoolMembers, PrefixIndex, PromptPart, Upstream, UpstreamRegistry } from "../../upstream/index.js";
import { Dispatcher } from "../dispatcher/index.js";
import { DispatchObserver, NoDispatchObserver } from "../dispatchObserver/index.js";
import { DEFAULT_POLICIES, DispatchPolicies } from "../dispatchPolicies/index.js";
import { LengthEstimator } from "../lengthEstimator/index.js";
import { QueueState } from "../otherOwners/index.js";
import { PoolQueue, SlotUse } from "../poolQueue/index.js";
import { Completion, Grant, Refusal, Ticket } from "../ticket/index.js";
import { WaitingTicket } from "../waitingTicket/index.js";

/** Options of `LocalDispatcher`. */
export interface LocalDispatcherOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly registry: UpstreamRegistry;
    /** The zone that this process runs in. */
    readonly zone: ZoneId;
    readonly policies?: DispatchPolicies;
    readonly observer?: DispatchObserver;
    /** The KV cache capacity of each upstream of a pool, in tokens; undefined where it is unknown. */
    readonly capacityOf?: (pool: PoolId) => number | undefined;
    /**
     * Maximum number of requests per second that this process may send to a cold upstream of a pool; undefined for no
     * limit.
     */
    readonly coldRateOf?: (pool: PoolId) => number;
    /**
     * The share of an upstream's stated request rate limit that this process may use, from 0 to 1; undefined for all of
     * it.
     */
    readonly limitShareOf?: (pool: PoolId) => number;
}

/** Interval between reviews of the waiting tickets, in milliseconds. */
const TICK_MS = 25;
/** Ticks between two reviews of the granted requests. */
const GRANT_REVIEW_TICKS = 20;

/**
 * The queues of all pools that one process owns. It does no networking: whoever receives tickets from other entries
 * submits them here.
 *
 * @example
 * const dispatcher = new LocalDispatcher({ clock, random, registry, zone });
 * const decision = await dispatcher.submit(ticket, signal);
 * decision.ifRight(grant => send(grant));
 */
export class LocalDispatcher extends Dispatcher {
    private readonly queues = new Map<PoolId, PoolQueue>();
    private readonly poolOfRequest = new Map<RequestId, PoolId>();
    private readonly lengths = new LengthEstimator();
    private readonly prefixes = new PrefixIndex();
    private readonly seenIncarnations = new Map<string, number>();
    private readonly preemptListeners: ((request: RequestId) => void)[] = [];
    private readonly expiryListeners: ((request: RequestId) => void)[] = [];
    private readonly startedAt: number;
    private ticks = 0;
    private timer: Timer | undefined;
    private isClosed = false;

    constructor(private readonly options: LocalDispatcherOptions) {
        super();
        this.startedAt = options.clock.monotonic();
        options.registry.onChange(upstream => this.applyUpstreamChange(upstream));
    }

    async submit(ticket: Ticket, signal: AbortSignal): Promise<Either<Refusal, Grant>> {
        // While all queues are idle no timer expires unresponsive upstreams, and the first grant could go to a dead
        // one.
        if (!this.timer) this.options.registry.expire();
        const queue = this.queueOf(ticket.pool);
        const decision = queue.submit(ticket, signal);
        this.armTimer();
        const settled = await decision;
        if (queue.isRunning(ticket.request)) this.poolOfRequest.set(ticket.request, ticket.pool);
        return settled;
    }

    complete(completion: Completion): void {
        const { request } = completion;
        const pool = this.poolOfRequest.get(request);
        if (pool === undefined) return;
        const queue = this.queueOf(pool);
        queue.complete(completion);
        if (!queue.isRunning(request)) this.poolOfRequest.delete(request);
    }

    progress(request: RequestId, tokens: number): void {
        const pool = this.poolOfRequest.get(request);
        if (pool !== undefined) this.queueOf(pool).progress(request, tokens);
    }

    /**
     * Records the request rate limit that an upstream stated in an answer.
     *
     * @param perSecond - Requests per second from all hosts together; undefined when the answer states no limit.
     * @param ageMs - Time since the answer arrived, in milliseconds.
     */
    recordLimit(pool: PoolId, upstream: UpstreamId, perSecond: number | undefined, ageMs = 0): void {
        this.queues.get(pool)?.recordLimit(upstream, perSecond, ageMs);
    }

    /**
     * Records how many requests an upstream can turn away within a second, as stated in an answer.
     *
     * @param perSecond - Requests per second from all hosts together; undefined when the answer states no such limit.
     * @param ageMs - Time since the answer arrived, in milliseconds.
     */
    recordRejectionLimit(pool: PoolId, upstream: UpstreamId, perSecond: number | undefined, ageMs = 0): void {
        this.queues.get(pool)?.recordRejectionLimit(upstream, perSecond, ageMs);
    }

    /** Records that an upstream asked a host to back off. */
    recordBackOff(pool: PoolId, host: HostId, backOff: BackOff): void {
        this.queues.get(pool)?.recordBackOff(host, backOff);
    }

    onPreempt(listener: (request: RequestId) => void): void {
        this.preemptListeners.push(listener);
    }

    /**
     * Counts a request granted by the previous owner of the pool's queue. The entries that send the requests report
     * them to the new owner, whose view of the load would otherwise be one load report out of date.
     *
     * @param runningMs - Time since it was granted, in milliseconds.
     * @param previousOwner - The owner that counted it until now, where that is another host.
     */
    adopt(ticket: Ticket, grant: Grant, runningMs: number, previousOwner?: HostId): void {
        const queue = this.queueOf(ticket.pool);
        queue.adopt(ticket, grant, runningMs, previousOwner);
        if (queue.isRunning(ticket.request)) this.poolOfRequest.set(ticket.request, ticket.pool);
        this.armTimer();
    }

    /** Registers a listener that is called with each request whose grant was ended, since the request must have ended. */
    onGrantExpired(listener: (request: RequestId) => void): void {
        this.expiryListeners.push(listener);
    }

    /** Returns what this process has granted in a pool, and what waits here; undefined where it has had no ticket. */
    describeState(pool: PoolId): QueueState | undefined {
        return this.queues.get(pool)?.describeState();
    }

    /** Records what another owner of a pool's queue has granted, and what waits there. */
    recordOtherOwner(pool: PoolId, host: HostId, state: QueueState): void {
        this.queueOf(pool).recordOtherOwner(host, state);
        this.armTimer();
    }

    /** Returns which slots of a pool this process counts as taken; undefined where it has had no ticket. */
    describeSlots(pool: PoolId): SlotUse | undefined {
        return this.queues.get(pool)?.describeSlots();
    }

    /** Returns the waiting tickets of all queues in no particular order. */
    listWaiting(): WaitingTicket[] {
        return [...this.queues.values()].flatMap(queue => queue.listWaiting());
    }

    /** Returns the waiting tickets of all queues that more upstreams would serve, in no particular order. */
    listUnserved(): WaitingTicket[] {
        return [...this.queues.values()].flatMap(queue => queue.listUnserved());
    }

    /** Returns the granted requests of a pool that have not been completed, in no particular order. */
    listRunning(pool: PoolId): WaitingTicket[] {
        return this.queues.get(pool)?.listRunning() ?? [];
    }

    /** Returns the pools that have had a ticket in this process. */
    pools(): readonly PoolId[] {
        return [...this.queues.keys()];
    }

    /** Frees the slots granted to a lost entry, and drops its waiting tickets. */
    forgetEntry(host: HostId): void {
        for (const queue of this.queues.values()) {
            for (const request of queue.forgetEntry(host)) this.poolOfRequest.delete(request);
        }
    }

    /** Returns the number of tickets that wait in a pool's queue. */
    countWaiting(pool: PoolId): number {
        return this.queues.get(pool)?.waitingCount ?? 0;
    }

    /** Returns the number of granted requests of a pool that have not been completed. */
    countRunning(pool: PoolId): number {
        return this.queues.get(pool)?.runningCount ?? 0;
    }

    /**
     * Returns the number of upstreams kept busy by the prefill of a pool's prompts; undefined where that is not
     * tracked.
     */
    prefillLoad(pool: PoolId): number | undefined {
        return this.queues.get(pool)?.prefillLoad();
    }

    /** Records parts of prompts that an upstream reports to have cached. */
    recordHeldParts(pool: PoolId, upstream: UpstreamId, parts: readonly PromptPart[]): void {
        this.queueOf(pool).recordHeldParts(upstream, parts);
    }

    /** Refuses all waiting tickets with "draining", so that their entries submit them to the next owner. */
    drain(): void {
        for (const queue of this.queues.values()) queue.drain();
    }

    /** Refuses all waiting tickets and stops the timer. */
    close(): void {
        this.isClosed = true;
        this.timer?.cancel();
        this.timer = undefined;
        this.drain();
    }

    private queueOf(pool: PoolId): PoolQueue {
        const existing = this.queues.get(pool);
        if (existing) return existing;
        const { clock, random, registry, zone, coldRateOf, limitShareOf } = this.options;
        const coldRate = coldRateOf && ((): number => coldRateOf(pool));
        const limitShare = limitShareOf && ((): number => limitShareOf(pool));
        const queue = new PoolQueue({
            clock,
            random,
            pool,
            zone,
            members: new PoolMembers({ clock, registry, pool, coldRequestsPerS: coldRate, limitShare }),
            prefixes: this.prefixes,
            lengths: this.lengths,
            policies: this.options.policies ?? DEFAULT_POLICIES,
            observer: this.options.observer ?? new NoDispatchObserver(),
            startedAt: this.startedAt,
            capacityOf: this.options.capacityOf,
            preempt: request => {
                for (const listener of this.preemptListeners) listener(request);
            },
        });
        this.queues.set(pool, queue);
        return queue;
    }

    private applyUpstreamChange(upstream: Upstream): void {
        this.applyCacheEvents(upstream);
        for (const queue of this.queues.values()) queue.updateUpstream(upstream);
    }

    private applyCacheEvents(upstream: Upstream): void {
        const { incarnation, cache } = upstream.announcement;
        const lastIncarnation = this.seenIncarnations.get(upstream.id);
        if (lastIncarnation !== undefined && lastIncarnation !== incarnation) this.forgetUpstream(upstream.id);
        this.seenIncarnations.set(upstream.id, incarnation);
        if (upstream.state === "gone") {
            this.forgetUpstream(upstream.id);
            this.seenIncarnations.delete(upstream.id);
        }
        else if (cache) {
            this.prefixes.apply(upstream.id, cache);
        }
    }

    private forgetUpstream(upstream: UpstreamId): void {
        this.prefixes.forget(upstream);
        for (const queue of this.queues.values()) queue.forgetUpstream(upstream);
    }

    private armTimer(): void {
        if (this.timer || this.isClosed) return;
        this.timer = this.options.clock.after(TICK_MS, () => this.tick());
    }

    private tick(): void {
        this.timer = undefined;
        this.options.registry.expire();
        const isReview = this.ticks++ % GRANT_REVIEW_TICKS === 0;
        let isBusy = false;
        for (const queue of this.queues.values()) {
            if (queue.isIdle) continue;
            if (isReview) this.expireGrants(queue);
            queue.tick();
            isBusy = true;
        }
        if (isBusy) this.armTimer();
    }

    private expireGrants(queue: PoolQueue): void {
        for (const request of queue.expireGrants()) {
            this.poolOfRequest.delete(request);
            for (const listener of this.expiryListeners) listener(request);
        }
    }
}
