import { Either } from "purify-ts";
import { EntryCommand, EntryView } from "../../control/index.js";
import { KeyHash } from "../../ids/index.js";
import { WorkspaceView } from "../../workspace/index.js";

/** A command that got no answer from the control processes. */
export class ControlAccessError extends Error {
    /** @param mayCommit - False only when the command can't have been taken in. */
    constructor(readonly mayCommit: boolean, detail: string) {
        super(detail);
    }
}

/** What an entry knows of the control state, and how it changes it. */
export abstract class ControlAccess {
    /** True while the freshness lease runs: the view is at most a few seconds behind. */
    abstract isFresh(): boolean;

    /** Finds the workspace of a key in force. */
    abstract findWorkspace(hash: KeyHash): WorkspaceView | undefined;

    /** The entries that the holder has heard from lately, this one among them. */
    abstract entries(): readonly EntryView[];

    /** Hands a command to the holder and gives the state machine's answer. */
    abstract command(command: EntryCommand, timeoutMs: number): Promise<Either<ControlAccessError, unknown>>;

    /** Calls back after each change of the view. */
    abstract onViewChange(listener: () => void): void;
}
