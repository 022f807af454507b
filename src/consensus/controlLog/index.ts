import { Either } from "purify-ts";
import { FencingToken, HostId, LogIndex } from "../../ids/index.js";

/** An entry that was not, or may not have been, accepted. */
export class ProposeError extends Error {
    /**
     * @param reason - `not-holder`: ask the one in `holder`. `lost`: it may still be committed. `busy`: refused, too much
     * waits. `stopped`: this replica has ended.
     * @param mayCommit - False only when the entry can't be committed any more.
     * @param holder - Who holds the lease, as far as is known.
     */
    constructor(
        readonly reason: "not-holder" | "lost" | "busy" | "stopped",
        readonly mayCommit: boolean,
        readonly holder: HostId | undefined,
    ) {
        super(reason);
    }
}

/** The control log as the rest of a control process uses it. */
export abstract class ControlLog {
    /**
     * Appends an entry and waits until it is committed and applied here.
     *
     * @param command - A value msgpack can carry.
     * @returns What the state machine gave for it.
     */
    abstract propose(command: unknown): Promise<Either<ProposeError, unknown>>;

    /**
     * True while this replica alone may act: it leads, it has applied every entry committed before its term, and a
     * quorum granted it a lease that has not run out on the monotonic clock. Synchronous, so that the check and an outside effect
     * stand in one step: check it again after each await that comes before such an effect.
     */
    abstract holdsLease(): boolean;

    /** The fencing token of the present holder's term; grows with each holder. */
    abstract fencingToken(): FencingToken;

    /** Who holds the lease, as far as is known here. */
    abstract holder(): HostId | undefined;

    /** The index of the last entry applied here. */
    abstract appliedIndex(): LogIndex;

    /** Calls back at each change between holding the lease and not; gives a way to stop that. */
    abstract onHolderChange(listener: (holds: boolean) => void): () => void;
}
