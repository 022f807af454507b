import { Either } from "purify-ts";
import { FencingToken, HostId, LogIndex } from "../../ids/index.js";

/** Thrown for an entry that was not accepted, or may not have been. */
export class ProposeError extends Error {
    /**
     * @param reason - `not-holder`: this replica does not hold the lease, so ask `holder`. `lost`: the entry may still
     * be committed. `busy`: refused because too many proposals are pending. `stopped`: this replica has ended.
     * @param mayCommit - False only when the entry can no longer be committed.
     * @param holder - Host that holds the lease, as far as this replica knows.
     */
    constructor(
        readonly reason: "not-holder" | "lost" | "busy" | "stopped",
        readonly mayCommit: boolean,
        readonly holder: HostId | undefined,
    ) {
        super(reason);
    }
}

/** Interface of the control log for the rest of a control process. */
export abstract class ControlLog {
    /**
     * Appends an entry and waits until it is committed and applied on this replica.
     *
     * @param command - A value that msgpack can encode.
     * @returns The state machine's result for the command.
     */
    abstract propose(command: unknown): Promise<Either<ProposeError, unknown>>;

    /**
     * Returns whether only this replica may act: it leads, it has applied every entry committed before its term, and a
     * quorum granted it a lease that has not expired on the monotonic clock. Synchronous, so that the check and an
     * external effect happen in one step: repeat the check after each await that precedes such an effect.
     */
    abstract holdsLease(): boolean;

    /** Returns the fencing token of the current holder's term. It increases with each holder. */
    abstract fencingToken(): FencingToken;

    /** Returns the host that holds the lease, as far as this replica knows. */
    abstract holder(): HostId | undefined;

    /** Returns the index of the last entry applied on this replica. */
    abstract appliedIndex(): LogIndex;

    /**
     * Registers a listener that is called whenever this replica gains or loses the lease.
     *
     * @returns A function that removes the listener.
     */
    abstract onHolderChange(listener: (holds: boolean) => void): () => void;
}
