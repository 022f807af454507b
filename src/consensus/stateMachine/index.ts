import { LogIndex } from "../../ids/index.js";

/** What a committed entry is applied at. */
export interface ApplyContext {
    readonly index: LogIndex;
    /** Wall time at the proposer, in milliseconds since the epoch: the same on each replica, unlike its own clock. */
    readonly proposedAt: number;
}

/**
 * What the control log keeps alike on all its replicas. All its state comes from `apply` and `restore`: no clock, no
 * chance, nothing of the host.
 */
export abstract class StateMachine {
    /**
     * Takes in a committed entry.
     *
     * @param command - The value proposed, as decoded from the log.
     * @returns What the proposer gets; a value msgpack can carry.
     */
    abstract apply(command: unknown, context: ApplyContext): unknown;

    /**
     * The lowest version of programs that know a command. An older replica stops at it, where skipping it would let the replicas' states part.
     */
    entryVersionOf(_command: unknown): number {
        return 1;
    }

    /** The whole state, as a value msgpack can carry. */
    abstract snapshot(): unknown;

    /** Replaces the whole state by a snapshot's. */
    abstract restore(snapshot: unknown): void;
}
