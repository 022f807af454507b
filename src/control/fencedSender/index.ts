import { Either } from "purify-ts";
import { Address, HeaderList } from "../../ports/index.js";

/** A request that the holder of the lease alone may send. */
export interface FencedCall {
    readonly address: Address;
    readonly path: string;
    /** Besides those that any request has; names in lower case. */
    readonly headers?: HeaderList;
    /** Sent as JSON, by POST. */
    readonly body: unknown;
}

/** What the receiver says. */
export interface FencedReply {
    readonly status: number;
    /** The JSON body; undefined when there is none that can be read. */
    readonly body: unknown;
    /** What a `retry-after` header asks for, in milliseconds. */
    readonly retryAfterMs?: number;
}

/** A request that got no whole answer. */
export class FencedSendError extends Error {
    /**
     * @param reason - `fenced`: the lease had ended before anything left.
     * @param mayHaveLeft - False only when no byte can have left this process.
     */
    constructor(
        readonly reason: "unreachable" | "fenced" | "timeout" | "lost",
        readonly mayHaveLeft: boolean,
    ) {
        super(reason);
    }
}

/**
 * Sends what must not come from two processes.
 *
 * @example
 * const reply = await sender.send(call, () => term.mayAct());
 */
export abstract class FencedSender {
    /**
     * The longest time from a request's leaving to its arrival, in milliseconds, as far as this sender can bound it: by then its
     * connection has been reset.
     */
    abstract readonly flightMs: number;

    /**
     * Sends over a connection of its own.
     *
     * @param mayLeave - Asked in the same synchronous step that hands the bytes to the operating system.
     */
    abstract send(call: FencedCall, mayLeave: () => boolean): Promise<Either<FencedSendError, FencedReply>>;

    /** Resets all connections, so that nothing that still waits in a send buffer is delivered. */
    abstract resetAll(): void;
}
