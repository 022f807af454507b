import { Either } from "purify-ts";
import { EntryCommand, EntryView } from "../../control/index.js";
import { KeyHash } from "../../ids/index.js";
import { WorkspaceView } from "../../workspace/index.js";

/** A command that the control processes did not answer. */
export class ControlAccessError extends Error {
    /** @param mayCommit - False only when the command cannot have been committed. */
    constructor(readonly mayCommit: boolean, detail: string) {
        super(detail);
    }
}

/** An entry's access to the control state: reads from its view, and commands that change the state. */
export abstract class ControlAccess {
    /** Whether the freshness lease is valid: the view is then at most a few seconds behind. */
    abstract isFresh(): boolean;

    /** Finds the workspace of a valid key. */
    abstract findWorkspace(hash: KeyHash): WorkspaceView | undefined;

    /** The entries that the holder has recently received heartbeats from, this one included. */
    abstract entries(): readonly EntryView[];

    /** Sends a command to the holder and returns the state machine's result. */
    abstract command(command: EntryCommand, timeoutMs: number): Promise<Either<ControlAccessError, unknown>>;

    /** Registers a listener that is called after each change of the view. */
    abstract onViewChange(listener: () => void): void;
}
