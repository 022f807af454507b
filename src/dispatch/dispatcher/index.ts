import { Either } from "purify-ts";
import { RequestId } from "../../ids/index.js";
import { Completion, Grant, Refusal, Ticket } from "../ticket/index.js";

/**
 * Decides which request goes to which upstream, and when.
 *
 * @example
 * const decision = await dispatcher.submit(ticket, signal);
 */
export abstract class Dispatcher {
    /**
     * Waits for a grant to send a request. Settles with a refusal as soon as that is decided.
     *
     * @param ticket - The request.
     * @param signal - Aborted when the caller has disconnected: settles with "cancelled" at once.
     */
    abstract submit(ticket: Ticket, signal: AbortSignal): Promise<Either<Refusal, Grant>>;

    /** Reports the outcome of a granted request. Must be called once for each grant. */
    abstract complete(completion: Completion): void;

    /**
     * Reports that a granted request has produced tokens, so that its pace and its upstream's load are known while it
     * runs.
     *
     * @param tokens - Number of tokens since the last call.
     */
    abstract progress(request: RequestId, tokens: number): void;

    /**
     * Registers a listener that is called when a running request must give up its slot to a higher tier: it should
     * cancel the stream, call `complete` with "cancelled" and submit a ticket again with its `resumeOffset`.
     */
    abstract onPreempt(listener: (request: RequestId) => void): void;
}
