import { Either, Left, Right } from "purify-ts";
import { choosePoolOwner, Completion, Dispatcher, Grant, Refusal, Ticket } from "../../dispatch/index.js";
import { HostId, PoolId, RequestId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";
import { PeerError, PeerRouter } from "../../wire/index.js";
import { PeerDirectory } from "../peerDirectory/index.js";
import { DISPATCH_METHODS, TicketReply } from "../ticketServer/index.js";

/** What a fleet's dispatcher is made of. */
export interface FleetDispatcherOptions {
    readonly clock: Clock;
    readonly self: HostId;
    readonly region: string;
    readonly directory: PeerDirectory;
    /** The queues of this host, for the pools that it owns. */
    readonly local: Dispatcher;
}

/** Beyond the longest wait, for the way there and back. */
const REPLY_SLACK_MS = 500;
const PROGRESS_EVERY_MS = 200;
/** After so many owners that did not answer, this host decides by itself. */
const OWNER_TRIES = 3;
const RETRY_AFTER_OWNER_LOST_MS = 1_000;

/**
 * Sends each ticket to the entry that owns the pool's queue, so that order and fairness hold over all entries.
 *
 * Guards against an owner that is lost with the queue: the ticket goes to the next owner, with the time it has waited. A
 * grant that the lost owner may have given is not used, since it did not come.
 *
 * @example
 * const decision = await dispatcher.submit(ticket, signal);
 */
export class FleetDispatcher extends Dispatcher {
    private readonly owners = new Map<RequestId, HostId>();
    private readonly gathered = new Map<HostId, Map<RequestId, number>>();
    private preempt: (request: RequestId) => void = () => undefined;

    constructor(private readonly options: FleetDispatcherOptions) {
        super();
    }

    /** Takes preemptions that owners send. */
    addTo(router: PeerRouter): void {
        router.add(DISPATCH_METHODS.preempt, body => this.preempt(body as RequestId));
    }

    /** Which entry owns a pool's queue, as far as this one knows. */
    ownerOf(pool: PoolId): HostId {
        const { directory, region, self } = this.options;
        return choosePoolOwner(pool, region, directory.candidates()) ?? self;
    }

    onPreempt(listener: (request: RequestId) => void): void {
        this.preempt = listener;
    }

    /** Told by this host's own queues. */
    preemptHere(request: RequestId): void {
        this.preempt(request);
    }

    async submit(ticket: Ticket, signal: AbortSignal): Promise<Either<Refusal, Grant>> {
        const { clock, self, local } = this.options;
        const startedAt = clock.monotonic();
        for (let i = 0; i < OWNER_TRIES; i++) {
            const waitedMs = clock.monotonic() - startedAt;
            const present = { ...ticket, ageMs: ticket.ageMs + waitedMs };
            const owner = this.ownerOf(ticket.pool);
            if (owner === self) return local.submit(present, signal);
            const reply = await this.askOwner(owner, present, signal);
            if (reply.isRight()) return this.takeReply(ticket, owner, reply.extract() as TicketReply, waitedMs);
            if (signal.aborted) return Left(refuse(ticket, "cancelled", "the caller has gone"));
            this.options.directory.suspect(owner);
        }
        return Left(refuse(ticket, "no-upstream", "no owner of the queue answered"));
    }

    complete(completion: Completion): void {
        const owner = this.owners.get(completion.request);
        this.owners.delete(completion.request);
        if (owner === undefined) {
            this.options.local.complete(completion);
            return;
        }
        this.gathered.get(owner)?.delete(completion.request);
        this.options.directory.linkTo(owner)?.notify(DISPATCH_METHODS.complete, completion);
    }

    progress(request: RequestId, tokens: number): void {
        const owner = this.owners.get(request);
        if (owner === undefined) {
            this.options.local.progress(request, tokens);
            return;
        }
        let sums = this.gathered.get(owner);
        if (!sums) this.gathered.set(owner, sums = new Map());
        sums.set(request, (sums.get(request) ?? 0) + tokens);
    }

    /** Sends what was gathered for the owners, one notice each, until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.sleep(PROGRESS_EVERY_MS, signal);
            for (const [owner, sums] of this.gathered) this.sendProgress(owner, sums);
            this.gathered.clear();
        }
    }

    private sendProgress(owner: HostId, sums: Map<RequestId, number>): void {
        const notice = [...sums].map(([request, tokens]) => ({ request, tokens }));
        if (notice.length > 0) this.options.directory.linkTo(owner)?.notify(DISPATCH_METHODS.progress, notice);
    }

    private async askOwner(owner: HostId, ticket: Ticket, signal: AbortSignal): Promise<Either<PeerError, unknown>> {
        const link = this.options.directory.linkTo(owner);
        if (!link) return Left(new PeerError("unreachable", false, owner));
        const cancel = (): void => link.notify(DISPATCH_METHODS.cancel, ticket.request);
        signal.addEventListener("abort", cancel);
        const limitMs = Math.max(0, ticket.maxWaitMs - ticket.ageMs) + REPLY_SLACK_MS;
        const reply = await link.call(DISPATCH_METHODS.submit, ticket, limitMs);
        signal.removeEventListener("abort", cancel);
        if (reply.isLeft()) cancel();
        return reply;
    }

    private takeReply(
        ticket: Ticket,
        owner: HostId,
        reply: TicketReply,
        waitedMs: number,
    ): Either<Refusal, Grant> {
        if (reply.kind === "refusal") return Left(reply.refusal);
        this.owners.set(ticket.request, owner);
        return Right({ ...reply.grant, waitedMs: reply.grant.waitedMs + waitedMs });
    }
}

function refuse(ticket: Ticket, reason: Refusal["reason"], detail: string): Refusal {
    return { request: ticket.request, reason, retryAfterMs: RETRY_AFTER_OWNER_LOST_MS, detail };
}
