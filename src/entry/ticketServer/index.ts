import { Completion, Grant, LocalDispatcher, Refusal, Ticket } from "../../dispatch/index.js";
import { RequestId } from "../../ids/index.js";
import { PeerChannel, PeerRouter } from "../../wire/index.js";

/** The methods between an entry that holds a caller and the owner of a pool's queue. */
export const DISPATCH_METHODS = {
    submit: "dispatch.submit",
    cancel: "dispatch.cancel",
    complete: "dispatch.complete",
    progress: "dispatch.progress",
    preempt: "dispatch.preempt",
    adopt: "dispatch.adopt",
} as const;

/** The owner's answer to a ticket. */
export type TicketReply =
    | { readonly kind: "grant"; readonly grant: Grant; }
    | { readonly kind: "refusal"; readonly refusal: Refusal; };

/** Tokens that came for some requests since the last such notice. */
export type ProgressNotice = readonly { readonly request: RequestId; readonly tokens: number; }[];

/** A grant that an earlier owner of the queue gave. */
export interface AdoptNotice {
    readonly ticket: Ticket;
    readonly grant: Grant;
    /** How long ago it was given, in milliseconds. */
    readonly runningMs: number;
}

interface RemoteTicket {
    readonly channel: PeerChannel;
    readonly abort: AbortController;
    grant?: Grant;
}

/**
 * The owner's side: queues other entries' tickets beside this entry's own.
 *
 * Guards against slots that stay taken by an entry that has ended: when its channel ends, its waiting tickets are
 * cancelled and its grants are counted as finished. The same holds for a grant whose reply came too late to be used.
 *
 * @example
 * new TicketServer(local, request => requests.cancel(request, "preempted")).addTo(router);
 */
export class TicketServer {
    private readonly remote = new Map<RequestId, RemoteTicket>();

    /**
     * @param local - The queues of this host.
     * @param preemptHere - Told of a preemption of a request whose caller is connected here.
     */
    constructor(private readonly local: LocalDispatcher, preemptHere: (request: RequestId) => void) {
        local.onPreempt(request => {
            const ticket = this.remote.get(request);
            if (ticket) ticket.channel.notify(DISPATCH_METHODS.preempt, request);
            else preemptHere(request);
        });
    }

    addTo(router: PeerRouter): void {
        router.add(DISPATCH_METHODS.submit, (body, channel) => this.submit(body as Ticket, channel));
        router.add(DISPATCH_METHODS.cancel, body => {
            const entry = this.remote.get(body as RequestId);
            if (entry) this.abandon(body as RequestId, entry);
        });
        router.add(DISPATCH_METHODS.complete, body => this.complete(body as Completion));
        router.add(DISPATCH_METHODS.adopt, (body, channel) => this.adopt(body as AdoptNotice, channel));
        router.add(DISPATCH_METHODS.progress, body => {
            for (const { request, tokens } of body as ProgressNotice) this.local.progress(request, tokens);
        });
    }

    private async submit(ticket: Ticket, channel: PeerChannel): Promise<TicketReply> {
        const entry: RemoteTicket = { channel, abort: new AbortController() };
        this.remote.set(ticket.request, entry);
        void channel.closed.then(() => this.abandon(ticket.request, entry));
        const decision = await this.local.submit(ticket, entry.abort.signal);
        if (decision.isLeft()) {
            this.forget(ticket.request, entry);
            return { kind: "refusal", refusal: decision.extract() as Refusal };
        }
        const grant = decision.extract() as Grant;
        entry.grant = grant;
        if (!channel.isOpen) this.abandon(ticket.request, entry);
        return { kind: "grant", grant };
    }

    private adopt({ ticket, grant, runningMs }: AdoptNotice, channel: PeerChannel): void {
        if (this.remote.has(ticket.request)) return;
        const entry: RemoteTicket = { channel, abort: new AbortController(), grant };
        this.remote.set(ticket.request, entry);
        void channel.closed.then(() => this.abandon(ticket.request, entry));
        this.local.adopt(ticket, grant, runningMs);
    }

    /** A request that was abandoned before is counted already. */
    private complete(completion: Completion): void {
        if (this.remote.delete(completion.request)) this.local.complete(completion);
    }

    private abandon(request: RequestId, entry: RemoteTicket): void {
        if (this.remote.get(request) !== entry) return;
        entry.abort.abort();
        if (!entry.grant) return;
        this.remote.delete(request);
        this.local.complete({
            request,
            upstream: entry.grant.upstream,
            outcome: "cancelled",
            promptTokens: 0,
            cachedTokens: 0,
            completionTokens: 0,
        });
    }

    private forget(request: RequestId, entry: RemoteTicket): void {
        if (this.remote.get(request) === entry) this.remote.delete(request);
    }
}
