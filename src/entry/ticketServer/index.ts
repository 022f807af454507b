import { Completion, Grant, LocalDispatcher, Refusal, Ticket } from "../../dispatch/index.js";
import { HostId, PoolId, RequestId, UpstreamId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";
import { BackOff } from "../../upstream/index.js";
import { PeerChannel, PeerRouter } from "../../wire/index.js";

/** Peer methods between an entry that serves a caller and the owner of a pool's queue. */
export const DISPATCH_METHODS = {
    submit: "dispatch.submit",
    cancel: "dispatch.cancel",
    complete: "dispatch.complete",
    progress: "dispatch.progress",
    preempt: "dispatch.preempt",
    queued: "dispatch.queued",
    adopt: "dispatch.adopt",
    limit: "dispatch.limit",
    rejectionLimit: "dispatch.rejection-limit",
    backOff: "dispatch.back-off",
} as const;

/** The owner's answer to a ticket. */
export type TicketReply =
    | { readonly kind: "grant"; readonly grant: Grant; }
    | { readonly kind: "refusal"; readonly refusal: Refusal; };

/** Number of tokens received for each request since the last such notice. */
export type ProgressNotice = readonly { readonly request: RequestId; readonly tokens: number; }[];

/** A running grant made by a previous owner of the queue, reported to the new owner. */
export interface AdoptNotice {
    readonly ticket: Ticket;
    readonly grant: Grant;
    /** Time since the grant was made, in milliseconds. */
    readonly runningMs: number;
    /** The owner that counted it until now. */
    readonly previousOwner?: HostId;
}

/** A limit on requests, or on rejections, in an upstream's answer. */
export interface LimitNotice {
    readonly pool: PoolId;
    readonly upstream: UpstreamId;
    /** Per second; undefined where the upstream no longer states the limit. */
    readonly perSecond?: number;
}

/** A back-off that an upstream asked a host for. */
export interface BackOffNotice {
    readonly pool: PoolId;
    /** The host that sends the notice and backs off. */
    readonly host: HostId;
    readonly backOff: BackOff;
}

/** A ticket submitted by another entry. */
interface RemoteTicket {
    readonly channel: PeerChannel;
    readonly abort: AbortController;
    /** Set once the ticket is granted. */
    grant?: Grant;
}

/**
 * Time after which an undecided ticket is confirmed as queued, in milliseconds. An entry that receives neither a decision nor a
 * confirmation turns to another owner, so this is well below its timeout.
 */
const QUEUED_AFTER_MS = 20;

/**
 * The owner's side of dispatch: queues other entries' tickets together with this entry's own.
 *
 * Prevents slots from remaining occupied by an entry that has ended: when its channel closes, its waiting tickets are
 * cancelled and its grants are counted as finished. The same applies to a grant whose reply can no longer be delivered.
 *
 * @example
 * new TicketServer(local, clock, request => requests.cancel(request, "preempted")).addTo(router);
 */
export class TicketServer {
    private readonly remoteTickets = new Map<RequestId, RemoteTicket>();
    /** The tickets of each channel, abandoned together when the channel closes. */
    private readonly byChannel = new Map<PeerChannel, Set<RequestId>>();

    /**
     * @param local - Queues of this host.
     * @param onLocalPreempt - Called when a request whose caller is connected to this host is preempted.
     */
    constructor(
        private readonly local: LocalDispatcher,
        private readonly clock: Clock,
        onLocalPreempt: (request: RequestId) => void,
    ) {
        local.onPreempt(request => {
            const ticket = this.remoteTickets.get(request);
            if (ticket) ticket.channel.notify(DISPATCH_METHODS.preempt, request);
            else onLocalPreempt(request);
        });
        local.onGrantExpired(request => {
            const remote = this.remoteTickets.get(request);
            if (remote) this.forget(request, remote);
        });
    }

    /** Registers the methods that entries call. */
    addTo(router: PeerRouter): void {
        router.add(DISPATCH_METHODS.submit, (body, channel) => this.submit(body as Ticket, channel));
        router.add(DISPATCH_METHODS.cancel, body => {
            const remote = this.remoteTickets.get(body as RequestId);
            if (remote) this.abandon(body as RequestId, remote);
        });
        router.add(DISPATCH_METHODS.complete, body => this.complete(body as Completion));
        router.add(DISPATCH_METHODS.adopt, (body, channel) => this.adopt(body as AdoptNotice, channel));
        router.add(DISPATCH_METHODS.limit, body => {
            const { pool, upstream, perSecond } = body as LimitNotice;
            this.local.recordLimit(pool, upstream, perSecond);
        });
        router.add(DISPATCH_METHODS.rejectionLimit, body => {
            const { pool, upstream, perSecond } = body as LimitNotice;
            this.local.recordRejectionLimit(pool, upstream, perSecond);
        });
        router.add(DISPATCH_METHODS.backOff, body => {
            const { pool, host, backOff } = body as BackOffNotice;
            this.local.recordBackOff(pool, host, backOff);
        });
        router.add(DISPATCH_METHODS.progress, body => {
            for (const { request, tokens } of body as ProgressNotice) this.local.progress(request, tokens);
        });
    }

    private async submit(ticket: Ticket, channel: PeerChannel): Promise<TicketReply> {
        const remote = this.track(ticket.request, channel);
        const notice = this.clock.after(
            QUEUED_AFTER_MS,
            () => channel.notify(DISPATCH_METHODS.queued, ticket.request),
        );
        const decision = await this.local.submit(ticket, remote.abort.signal);
        notice.cancel();
        if (decision.isLeft()) {
            this.forget(ticket.request, remote);
            return { kind: "refusal", refusal: decision.extract() as Refusal };
        }
        const grant = decision.extract() as Grant;
        remote.grant = grant;
        // The entry may have withdrawn the ticket since the decision, and then ignores the reply.
        if (!channel.isOpen || remote.abort.signal.aborted) this.abandon(ticket.request, remote);
        return { kind: "grant", grant };
    }

    private adopt({ ticket, grant, runningMs, previousOwner }: AdoptNotice, channel: PeerChannel): void {
        if (this.remoteTickets.has(ticket.request)) return;
        this.track(ticket.request, channel).grant = grant;
        this.local.adopt(ticket, grant, runningMs, previousOwner);
    }

    /** Counts a completion; that of an abandoned request has been counted already. */
    private complete(completion: Completion): void {
        const remote = this.remoteTickets.get(completion.request);
        if (!remote) return;
        this.forget(completion.request, remote);
        this.local.complete(completion);
    }

    private track(request: RequestId, channel: PeerChannel): RemoteTicket {
        const earlier = this.remoteTickets.get(request);
        // An entry submits a ticket once more only when it has given up the decision on the first, maybe on another connection.
        if (earlier) {
            this.abandon(request, earlier);
            this.forget(request, earlier);
        }
        const remote: RemoteTicket = { channel, abort: new AbortController() };
        this.remoteTickets.set(request, remote);
        const known = this.byChannel.get(channel);
        if (known) {
            known.add(request);
            return remote;
        }
        this.byChannel.set(channel, new Set([request]));
        void channel.closed.then(() => this.abandonAll(channel));
        return remote;
    }

    private abandonAll(channel: PeerChannel): void {
        const requests = this.byChannel.get(channel) ?? [];
        this.byChannel.delete(channel);
        for (const request of requests) {
            const remote = this.remoteTickets.get(request);
            if (remote?.channel === channel) this.abandon(request, remote);
        }
    }

    private abandon(request: RequestId, remote: RemoteTicket): void {
        if (this.remoteTickets.get(request) !== remote) return;
        remote.abort.abort();
        if (!remote.grant) return;
        this.forget(request, remote);
        this.local.complete({
            request,
            upstream: remote.grant.upstream,
            outcome: "cancelled",
            promptTokens: 0,
            cachedTokens: 0,
            completionTokens: 0,
        });
    }

    private forget(request: RequestId, remote: RemoteTicket): void {
        if (this.remoteTickets.get(request) !== remote) return;
        this.remoteTickets.delete(request);
        this.byChannel.get(remote.channel)?.delete(request);
    }
}
