import { Either, Left, Right } from "purify-ts";
import {
    Completion,
    Dispatcher,
    findWaitLeftMs,
    Grant,
    LocalDispatcher,
    PoolOwnerTable,
    Refusal,
    Ticket,
} from "../../dispatch/index.js";
import { HostId, PoolId, RequestId, UpstreamId } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { Clock } from "../../ports/index.js";
import { PeerError, PeerLink, PeerRouter } from "../../wire/index.js";
import { PeerDirectory } from "../peerDirectory/index.js";
import { UsedGrant } from "../queueMonitor/index.js";
import { SignalExchange } from "../signalExchange/index.js";
import { AdoptNotice, DISPATCH_METHODS, TicketReply } from "../ticketServer/index.js";

/** Options of `FleetDispatcher`. */
export interface FleetDispatcherOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly self: HostId;
    /** Ranks hosts as owners of a pool's queue. */
    readonly owners: PoolOwnerTable;
    readonly directory: PeerDirectory;
    /** Queues of this host, for the pools that it owns. */
    readonly local: LocalDispatcher;
    /** What upstreams state in their answers, as this host knows it. */
    readonly signals: Pick<SignalExchange, "listLimits" | "listRejectionLimits" | "listBackOffs" | "recordGrant">;
    /** Lists the pools that calls are routed to, where these are known before the first ticket. */
    readonly pools?: () => readonly PoolId[];
}

/** A grant in use, and the owner of the queue that counts it as running. */
interface RunningGrant {
    owner: HostId;
    readonly ticket: Ticket;
    readonly grant: Grant;
    /** Monotonic time, in milliseconds. */
    readonly grantedAt: number;
    /** Whether the first token has been reported to the owner. */
    hasProgress: boolean;
    /** Monotonic time of the grant or of the last tokens, in milliseconds. */
    progressAt: number;
}

/** A request without tokens for this long when its path is found lost is taken for one that hangs, in milliseconds. */
const HANGING_AFTER_MS = 400;
/** Added to a ticket's longest wait for the round trip to the owner, in milliseconds. */
const REPLY_SLACK_MS = 500;
const PROGRESS_INTERVAL_MS = 200;
/** Time behind the end of a request within which its grant is completed, in milliseconds. */
const END_REPORT_MS = 2_000;
/** After this many unresponsive owners, or attempts in total, this host decides on its own. */
const MAX_UNRESPONSIVE_OWNERS = 2;
const MAX_OWNER_ATTEMPTS = 8;
/** A failure to reach an owner that takes less than this costs a request no noticeable time and does not count as unresponsive, in milliseconds. */
const FAST_FAILURE_MS = 20;
/** Number of hosts, the owner of a pool's queue and its successors, to which links are kept open: two may be lost at once. */
const OWNER_CANDIDATE_COUNT = 3;
const RETRY_AFTER_OWNER_LOST_MS = 1_000;
/**
 * Time within which an owner must decide on a ticket or confirm that it is queued, in milliseconds. An owner that is cut off or
 * frozen delays each request by this much once; the smallest latency targets are a few hundred milliseconds.
 */
const OWNER_REPLY_TIMEOUT_MS = 120;

/**
 * Submits each ticket to the host that owns the pool's queue, so that order and fairness hold across all entries.
 *
 * If the owner is lost together with its queue, the ticket goes to the next owner with the time it has waited, and after
 * several failures this host decides on its own from local knowledge. A grant that the lost owner may have made is not used, since
 * it was never received.
 *
 * @example
 * const decision = await dispatcher.submit(ticket, signal);
 */
export class FleetDispatcher extends Dispatcher {
    private readonly runningGrants = new Map<RequestId, RunningGrant>();
    /** By owner, tokens of each request not yet reported to it. */
    private readonly pendingProgress = new Map<HostId, Map<RequestId, number>>();
    /** By request, called when the owner confirms that the ticket is queued. */
    private readonly queuedListeners = new Map<RequestId, () => void>();
    private preemptListener: (request: RequestId) => void = () => undefined;

    constructor(private readonly options: FleetDispatcherOptions) {
        super();
    }

    /** Registers the methods that owners call: preemption, and confirmation that a ticket is queued. */
    addTo(router: PeerRouter): void {
        router.add(DISPATCH_METHODS.preempt, body => this.preemptListener(body as RequestId));
        router.add(DISPATCH_METHODS.queued, body => this.queuedListeners.get(body as RequestId)?.());
    }

    /** Returns the host that owns a pool's queue, according to this host's view. */
    ownerOf(pool: PoolId): HostId {
        const { directory, owners, self } = this.options;
        return owners.rank(pool, directory.queueHosts())[0] ?? self;
    }

    /** Whether this host owns the queue of any pool, or may soon own one. */
    mayOwnQueues(): boolean {
        const pools = this.options.pools?.() ?? [];
        return pools.some(pool => this.listOwnerCandidates(pool).includes(this.options.self));
    }

    /** Lists the upstreams of the grants in use, one item per grant. */
    listRunning(): UpstreamId[] {
        return [...this.runningGrants.values()].map(({ grant }) => grant.upstream);
    }

    /** Lists the grants in use, with the time for which each has been held. */
    listUsed(): UsedGrant[] {
        const now = this.options.clock.monotonic();
        return [...this.runningGrants.values()].map(({ ticket: { pool }, grant: { upstream }, grantedAt }) => ({
            pool,
            upstream,
            heldMs: now - grantedAt,
        }));
    }

    /**
     * Returns this host's rank as owner of a pool's queue, according to its own view: 0 for the owner, 1 for its successor. Undefined where
     * hosts of its kind own no queues.
     */
    ownerRank(pool: PoolId): number | undefined {
        const { directory, owners, self } = this.options;
        if (!directory.isDesignatedOwner) return undefined;
        const rank = owners.rank(pool, directory.queueHosts()).indexOf(self);
        return rank < 0 ? undefined : rank;
    }

    /** Lists the owner of a pool's queue and the hosts that come next, according to this host's view. */
    listOwnerCandidates(pool: PoolId): readonly HostId[] {
        const { directory, owners } = this.options;
        return owners.rank(pool, directory.queueHosts()).slice(0, OWNER_CANDIDATE_COUNT);
    }

    onPreempt(listener: (request: RequestId) => void): void {
        this.preemptListener = listener;
    }

    /** Called when this host's own queues preempt a request of this host. */
    preemptLocal(request: RequestId): void {
        this.preemptListener(request);
    }

    async submit(ticket: Ticket, signal: AbortSignal): Promise<Either<Refusal, Grant>> {
        const { clock } = this.options;
        const startedAt = clock.monotonic();
        let unresponsive = 0;
        for (let attempts = 0; attempts < MAX_OWNER_ATTEMPTS && unresponsive < MAX_UNRESPONSIVE_OWNERS; attempts++) {
            const askedAt = clock.monotonic();
            const current = this.refreshTicket(ticket, startedAt);
            const owner = this.ownerOf(ticket.pool);
            const reply = await this.submitToOwner(owner, current, signal);
            if (signal.aborted && reply.isLeft()) return Left(makeRefusal(ticket, "cancelled", "the caller has gone"));
            const decision = reply.toMaybe().extract();
            if (decision && !isHandover(decision)) return this.acceptDecision(current, owner, decision);
            const tookMs = clock.monotonic() - askedAt;
            if (tookMs >= FAST_FAILURE_MS) unresponsive++;
            const problem = reply.swap().map(err => err.message).orDefault("draining");
            this.suspectOwner(owner, ticket.pool, { problem, tookMs: Math.round(tookMs) });
            // The next owner must know the running requests before it decides on waiting tickets.
            this.reassignGrants();
        }
        return this.decideLocally(this.refreshTicket(ticket, startedAt), signal);
    }

    /** Excludes an owner from choices for some time, and logs who owns the pool's queue instead. */
    private suspectOwner(owner: HostId, pool: PoolId, evidence: { problem: string; tookMs?: number; }): void {
        const { directory, logger } = this.options;
        if (!directory.suspect(owner)) return;
        logger.info("queue-owner-suspected", { pool, owner, next: this.ownerOf(pool), ...evidence });
    }

    /** Updates a ticket's age and the rest of its life, and adds the limits and back-offs that this host knows: the deciding host, such as a new owner, may not know them. */
    private refreshTicket(ticket: Ticket, startedAt: number): Ticket {
        const { signals, clock } = this.options;
        const limits = signals.listLimits(ticket.pool);
        const rejectionLimits = signals.listRejectionLimits(ticket.pool);
        const backOffs = signals.listBackOffs(ticket.pool);
        const passedMs = clock.monotonic() - startedAt;
        const { lifeMs } = ticket;
        return {
            ...ticket,
            ageMs: ticket.ageMs + passedMs,
            ...(lifeMs === undefined ? {} : { lifeMs: lifeMs - passedMs }),
            ...(limits.length > 0 ? { limits } : {}),
            ...(rejectionLimits.length > 0 ? { rejectionLimits } : {}),
            ...(backOffs.length > 0 ? { backOffs } : {}),
        };
    }

    private async decideLocally(ticket: Ticket, signal: AbortSignal): Promise<Either<Refusal, Grant>> {
        const { self, local } = this.options;
        const decision = await local.submit(ticket, signal);
        return this.acceptDecision(ticket, self, decision);
    }

    complete(completion: Completion): void {
        const owner = this.runningGrants.get(completion.request)?.owner;
        this.runningGrants.delete(completion.request);
        if (owner === undefined || owner === this.options.self) {
            this.options.local.complete(completion);
            return;
        }
        this.pendingProgress.get(owner)?.delete(completion.request);
        this.options.directory.linkTo(owner)?.notify(DISPATCH_METHODS.complete, completion);
    }

    /**
     * Ends the grants of requests that hang on a lost path to an upstream. Otherwise the owner would take the upstream for one that shows
     * no progress until their deadlines. The end of each request is reported once more, and ignored.
     */
    releaseHanging(upstream: UpstreamId): void {
        const hangingSince = this.options.clock.monotonic() - HANGING_AFTER_MS;
        for (const [request, { grant, progressAt }] of [...this.runningGrants]) {
            if (grant.upstream !== upstream || progressAt > hangingSince) continue;
            const nothingUsed = { promptTokens: 0, cachedTokens: 0, completionTokens: 0 };
            this.complete({ request, upstream, outcome: "cancelled", ...nothingUsed });
        }
    }

    progress(request: RequestId, tokens: number): void {
        const running = this.runningGrants.get(request);
        const owner = running?.owner;
        if (running) running.progressAt = this.options.clock.monotonic();
        if (owner === undefined || owner === this.options.self) {
            this.options.local.progress(request, tokens);
            return;
        }
        if (running && !running.hasProgress) {
            // The owner predicts first-token times from those observed, so the first token is reported immediately.
            running.hasProgress = true;
            this.sendProgress(owner, new Map([[request, tokens]]));
            return;
        }
        let sums = this.pendingProgress.get(owner);
        if (!sums) this.pendingProgress.set(owner, sums = new Map());
        sums.set(request, (sums.get(request) ?? 0) + tokens);
    }

    /** Sends the collected progress, one message per owner, and follows changes of owners, until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.sleepToTick(PROGRESS_INTERVAL_MS, signal);
            if (signal.aborted) return;
            for (const [owner, sums] of this.pendingProgress) this.sendProgress(owner, sums);
            this.pendingProgress.clear();
            this.openOwnerLinks();
            this.suspectLostOwners();
            this.endExpired();
            this.reassignGrants();
        }
    }

    /** Ends the grants whose requests must have ended: they would be reported to each new owner of their queue. */
    private endExpired(): void {
        const now = this.options.clock.monotonic();
        for (const [request, { ticket, grant: { upstream }, grantedAt }] of [...this.runningGrants]) {
            if (now - grantedAt <= (ticket.lifeMs ?? Number.POSITIVE_INFINITY) + END_REPORT_MS) continue;
            this.options.logger.warn("grant-unended", { request, upstream, pool: ticket.pool });
            this.complete({
                request,
                upstream,
                outcome: "cancelled",
                promptTokens: 0,
                cachedTokens: 0,
                completionTokens: 0,
            });
        }
    }

    /** Opens the links to possible owners in advance: links open on first use, and a ticket would wait for that. */
    private openOwnerLinks(): void {
        const { directory, self, pools } = this.options;
        for (const pool of pools?.() ?? []) {
            for (const host of this.listOwnerCandidates(pool)) {
                if (host !== self) directory.linkTo(host);
            }
        }
    }

    /**
     * Detects lost owners before the next ticket does. Otherwise entries would detect the loss one by one, each with its next
     * ticket, and the new owner would decide on the first tickets without knowing the other entries' running requests.
     */
    private suspectLostOwners(): void {
        const { directory, self } = this.options;
        const poolByOwner = new Map([...this.runningGrants.values()].map(({ owner, ticket }) => [owner, ticket.pool]));
        for (const [owner, pool] of poolByOwner) {
            if (owner === self || directory.linkTo(owner)?.isOpen) continue;
            this.suspectOwner(owner, pool, { problem: "no open link" });
        }
    }

    /**
     * Reports this entry's running requests to new owners. Otherwise a new owner would consider busy upstreams idle: load reports are
     * old, and only the previous owner knew its grants.
     */
    private reassignGrants(): void {
        const owners = new Map<PoolId, HostId>();
        for (const running of this.runningGrants.values()) {
            const { pool } = running.ticket;
            const owner = owners.get(pool) ?? this.ownerOf(pool);
            owners.set(pool, owner);
            if (owner !== running.owner) this.reassign(running, owner);
        }
    }

    private reassign(running: RunningGrant, owner: HostId): void {
        const { grant } = running;
        const { self, local, directory, clock } = this.options;
        const ticket = this.refreshTicket(running.ticket, running.grantedAt);
        const runningMs = clock.monotonic() - running.grantedAt;
        const { owner: previousOwner } = running;
        this.releaseFromOwner(previousOwner, running);
        running.owner = owner;
        if (owner === self) {
            local.adopt(ticket, grant, runningMs, previousOwner);
            return;
        }
        const notice: AdoptNotice = { ticket, grant, runningMs, previousOwner };
        directory.linkTo(owner)?.notify(DISPATCH_METHODS.adopt, notice);
    }

    /**
     * Releases a reassigned grant from its previous owner, which may only have been unresponsive for a short time. Otherwise that owner, once
     * back, would count the grant as running forever, since it ends elsewhere; its upstream would appear full or unresponsive and get no more
     * work.
     */
    private releaseFromOwner(owner: HostId, { ticket: { request }, grant: { upstream } }: RunningGrant): void {
        const { self, local, directory } = this.options;
        if (owner !== self) {
            directory.linkTo(owner)?.notify(DISPATCH_METHODS.cancel, request);
            return;
        }
        const nothingUsed = { promptTokens: 0, cachedTokens: 0, completionTokens: 0 };
        local.complete({ request, upstream, outcome: "cancelled", ...nothingUsed });
    }

    private sendProgress(owner: HostId, sums: Map<RequestId, number>): void {
        const notice = [...sums].map(([request, tokens]) => ({ request, tokens }));
        if (notice.length > 0) this.options.directory.linkTo(owner)?.notify(DISPATCH_METHODS.progress, notice);
    }

    private async submitToOwner(
        owner: HostId,
        ticket: Ticket,
        signal: AbortSignal,
    ): Promise<Either<PeerError, Either<Refusal, Grant>>> {
        const { self, local, directory } = this.options;
        if (owner === self) return Right(await local.submit(ticket, signal));
        const link = directory.linkTo(owner);
        if (!link) return Left(new PeerError("unreachable", false, owner));
        const cancel = (): void => link.notify(DISPATCH_METHODS.cancel, ticket.request);
        signal.addEventListener("abort", cancel);
        const reply = await this.awaitDecision(link, ticket);
        signal.removeEventListener("abort", cancel);
        if (reply.isLeft()) cancel();
        return reply.map(body => readReply(body as TicketReply));
    }

    /** Waits for the owner's decision; times out if the owner neither decides nor confirms that the ticket is queued. */
    private async awaitDecision(link: PeerLink, ticket: Ticket): Promise<Either<PeerError, unknown>> {
        const { clock } = this.options;
        const limitMs = Math.max(0, findWaitLeftMs(ticket)) + REPLY_SLACK_MS;
        const timeout = new Promise<Either<PeerError, unknown>>(resolve => {
            const giveUp = (): void =>
                resolve(Left(new PeerError("timeout", true, "no reply from the owner of the queue")));
            const timer = clock.after(OWNER_REPLY_TIMEOUT_MS, giveUp);
            this.queuedListeners.set(ticket.request, () => timer.cancel());
        });
        const reply = await Promise.race([this.callWhenOpen(link, ticket, limitMs), timeout]);
        this.queuedListeners.get(ticket.request)?.();
        this.queuedListeners.delete(ticket.request);
        return reply;
    }

    private async callWhenOpen(link: PeerLink, ticket: Ticket, limitMs: number): Promise<Either<PeerError, unknown>> {
        if (!link.isOpen) await link.awaitOpen(OWNER_REPLY_TIMEOUT_MS);
        return link.call(DISPATCH_METHODS.submit, ticket, limitMs);
    }

    private acceptDecision(
        ticket: Ticket,
        owner: HostId,
        decision: Either<Refusal, Grant>,
    ): Either<Refusal, Grant> {
        const grantedAt = this.options.clock.monotonic();
        decision.ifRight(grant => this.options.signals.recordGrant(ticket.pool, grant));
        return decision.map(granted => ({ ...granted, decidedBy: owner })).ifRight(grant =>
            this.runningGrants.set(ticket.request, {
                owner,
                ticket,
                grant,
                grantedAt,
                hasProgress: false,
                progressAt: grantedAt,
            })
        );
    }
}

function readReply(reply: TicketReply): Either<Refusal, Grant> {
    return reply.kind === "grant" ? Right(reply.grant) : Left(reply.refusal);
}

/** Whether an owner refused a ticket because it is draining and hands its queue over; the ticket then goes to the next owner. */
function isHandover(decision: Either<Refusal, Grant>): boolean {
    return decision.isLeft() && (decision.extract() as Refusal).reason === "draining";
}

function makeRefusal(ticket: Ticket, reason: Refusal["reason"], detail: string): Refusal {
    return { request: ticket.request, reason, retryAfterMs: RETRY_AFTER_OWNER_LOST_MS, detail };
}
