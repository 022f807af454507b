import { Either } from "purify-ts";
import { Address, HeaderList } from "../../ports/index.js";

/** A request that only the holder of the lease may send. */
export interface FencedCall {
    readonly address: Address;
    readonly path: string;
    /** Headers in addition to the standard ones; names in lower case. */
    readonly headers?: HeaderList;
    /** Sent as JSON, by POST. */
    readonly body: unknown;
}

/** Response of the receiver. */
export interface FencedReply {
    readonly status: number;
    /** Parsed JSON body; undefined when there is no valid one. */
    readonly body: unknown;
    /** Value of the `retry-after` header, in milliseconds. */
    readonly retryAfterMs?: number;
}

/** The request got no complete response. */
export class FencedSendError extends Error {
    /**
     * @param reason - `fenced`: the lease had ended before any byte was sent.
     * @param mayHaveBeenSent - False only when no byte can have left this process.
     */
    constructor(
        readonly reason: "unreachable" | "fenced" | "timeout" | "lost",
        readonly mayHaveBeenSent: boolean,
    ) {
        super(reason);
    }
}

/**
 * Sends requests that only one process may send at a time, each guarded by a check right before it leaves.
 *
 * @example
 * const reply = await sender.send(call, () => term.mayAct());
 */
export abstract class FencedSender {
    /**
     * Maximum time between sending a request and its arrival, in milliseconds: by then this sender has reset the connection.
     */
    abstract readonly maxDeliveryMs: number;

    /**
     * Sends a request over its own connection.
     *
     * @param maySend - Called in the same synchronous step that hands the bytes to the operating system; false cancels the request.
     */
    abstract send(call: FencedCall, maySend: () => boolean): Promise<Either<FencedSendError, FencedReply>>;

    /** Resets all connections, so that no data left in a send buffer is delivered. */
    abstract resetAll(): void;
}
