import { LogIndex } from "../../ids/index.js";

/** Context in which a committed entry is applied. */
export interface ApplyContext {
    readonly index: LogIndex;
    /**
     * Wall-clock time of the proposer, in milliseconds since the epoch. Identical on every replica, unlike the
     * replica's own clock.
     */
    readonly proposedAt: number;
}

/**
 * State that the control log replicates. It may change only through `apply` and `restore` and must not depend on a
 * clock, on randomness or on the host.
 */
export abstract class StateMachine {
    /**
     * Applies a committed entry.
     *
     * @param command - The proposed value, decoded from the log.
     * @returns The result for the proposer: a value that msgpack can encode.
     */
    abstract apply(command: unknown, context: ApplyContext): unknown;

    /**
     * Returns the lowest program version that can apply a command. An older replica stops at the command, because
     * skipping it would let the replicas' states diverge.
     */
    entryVersionOf(_command: unknown): number {
        return 1;
    }

    /** Returns the whole state as a value that msgpack can encode. */
    abstract snapshot(): unknown;

    /** Replaces the whole state with that of a snapshot. */
    abstract restore(snapshot: unknown): void;
}
