import { Either, Left } from "purify-ts";
import { RequestId, UpstreamId } from "../../ids/index.js";
import { Dispatcher } from "../dispatcher/index.js";
import { Completion, Grant, Refusal, Ticket } from "../ticket/index.js";

/**
 * The grants of one caller's request. Each ends at the latest with the request, whatever way that ends.
 *
 * Prevents slots from remaining occupied by a request that has ended: an error between a grant and its completion would take the slot for
 * good, and as many errors as there are slots would end the service of a pool.
 *
 * @example
 * const grants = new GrantScope(dispatcher);
 * try {
 *     await run(grants);
 * }
 * finally {
 *     grants.close();
 * }
 */
export class GrantScope extends Dispatcher {
    private readonly open = new Map<RequestId, UpstreamId>();
    private isClosed = false;

    constructor(private readonly dispatcher: Dispatcher) {
        super();
    }

    async submit(ticket: Ticket, signal: AbortSignal): Promise<Either<Refusal, Grant>> {
        const decision = await this.dispatcher.submit(ticket, signal);
        decision.ifRight(({ upstream }) => this.open.set(ticket.request, upstream));
        if (!this.isClosed) return decision;
        this.returnAll();
        const { request } = ticket;
        return Left({ request, reason: "cancelled", retryAfterMs: 0, detail: "the request has ended" });
    }

    complete(completion: Completion): void {
        if (this.open.get(completion.request) === completion.upstream) this.open.delete(completion.request);
        this.dispatcher.complete(completion);
    }

    progress(request: RequestId, tokens: number): void {
        this.dispatcher.progress(request, tokens);
    }

    onPreempt(listener: (request: RequestId) => void): void {
        this.dispatcher.onPreempt(listener);
    }

    /** Returns the grants that have not been completed, and each later one. */
    close(): void {
        this.isClosed = true;
        this.returnAll();
    }

    private returnAll(): void {
        for (const [request, upstream] of [...this.open]) {
            const nothingUsed = { promptTokens: 0, cachedTokens: 0, completionTokens: 0 };
            this.complete({ request, upstream, outcome: "cancelled", ...nothingUsed });
        }
    }
}
